package org.plantainknot.bench.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Entry point of {@code bin/measure}. */
public final class Measure {

  private static final int EXIT_USAGE = 2;

  private Measure() {}

  /** Runs a measurement and prints its figures as JSON in the last line. */
  public static void main(String[] args) {
    Logger.getLogger("").setLevel(Level.OFF);
    MeasureOptions options = new MeasureOptions();
    CmdLineParser parser = new CmdLineParser(options);
    try {
      parser.parseArgument(args);
      ObjectNode figures =
          Measurement.parse(options.measurement()).run(options.seed(), options.coreOnly());
      System.out.println(figures);
      System.exit(0);
    } catch (CmdLineException | IllegalArgumentException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(EXIT_USAGE);
    }
  }
}
