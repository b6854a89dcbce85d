package org.plantainknot.daemon.exit;

import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.plantainknot.daemon.log.BoundedLogHandler;

/** Process that logs many lines and the reason for its failure, and then halts. */
final class HaltingProcess {

  static final String REASON_LINE = "reason of the failure";
  private static final int LINES = 2_000;

  private HaltingProcess() {}

  public static void main(String[] args) {
    LogManager.getLogManager().reset();
    Logger logger = Logger.getLogger("");
    logger.addHandler(new BoundedLogHandler());
    for (int i = 0; i < LINES; i++) {
      logger.info("line " + i);
    }
    logger.severe(REASON_LINE);
    ExitStatus.STORAGE.halt();
  }
}
