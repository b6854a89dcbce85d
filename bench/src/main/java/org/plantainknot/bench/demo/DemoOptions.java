package org.plantainknot.bench.demo;

import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** Command line options of the demo. */
final class DemoOptions {

  @Option(
      name = "--root",
      required = true,
      metaVar = "FOLDER",
      usage = "root folder of the project")
  private Path root;

  @Option(name = "--port", metaVar = "PORT", usage = "first of about 60 ports")
  private int port = 21_000;

  @Option(name = "--seed", metaVar = "N", usage = "random seed of the load")
  private long seed = 1;

  Path root() {
    return root;
  }

  int port() {
    return port;
  }

  long seed() {
    return seed;
  }
}
