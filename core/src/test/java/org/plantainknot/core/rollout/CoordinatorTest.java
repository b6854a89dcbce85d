package org.plantainknot.core.rollout;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.plantainknot.core.control.Command;
import org.plantainknot.core.control.MoveStep;
import org.plantainknot.core.control.Result;
import org.plantainknot.core.fleet.FailureDomain;
import org.plantainknot.core.lease.LeaseRequest;
import org.plantainknot.core.lease.LeaseTable;
import org.plantainknot.core.lease.LeaseTiming;
import org.plantainknot.core.ticket.Decision;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.core.ticket.Ticket.Wave;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the commands that the coordinator derives from the replicated state. */
public class CoordinatorTest {

  private static final long ELECTED_MILLIS = 1_000_000;
  private static final long AFTER_ORPHANED_REQUESTS_MILLIS =
      ELECTED_MILLIS + RolloutTiming.DEFAULT.requestMaxMillis() + 1;

  private Fleets fleets;
  private LeaseTable leases;
  private LastSeenTimes lastSeenTimes;
  private Set<String> rebooted;
  private Coordinator coordinator;
  private long sequence;

  @BeforeMethod
  void createCoordinator() {
    fleets = new Fleets();
    fleets.setUpSite(1, 7, 3, FailureDomain.RACK);
    fleets.apply(new Command.GatewayUp("n1", "n1-process"), 0);
    fleets.apply(new Command.GatewayUp("n2", "n2-process"), 0);
    leases = new LeaseTable(LeaseTiming.DEFAULT, ELECTED_MILLIS);
    lastSeenTimes = new LastSeenTimes();
    rebooted = new HashSet<>();
    coordinator =
        new Coordinator(
            RolloutTiming.DEFAULT,
            fleets.state(),
            leases,
            lastSeenTimes,
            rebooted::contains,
            ELECTED_MILLIS);
  }

  @Test
  void aTargetThatHasJustRestartedIsNotMarkedGone() {
    duties(ELECTED_MILLIS);
    long laterMillis = ELECTED_MILLIS + RolloutTiming.DEFAULT.targetTimeoutMillis() + 500;
    recordAllAnnouncements("first", laterMillis - 100);
    fleets.announce(0, "second");
    assertFalse(duties(laterMillis).stream().anyMatch(Command.MarkGone.class::isInstance));
  }

  @Test
  void aTargetThatStopsAnnouncingItselfIsMarkedGone() {
    duties(ELECTED_MILLIS);
    long laterMillis = ELECTED_MILLIS + RolloutTiming.DEFAULT.targetTimeoutMillis() + 1;
    recordAllAnnouncements("first", laterMillis - 100);
    lastSeenTimes.recordSeen(Fleets.vm(3), "other", laterMillis);
    List<Command> duties = duties(laterMillis + RolloutTiming.DEFAULT.targetTimeoutMillis());
    assertTrue(duties.contains(new Command.MarkGone(Fleets.vm(1), Fleets.vm(1) + "first")));
  }

  @Test
  void aTicketIsInForceOnlyOnceEveryGatewayHasAppliedItOrLostItsLease() {
    Ticket ticket = wave(2);
    fleets.apply(new Command.FileTicket(ticket, "test"), 0);
    fleets.apply(new Command.DecideTicket(2, Decision.APPROVE, "test"), 0);
    LeaseRequest stale = fleets.request("n2", 1);
    leases.request(stale, 1);
    leases.confirm(1, 0, ELECTED_MILLIS);
    fleets.apply(new Command.StartTicket(2), 0);
    renewLease("n1", ELECTED_MILLIS + 10);
    Command inForce = new Command.MarkInForce(2);
    assertFalse(duties(ELECTED_MILLIS + 10).contains(inForce));
    long leaseExpiredMillis =
        ELECTED_MILLIS + LeaseTiming.DEFAULT.leaseMillis() + LeaseTiming.DEFAULT.marginMillis() + 1;
    assertTrue(duties(leaseExpiredMillis).contains(inForce));
  }

