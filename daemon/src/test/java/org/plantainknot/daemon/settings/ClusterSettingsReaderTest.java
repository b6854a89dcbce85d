package org.plantainknot.daemon.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.plantainknot.core.error.PlantainknotException;
import org.testng.annotations.Test;

/** Tests reading the settings of gateways and controllers. */
public class ClusterSettingsReaderTest {

  private static final String CONTROLLER =
      """
      [process]
      node = c1
      role = controller
      dataFolder = /data
      bootstrap = true
      seeds = 10.0.0.1:80,10.0.0.2:80
      [listen]
      host = 10.0.0.1
      memberPort = 7060
      control = 10.0.0.1:80
      [timing]
      leaseMillis = 6000
      maintenanceMillis = 2.5s
      """;

  @Test
  void controllerSettingsAreRead() throws IOException {
    Path file = write(CONTROLLER);
    assertTrue(ClusterSettingsReader.isClusterFile(file));
    ClusterSettings settings = ClusterSettingsReader.read(file);
    assertEquals(settings.role(), ProcessRole.CONTROLLER);
    assertTrue(settings.bootstrap());
    assertEquals(settings.timing().maintenanceMillis(), 2_500);
    assertEquals(
        settings.seedLinks(),
        List.of(new HostPort("10.0.0.1", 7060), new HostPort("10.0.0.2", 7060)));
  }

  @Test
  void allFindingsAreReportedTogether() throws IOException {
    Path file =
        write(
            CONTROLLER
                .replace("role = controller", "role = king")
                .replace("2.5s", "soon")
                .replace("10.0.0.2:80", "nowhere")
                .replace("host = ", "hots = "));
    PlantainknotException e =
        expectThrows(PlantainknotException.class, () -> ClusterSettingsReader.read(file));
    assertTrue(e.findings().size() >= 5, e.findings().toString());
  }

  @Test
  void settingsOfAnEntryVmAreNotClusterSettings() throws IOException {
    assertFalse(ClusterSettingsReader.isClusterFile(write("[node]\nname = n1\n")));
  }

  private static Path write(String text) throws IOException {
    return Files.writeString(Files.createTempFile("plantainknot", ".ini"), text);
  }
}
