package org.plantainknot.core.ticket;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.plantainknot.core.control.Result;
import org.plantainknot.core.error.ErrorCode;
import org.plantainknot.core.error.Finding;
import org.plantainknot.core.fleet.FailureDomain;
import org.plantainknot.core.fleet.Fleet;
import org.plantainknot.core.rollout.Fleets;
import org.plantainknot.core.ticket.Ticket.PoolState;
import org.plantainknot.core.ticket.Ticket.ServiceState;
import org.plantainknot.core.ticket.Ticket.VmState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the rules of tickets' status transitions. */
public class TicketBookTest {

  private static final long NOW = 1_000;

  private Fleet fleet;
  private TicketBook book;

  @BeforeMethod
  void createBook() {
    fleet = new Fleet();
    book = new TicketBook(fleet);
  }

  @Test
  void theSameNumberWithTheSameContentGetsTheSameResult() {
    Result first = book.file(initialTicket(1), "anna", NOW);
    assertEquals(book.file(initialTicket(1), "bert", NOW + 1), first);
    assertEquals(book.entry(1).get().filedBy(), "anna");
  }

  @Test
  void theSameNumberWithOtherContentIsRefusedAndNamesTheFiler() {
    book.file(initialTicket(1), "anna", NOW);
    Result.Refused refused = (Result.Refused) book.file(movingTicket(1, 0, "p1"), "bert", NOW);
    assertEquals(refused.code(), ErrorCode.NUMBER_TAKEN);
    assertTrue(refused.message().contains("anna"));
  }

  @Test
  void aTicketRefusedForItsContentKeepsItsNumberAndItsFindings() {
    Ticket bad = movingTicket(5, 0, "nowhere");
    Result.Refused first = (Result.Refused) book.file(bad, "anna", NOW);
    assertEquals(book.file(bad, "anna", NOW), first);
    assertEquals(book.entry(5).get().status(), TicketStatus.REFUSED);
  }

  @Test
  void ofAWithdrawalAndALaterApprovalOnlyTheFirstTakesEffect() {
    book.file(initialTicket(1), "anna", NOW);
    book.decide(1, Decision.WITHDRAW, "anna", NOW).orThrow();
    Result.Refused late = (Result.Refused) book.decide(1, Decision.APPROVE, "bert", NOW);
    assertEquals(late.code(), ErrorCode.WRONG_STATUS);
    assertEquals(book.entry(1).get().status(), TicketStatus.WITHDRAWN);
  }

  @Test
  void anApprovedTicketCannotBeWithdrawn() {
    book.file(initialTicket(1), "anna", NOW);
    book.decide(1, Decision.APPROVE, "anna", NOW).orThrow();
    Result.Refused late = (Result.Refused) book.decide(1, Decision.WITHDRAW, "anna", NOW);
    assertEquals(late.code(), ErrorCode.WRONG_STATUS);
  }

  @Test
  void aLowerNumberApprovedAfterAHigherOneOnTheSameVmIsSuperseded() {
    bringIntoForce(initialTicket(1));
    book.file(movingTicket(2, 0, "p1"), "anna", NOW);
    book.file(movingTicket(3, 0, "p0"), "bert", NOW);
    book.decide(3, Decision.APPROVE, "bert", NOW).orThrow();
    Result.Refused late = (Result.Refused) book.decide(2, Decision.APPROVE, "anna", NOW);
    assertEquals(late.code(), ErrorCode.SUPERSEDED);
    assertEquals(late.findings(), List.of(new Finding("VM vm0000", "is held by ticket 3")));
    assertEquals(book.entry(2).get().status(), TicketStatus.REFUSED);
  }

  @Test
  void aHigherNumberThatWouldBeRevertedByALaterStartIsRefused() {
    bringIntoForce(initialTicket(1));
    Ticket later =
        new Ticket(2, NOW + 500, "", null, null, List.of(new VmState("vm0000", "p1")), null);
    book.file(later, "anna", NOW);
    book.decide(2, Decision.APPROVE, "anna", NOW).orThrow();
    book.file(movingTicket(3, 0, "p0"), "bert", NOW);
    Result.Refused refused = (Result.Refused) book.decide(3, Decision.APPROVE, "bert", NOW);
    assertEquals(refused.code(), ErrorCode.SUPERSEDED);
  }

  @Test
  void allFindingsAreReportedTogetherWithTheirPlaces() {
    Ticket bad =
        new Ticket(
            7,
            NOW - 1,
            "",
            List.of(new PoolState("p 1")),
            List.of(new ServiceState("s", "unknown", -1, null, List.of("get"))),
            List.of(new VmState("vm1", "p 1"), new VmState("vm1", "other")),
            null);
    List<String> places =
        ((Result.Refused) book.file(bad, "anna", NOW))
            .findings().stream().map(Finding::place).toList();
    assertTrue(
        places.containsAll(
            List.of(
                "start",
                "pools[0].name",
                "services[0].pool",
                "services[0].minAvailableVms",
                "services[0].idempotentMethods",
                "vms[1].pool")),
        places.toString());
  }

  @DataProvider
  Object[][] budgets() {
    return new Object[][] {
      {7, 5, FailureDomain.RACK, true},
      {7, 6, FailureDomain.RACK, false},
      {7, 6, FailureDomain.NONE, true},
      {7, 7, FailureDomain.NONE, false},
      {1, 0, FailureDomain.RACK, true},
    };
  }

  @Test(dataProvider = "budgets")
  void aBudgetThatLeavesNoVmForMaintenanceIsRefused(
      int vms, int minAvailable, FailureDomain spare, boolean accepted) {
    Result result = book.file(Fleets.ticket(1, 1, vms, minAvailable, spare), "anna", NOW);
    assertEquals(result instanceof Result.Accepted, accepted);
  }

  private void bringIntoForce(Ticket ticket) {
    book.file(ticket, "anna", NOW).orThrow();
    book.decide(ticket.number(), Decision.APPROVE, "anna", NOW).orThrow();
    book.start(ticket.number(), 1).orThrow();
    book.markInForce(ticket.number(), NOW).orThrow();
  }

  private static Ticket initialTicket(long number) {
    return Fleets.ticket(number, 2, 10, 1, FailureDomain.RACK);
  }

  private static Ticket movingTicket(long number, int vm, String pool) {
    return new Ticket(
        number,
        Ticket.ON_APPROVAL,
        "",
        null,
        null,
        List.of(new VmState(Fleets.vm(vm), pool)),
        null);
  }
}
