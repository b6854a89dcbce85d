package org.plantainknot.ctl;

import io.vertx.core.net.PfxOptions;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.plantainknot.daemon.settings.HostPort;

/** Command-line options and arguments. */
final class CtlOptions {

  private static final String ENTRIES_VARIABLE = "PLANTAINKNOT_ENTRIES";
  private static final String TOKEN_VARIABLE = "PLANTAINKNOT_TOKEN";

  @Option(
      name = "--entries",
      metaVar = "HOST:PORT,...",
      usage = "operator addresses of the entry VMs (default: $" + ENTRIES_VARIABLE + ")")
  private String entries;

  @Option(
      name = "--token-env",
      metaVar = "NAME",
      usage = "environment variable that holds the token")
  private String tokenVariable = TOKEN_VARIABLE;

  @Option(
      name = "--trust-store",
      metaVar = "FILE",
      usage = "PKCS #12 file with the entry VMs' certificates; enables TLS")
  private String trustStore;

  @Option(
      name = "--trust-password-env",
      metaVar = "NAME",
      usage = "environment variable that holds the trust store's password")
  private String trustPasswordVariable = "PLANTAINKNOT_TRUST_PASSWORD";

  @Option(name = "--json", usage = "print JSON")
  private boolean json;

  @Option(name = "--help", help = true, usage = "print this help")
  private boolean help;

  @Argument(index = 0, metaVar = "COMMAND", usage = "command to run")
  private String command;

  @Argument(index = 1, metaVar = "ARGUMENT", usage = "arguments of the command")
  private List<String> arguments = new ArrayList<>();

  boolean json() {
    return json;
  }

  boolean help() {
    return help || command == null;
  }

  String command() {
    return command;
  }

  List<String> arguments() {
    return arguments;
  }

  List<HostPort> entryAddresses() {
    String value = entries == null ? System.getenv(ENTRIES_VARIABLE) : entries;
    if (value == null) {
      throw new CtlException(
          ExitCode.USAGE, "set the entry VMs with --entries or $" + ENTRIES_VARIABLE);
    }
    return Arrays.stream(value.split(",")).map(CtlOptions::parseAddress).toList();
  }

  String token() {
    return Optional.ofNullable(System.getenv(tokenVariable))
        .orElseThrow(
            () -> new CtlException(ExitCode.USAGE, "no token is set in $" + tokenVariable));
  }

  Optional<PfxOptions> trustOptions() {
    return Optional.ofNullable(trustStore)
        .map(
            file ->
                new PfxOptions().setPath(file).setPassword(System.getenv(trustPasswordVariable)));
  }

  private static HostPort parseAddress(String text) {
    return HostPort.parse(text.trim())
        .orElseThrow(
            () ->
                new CtlException(
                    ExitCode.USAGE, "'" + text + "' is not an address of the form IP:PORT"));
  }
}
