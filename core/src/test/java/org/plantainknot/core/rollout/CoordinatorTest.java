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

/** Tests the leader's duties. */
public class CoordinatorTest {

  private static final long ELECTED = 1_000_000;
  private static final long QUIET = ELECTED + RolloutTiming.DEFAULT.requestMaxMillis() + 1;

  private Fleets fleets;
  private LeaseTable leases;
  private Sightings sightings;
  private Set<String> rebooted;
  private Coordinator coordinator;
  private long sequence;

  @BeforeMethod
  void takeOffice() {
    fleets = new Fleets();
    fleets.site(1, 7, 3, FailureDomain.RACK);
    fleets.apply(new Command.GatewayUp("n1", "n1-process"), 0);
    fleets.apply(new Command.GatewayUp("n2", "n2-process"), 0);
    leases = new LeaseTable(LeaseTiming.DEFAULT, ELECTED);
    sightings = new Sightings();
    rebooted = new HashSet<>();
    coordinator =
        new Coordinator(
            RolloutTiming.DEFAULT, fleets.state(), leases, sightings, rebooted::contains, ELECTED);
  }

  @Test
  void aTargetThatHasJustReturnedIsNotTakenForGone() {
    duties(ELECTED);
    long later = ELECTED + RolloutTiming.DEFAULT.goneMillis() + 500;
    seeAll("first", later - 100);
    fleets.announce(0, "second");
    assertFalse(duties(later).stream().anyMatch(Command.MarkGone.class::isInstance));
  }

  @Test
  void aSilentTargetIsTakenForGone() {
    duties(ELECTED);
    long later = ELECTED + RolloutTiming.DEFAULT.goneMillis() + 1;
    seeAll("first", later - 100);
    sightings.seen(Fleets.vm(3), "other", later);
    List<Command> duties = duties(later + RolloutTiming.DEFAULT.goneMillis());
    assertTrue(duties.contains(new Command.MarkGone(Fleets.vm(1), Fleets.vm(1) + "first")));
  }

  @Test
  void aTicketIsInForceOnlyOnceEveryGatewayHasAppliedItOrLostItsLease() {
    Ticket ticket = wave(2);
    fleets.apply(new Command.FileTicket(ticket, "test"), 0);
    fleets.apply(new Command.DecideTicket(2, Decision.APPROVE, "test"), 0);
    LeaseRequest stale = fleets.request("n2", 1);
    leases.request(stale, 1);
    leases.confirm(1, 0, ELECTED);
    fleets.apply(new Command.StartTicket(2), 0);
    hear("n1", ELECTED + 10);
    Command inForce = new Command.MarkInForce(2);
    assertFalse(duties(ELECTED + 10).contains(inForce));
    long lapsed =
        ELECTED + LeaseTiming.DEFAULT.leaseMillis() + LeaseTiming.DEFAULT.marginMillis() + 1;
    assertTrue(duties(lapsed).contains(inForce));
  }

  @Test
  void aLeavingVmIsDrainedOnlyOnceNoGatewayUsesIt() {
    fleets.enact(wave(2));
    fleets.apply(new Command.StepVm(Fleets.vm(0), MoveStep.LEAVE), 0).orThrow();
    Command drained = new Command.StepVm(Fleets.vm(0), MoveStep.DRAINED);
    hear("n1", QUIET);
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
    leases.confirm(sequence, 0, QUIET);
    assertFalse(duties(QUIET).contains(drained));
    hear("n2", QUIET + 10);
    assertTrue(duties(QUIET + 10).contains(drained));
  }

  @Test
  void aNewLeaderWaitsForRequestsThatItCannotKnowOf() {
    fleets.enact(wave(2));
    fleets.apply(new Command.StepVm(Fleets.vm(0), MoveStep.LEAVE), 0).orThrow();
    hear("n1", ELECTED + 10);
    hear("n2", ELECTED + 10);
    Command drained = new Command.StepVm(Fleets.vm(0), MoveStep.DRAINED);
    assertFalse(duties(ELECTED + 20).contains(drained));
  }

  @Test
  void aVmReturnsOnlyWhenThePlatformIsDoneAndTheTargetIsUpAgain() {
    fleets.enact(wave(2));
    fleets.apply(new Command.StepVm(Fleets.vm(0), MoveStep.LEAVE), 0).orThrow();
    fleets.apply(new Command.StepVm(Fleets.vm(0), MoveStep.DRAINED), 0).orThrow();
    Command returned = new Command.StepVm(Fleets.vm(0), MoveStep.RETURNED);
    fleets.announce(0, "first");
    rebooted.add(Fleets.vm(0));
    assertFalse(duties(QUIET).contains(returned), "a late announcement from before the reboot");
    fleets.announce(0, "second");
    assertTrue(duties(QUIET).contains(returned));
  }

  @Test
  void aWaveNeverTakesMoreThanTheBudgetAllows() {
    fleets.enact(wave(2));
    long leaving =
        duties(ELECTED).stream()
            .filter(Command.StepVm.class::isInstance)
            .map(command -> fleets.apply(command, 0))
            .filter(r -> r instanceof Result.Accepted)
            .count();
    assertTrue(leaving >= 1);
    assertTrue(7 - leaving - largestRackAfter() >= 3);
  }

  private long largestRackAfter() {
    return FailureDomain.RACK.largest(
        fleets.state().fleet().vmsIn("p0").stream()
            .filter(vm -> vm.isAvailable())
            .map(vm -> vm.announcement())
            .toList());
  }

  private List<Command> duties(long nowMillis) {
    return coordinator.duties(nowMillis, 0).commands();
  }

  private void seeAll(String instance, long nowMillis) {
    for (int i = 0; i < 7; i++) {
      sightings.seen(Fleets.vm(i), Fleets.vm(i) + instance, nowMillis);
    }
  }

  private void hear(String node, long nowMillis) {
    leases.request(fleets.request(node, ++sequence), sequence);
    leases.confirm(sequence, 0, nowMillis);
  }

  private static Ticket wave(long number) {
    return new Ticket(
        number, Ticket.ON_APPROVAL, "wave", null, null, null, List.of(new Wave("p0")));
  }
}
