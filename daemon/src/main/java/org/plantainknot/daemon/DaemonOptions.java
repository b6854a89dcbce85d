package org.plantainknot.daemon;

import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** Command line options of the daemon. */
final class DaemonOptions {

  @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings file")
  private Path settings;

  @Option(name = "--check", usage = "check the settings and exit")
  private boolean check;

  @Option(name = "--help", help = true, usage = "print this help")
  private boolean help;

  Path settings() {
    return settings;
  }

  boolean check() {
    return check;
  }

  boolean help() {
    return help;
  }
}
