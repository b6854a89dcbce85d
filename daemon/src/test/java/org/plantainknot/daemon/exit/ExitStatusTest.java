package org.plantainknot.daemon.exit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.testng.annotations.Test;

/** Tests {@link ExitStatus#halt} in a separate process. */
public class ExitStatusTest {

  @Test
  void haltWritesTheLastLogLineBeforeTheProcessTerminates()
      throws IOException, InterruptedException {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                HaltingProcess.class.getName())
            .redirectErrorStream(true)
            .start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertEquals(process.waitFor(), ExitStatus.STORAGE.code());
    assertTrue(
        output.contains(HaltingProcess.REASON_LINE), "the log line with the reason is missing");
  }
}
