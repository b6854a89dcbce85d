package org.plantainknot.bench.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The repository's deploy file, whose commands and settings template the soak's processes get. */
final class DeployFile {

  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
  private static final Path FILE = ROOT.resolve("deploy/system.toml");
  private static final Path TEMPLATE = ROOT.resolve("deploy/process.ini");
  private static final String SETTINGS_PATH = "/etc/plantainknot/node.yaml";
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^}]+)}}");

  private DeployFile() {}

  /** Returns the folder in which the commands are run. */
  static Path root() {
    return ROOT;
  }

  /** Returns the command of a role, with the path of a settings file. */
  static List<String> command(String role, Path settings) {
    Pattern run =
        Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]+)\"", Pattern.MULTILINE);
    Matcher matcher = run.matcher(read(FILE));
    if (!matcher.find()) {
      throw new IllegalStateException("no command of " + role + " in " + FILE);
    }
    return List.of(matcher.group(1).replace(SETTINGS_PATH, settings.toString()).split(" "));
  }

  /** Returns the settings of a process; a placeholder without a value becomes empty. */
  static String settings(Map<String, String> values) {
    return PLACEHOLDER
        .matcher(read(TEMPLATE))
        .replaceAll(match -> Matcher.quoteReplacement(valueOf(match, values)));
  }

  private static String valueOf(MatchResult placeholder, Map<String, String> values) {
    return values.getOrDefault(placeholder.group(1), "");
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
