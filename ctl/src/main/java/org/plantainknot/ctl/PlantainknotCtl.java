package org.plantainknot.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.plantainknot.core.error.PlantainknotException;

/** Entry point of {@code plantainknotctl}. */
public final class PlantainknotCtl {

  private PlantainknotCtl() {}

  /** Runs a command and exits the process with its exit code. */
  public static void main(String[] args) {
    Logger.getLogger("").setLevel(Level.WARNING);
    System.exit(run(args, System.out, System.err));
  }

  /** Runs a command, prints its result or error, and returns its exit code. */
  public static int run(String[] args, PrintStream out, PrintStream err) {
    CtlOptions options = new CtlOptions();
    CmdLineParser parser = new CmdLineParser(options);
    try {
      parser.parseArgument(args);
      if (options.help()) {
        printHelp(parser, out);
        return ExitCode.OK.status();
      }
      JsonNode result = execute(options);
      print(result, options.json(), out);
      return ExitCode.OK.status();
    } catch (CmdLineException e) {
      err.println(e.getMessage());
      return ExitCode.USAGE.status();
    } catch (CtlException e) {
      err.println(e.getMessage());
      return e.exitCode().status();
    } catch (PlantainknotException e) {
      err.println(e.code().code() + " refused, with " + e.findings().size() + " findings");
      List<?> lines = e.findings().isEmpty() ? List.of(e.getMessage()) : e.findings();
      lines.forEach(err::println);
      return ExitCode.REFUSED.status();
    }
  }

  private static JsonNode execute(CtlOptions options) {
    CtlCommand command =
        CtlCommand.parse(options.command())
            .orElseThrow(
                () ->
                    new CtlException(
                        ExitCode.USAGE, "unknown command " + options.command() + "; see --help"));
    command.checkArguments(options.arguments());
    if (!command.isRemote()) {
      return command.run(null, options.arguments());
    }
    try (EntryClient client =
        new EntryClient(options.entryAddresses(), options.token(), options.trustOptions())) {
      return command.run(client, options.arguments());
    }
  }

  private static void print(JsonNode result, boolean json, PrintStream out) {
    if (json) {
      out.println(result);
    } else {
      new TablePrinter(out).print(result);
    }
  }

  private static void printHelp(CmdLineParser parser, PrintStream out) {
    out.println("usage: plantainknotctl [options] COMMAND [ARGUMENT...]");
    Arrays.stream(CtlCommand.values()).map(CtlCommand::usage).forEach(out::println);
    out.println("options:");
    parser.printUsage(out);
    out.println("exit codes: 0 success, 1 refused, 2 usage error, 3 no entry VM responded");
  }
}
