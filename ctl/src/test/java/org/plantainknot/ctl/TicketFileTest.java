package org.plantainknot.ctl;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Path;
import java.util.List;
import org.plantainknot.core.error.Finding;
import org.plantainknot.core.error.PlantainknotException;
import org.plantainknot.core.fleet.FailureDomain;
import org.plantainknot.core.fleet.Fleet;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.core.ticket.Ticket.VmState;
import org.plantainknot.core.ticket.TicketChecks;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that ticket files are parsed and that every error is reported with its place. */
public class TicketFileTest {

  @Test
  void aTicketFileIsParsed() {
    Ticket ticket =
        TicketFile.parse(
            """
            [ticket]
            number = 12
            start = 2027-01-31T06:00:00Z
            note = two VMs for the gate
            [pool gate]
            [service gate-certificates]
            pool = gate
            minAvailableVms = 4
            spare = data-center
            idempotentMethods = GET HEAD
            [vms]
            hw-1.a = gate
            [wave gate]
            """);
    assertEquals(ticket.number(), 12);
    assertEquals(ticket.startMillis(), 1_801_375_200_000L);
    assertEquals(ticket.services().get(0).spare(), FailureDomain.DATA_CENTER);
    assertEquals(ticket.services().get(0).idempotentMethods(), List.of("GET", "HEAD"));
    assertEquals(ticket.vms(), List.of(new VmState("hw-1.a", "gate")));
    assertEquals(ticket.waves().get(0).pool(), "gate");
  }

  @Test
  void allErrorsOfAFileAreReportedTogether() {
    PlantainknotException exception =
        expectThrows(
            PlantainknotException.class,
            () ->
                TicketFile.parse(
                    """
                    [ticket]
                    number = twelve
                    start = tomorrow
                    colour = red
                    [serivce s]
                    [service s]
                    pool = gate
                    minAvailableVms = few
                    spare = planet
                    """));
    List<String> places = exception.findings().stream().map(Finding::place).toList();
    for (String place :
        List.of(
            "[ticket] number",
            "[ticket] start",
            "[ticket] colour",
            "[serivce s]",
            "[service s] minAvailableVms",
            "[service s] spare")) {
      assertTrue(places.contains(place), place + " in " + places);
    }
  }

  @DataProvider
  Object[][] examples() {
    return new Object[][] {{"howrah-initial.ini"}, {"caroni-initial.ini"}};
  }

  @Test(dataProvider = "examples")
  void theExampleFilesAreValid(String name) {
    Ticket ticket = TicketFile.read(Path.of("../examples", name));
    assertEquals(TicketChecks.check(ticket, new Fleet(), 0), List.of());
    assertEquals(ticket.vms().size(), 35);
  }
}