  @Test
  void aLeavingVmIsDrainedOnlyOnceNoGatewayRunsRequestsOnIt() {
    fleets.putInForce(wave(2));
    fleets.apply(new Command.StepVm(Fleets.vm(0), MoveStep.LEAVE), 0).orThrow();
    Command drained = new Command.StepVm(Fleets.vm(0), MoveStep.DRAINED);
    renewLease("n1", AFTER_ORPHANED_REQUESTS_MILLIS);
    LeaseRequest busy = fleets.request("n2", ++sequence);
    leases.request(
        new LeaseRequest(
            "n2",
            busy.process(),
            sequence,
            busy.appliedIndex(),
            busy.sharesVersion(),
            Set.of(Fleets.vm(0)),
            false),
        sequence);
    leases.confirm(sequence, 0, AFTER_ORPHANED_REQUESTS_MILLIS);
    assertFalse(duties(AFTER_ORPHANED_REQUESTS_MILLIS).contains(drained));
    renewLease("n2", AFTER_ORPHANED_REQUESTS_MILLIS + 10);
    assertTrue(duties(AFTER_ORPHANED_REQUESTS_MILLIS + 10).contains(drained));
  }

  @Test
  void aNewLeaderWaitsForRequestsOfGatewaysLostBeforeItsElection() {
    fleets.putInForce(wave(2));
    fleets.apply(new Command.StepVm(Fleets.vm(0), MoveStep.LEAVE), 0).orThrow();
    renewLease("n1", ELECTED_MILLIS + 10);
    renewLease("n2", ELECTED_MILLIS + 10);
    Command drained = new Command.StepVm(Fleets.vm(0), MoveStep.DRAINED);
    assertFalse(duties(ELECTED_MILLIS + 20).contains(drained));
  }

  @Test
  void aVmReturnsOnlyOnceThePlatformReportsTheRebootAndTheTargetHasRestarted() {
    fleets.putInForce(wave(2));
    fleets.apply(new Command.StepVm(Fleets.vm(0), MoveStep.LEAVE), 0).orThrow();
    fleets.apply(new Command.StepVm(Fleets.vm(0), MoveStep.DRAINED), 0).orThrow();
    Command returned = new Command.StepVm(Fleets.vm(0), MoveStep.RETURNED);
    fleets.announce(0, "first");
    rebooted.add(Fleets.vm(0));
    assertFalse(
        duties(AFTER_ORPHANED_REQUESTS_MILLIS).contains(returned),
        "returned by a late announcement from before the reboot");
    fleets.announce(0, "second");
    assertTrue(duties(AFTER_ORPHANED_REQUESTS_MILLIS).contains(returned));
  }

  @Test
  void aWaveNeverMovesMoreVmsThanTheBudgetAllows() {
    fleets.putInForce(wave(2));
    long leaving =
        duties(ELECTED_MILLIS).stream()
            .filter(Command.StepVm.class::isInstance)
            .map(command -> fleets.apply(command, 0))
            .filter(r -> r instanceof Result.Accepted)
            .count();
    assertTrue(leaving >= 1);
    assertTrue(7 - leaving - largestRemainingRack() >= 3);
  }

  private long largestRemainingRack() {
    return FailureDomain.RACK.largestDomainSize(
        fleets.state().fleet().vmsIn("p0").stream()
            .filter(vm -> vm.isAvailable())
            .map(vm -> vm.announcement())
            .toList());
  }

  private List<Command> duties(long nowMillis) {
    return coordinator.duties(nowMillis, 0).commands();
  }

  private void recordAllAnnouncements(String instance, long nowMillis) {
    for (int i = 0; i < 7; i++) {
      lastSeenTimes.recordSeen(Fleets.vm(i), Fleets.vm(i) + instance, nowMillis);
    }
  }

  private void renewLease(String node, long nowMillis) {
    leases.request(fleets.request(node, ++sequence), sequence);
    leases.confirm(sequence, 0, nowMillis);
  }

  private static Ticket wave(long number) {
    return new Ticket(
        number, Ticket.ON_APPROVAL, "wave", null, null, null, List.of(new Wave("p0")));
  }
}
