package org.plantainknot.daemon.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.plantainknot.core.error.Finding;
import org.plantainknot.core.error.PlantainknotException;
import org.testng.annotations.Test;

/** Tests that settings are checked completely and all findings are reported. */
public class SettingsReaderTest {

  private static final String VALID =
      """
      [node]
      name = n1
      dataCenter = dc1
      [listen]
      host = 127.0.0.1
      callerPort = 7001
      operatorPort = 7002
      memberPort = 7003
      [members]
      n1 = 127.0.0.1:7003
      [operators]
      anna = approve 0123456789abcdef
      """;

  @Test
  void validSettingsAreReadWithTheirDefaults() throws IOException {
    DaemonSettings settings = read(VALID);
    assertEquals(settings.node(), "n1");
    assertEquals(settings.leaseTiming().leaseMillis(), 2_000);
    assertTrue(settings.dataFolder().isEmpty());
  }

  @Test
  void allFindingsAreReportedTogetherWithTheirPlaces() {
    String bad =
        VALID
            .replace("callerPort = 7001", "callerPort = 70000\ncolour = red")
            .replace("dataCenter = dc1\n", "")
            .replace("n1 = 127.0.0.1:7003", "n2 = localhost")
            .replace("anna = approve 0123456789abcdef", "anna = king secret");
    PlantainknotException rejected = expectThrows(PlantainknotException.class, () -> read(bad));
    List<String> places = rejected.findings().stream().map(Finding::place).toList();
    for (String place :
        List.of(
            "[listen] callerPort",
            "[listen] colour",
            "[node] dataCenter",
            "[members] n2",
            "[members]",
            "[operators] anna")) {
      assertTrue(places.contains(place), place + " in " + places);
    }
  }

  @Test
  void findingsNeverContainAToken() {
    String bad = VALID.replace("approve 0123456789abcdef", "king 0123456789abcdef");
    PlantainknotException rejected = expectThrows(PlantainknotException.class, () -> read(bad));
    assertFalse(rejected.getMessage().contains("0123456789abcdef"));
  }

  @Test
  void theSettingsPageListsEachKey() throws IOException {
    String page = Files.readString(Path.of("../docs/SETTINGS.md"));
    for (SettingKey key : SettingKey.values()) {
      String row =
          String.format(
              "| %s | %s | %s | %s | %s | %s |",
              key.section(),
              key.key(),
              key.allowedValues(),
              key.unit(),
              key.defaultValue() == null ? "must be given" : key.defaultValue(),
              key.description());
      assertTrue(page.contains(row), "docs/SETTINGS.md lacks: " + row);
    }
  }

  private static DaemonSettings read(String text) throws IOException {
    Path file = Files.createTempFile("plantainknot", ".ini");
    Files.writeString(file, text);
    return SettingsReader.read(file);
  }
}
