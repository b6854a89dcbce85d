package org.plantainknot.core.control;

import java.util.List;
import org.plantainknot.core.claim.Claim;
import org.plantainknot.core.claim.ClaimLimits;
import org.plantainknot.core.claim.ClaimTable;
import org.plantainknot.core.claim.ClaimVerdict;
import org.plantainknot.core.claim.StoredAnswer;
import org.plantainknot.core.control.Command.Announce;
import org.plantainknot.core.control.Command.CloseClaim;
import org.plantainknot.core.control.Command.DecideTicket;
import org.plantainknot.core.control.Command.FileTicket;
import org.plantainknot.core.control.Command.GatewayDown;
import org.plantainknot.core.control.Command.GatewayUp;
import org.plantainknot.core.control.Command.MarkGone;
import org.plantainknot.core.control.Command.MarkInForce;
import org.plantainknot.core.control.Command.OpenClaim;
import org.plantainknot.core.control.Command.SettleShares;
import org.plantainknot.core.control.Command.StartTicket;
import org.plantainknot.core.control.Command.StepVm;
import org.plantainknot.core.error.ErrorCode;
import org.plantainknot.core.fleet.Fleet;
import org.plantainknot.core.fleet.Vm;
import org.plantainknot.core.share.GatewayTable;
import org.plantainknot.core.ticket.TicketBook;
import org.plantainknot.core.ticket.TicketEntry;

/**
 * Deterministic replicated state machine: members that apply the same commands in the same order
 * reach the same state.
 *
 * <p>Not thread-safe.
 */
public final class ControlState {

  /**
   * Copy of the state for snapshots.
   *
   * @param appliedIndex index of the last log entry applied
   * @param clockMillis latest timestamp among the applied commands
   * @param fleet VMs, pools and services
   * @param tickets all tickets
   * @param claims all claims
   * @param gateways live gateways and their slot shares
   * @param results results of the latest operator commands
   */
  public record Image(
      long appliedIndex,
      long clockMillis,
      Fleet.Image fleet,
      List<TicketEntry> tickets,
      List<Claim> claims,
      GatewayTable.Image gateways,
      List<RecentResults.RecordedResult> results) {}

  private final Fleet fleet = new Fleet();
  private final TicketBook tickets = new TicketBook(fleet);
  private final ClaimTable claims;
  private final GatewayTable gateways = new GatewayTable();
  private final RecentResults recentResults = new RecentResults();
  private long appliedIndex;
  private long clockMillis;
  private long fleetVersion;

  /** Creates the state before the first command. */
  public ControlState(ClaimLimits claimLimits) {
    this.claims = new ClaimTable(claimLimits);
  }

  /** Returns the VMs, pools and services. */
  public Fleet fleet() {
    return fleet;
  }

  /** Returns the tickets. */
  public TicketBook tickets() {
    return tickets;
  }

  /** Returns the claims. */
  public ClaimTable claims() {
    return claims;
  }

  /** Returns the live gateways and their slot shares. */
  public GatewayTable gateways() {
    return gateways;
  }

  /** Returns the index of the last log entry applied. */
  public long appliedIndex() {
    return appliedIndex;
  }

  /** Returns the latest timestamp among the applied commands; it never decreases. */
  public long clockMillis() {
    return clockMillis;
  }

  /** Returns a version that increases with each change to the state that gateways route by. */
  public long fleetVersion() {
    return fleetVersion;
  }

  /** Advances the applied index past a log entry that carries no command. */
  public void skip(long index) {
    appliedIndex = index;
  }

  /**
   * Applies the command of a log entry.
   *
   * @param index index of the log entry
   * @param timestampMillis time at which the leader accepted the command
   * @param commandId identifier chosen by the sender; an operator command with a repeated
   *     identifier gets the first result
   * @param command command to apply
   */
  public Result apply(long index, long timestampMillis, String commandId, Command command) {
    appliedIndex = index;
    clockMillis = Math.max(clockMillis, timestampMillis);
    if (isDeduplicated(command)) {
      return recentResults
          .find(commandId)
          .orElseGet(() -> applyAndRecordResult(index, commandId, command));
    }
    return execute(index, command);
  }

  /** Returns a copy of the state for a snapshot. */
  public Image image() {
    return new Image(
        appliedIndex,
        clockMillis,
        fleet.image(),
        List.copyOf(tickets.entries()),
        claims.image(),
        gateways.image(),
        recentResults.image());
  }

  /** Replaces the state with that of a snapshot. */
  public void restore(Image image) {
    appliedIndex = image.appliedIndex();
    clockMillis = image.clockMillis();
    fleet.restore(image.fleet());
    tickets.restore(image.tickets());
    claims.restore(image.claims());
    gateways.restore(image.gateways());
    recentResults.restore(image.results());
    fleetVersion++;
  }

  private static boolean isDeduplicated(Command command) {
    return command instanceof FileTicket || command instanceof DecideTicket;
  }

  private Result applyAndRecordResult(long index, String commandId, Command command) {
    Result result = execute(index, command);
    recentResults.put(commandId, result);
    return result;
  }

  private Result execute(long index, Command command) {
    if (command instanceof OpenClaim open) {
      return openClaim(open.claim());
    }
    if (command instanceof CloseClaim close) {
      claims.close(close.key(), close.attempt(), close.outcome(), close.answer());
      return Result.accepted("claim closed");
    }
    if (command instanceof FileTicket file) {
      return tickets.file(file.ticket(), file.operator(), clockMillis);
    }
    if (command instanceof DecideTicket d) {
      return tickets.decide(d.number(), d.decision(), d.operator(), clockMillis);
    }
    if (command instanceof MarkInForce mark) {
      return tickets.markInForce(mark.number(), clockMillis);
    }
    fleetVersion++;
    return executeOnFleet(index, command);
  }

  private Result executeOnFleet(long index, Command command) {
    if (command instanceof StartTicket start) {
      return tickets.start(start.number(), index);
    }
    if (command instanceof Announce announce) {
      return announce(announce);
    }
    if (command instanceof MarkGone gone) {
      return markGone(gone);
    }
    if (command instanceof StepVm step) {
      return stepVm(step);
    }
    if (command instanceof GatewayUp up) {
      gateways.up(up.node(), up.process());
      return Result.accepted("gateway " + up.process() + " is up");
    }
    if (command instanceof GatewayDown down) {
      gateways.down(down.node(), down.process(), down.quiet());
      return Result.accepted("gateway " + down.process() + " is down");
    }
    if (command instanceof SettleShares settle) {
      return gateways.settle(settle.version())
          ? Result.accepted("shares " + settle.version() + " in force")
          : Result.refused(ErrorCode.STALE, "shares " + settle.version() + " are not pending");
    }
    throw new IllegalArgumentException("unknown command " + command);
  }

  private Result openClaim(Claim claim) {
    ClaimVerdict verdict = claims.open(claim, gateways::isLive, clockMillis);
    StoredAnswer answer =
        verdict == ClaimVerdict.ANSWERED
            ? claims.find(claim.key()).map(Claim::answer).orElse(null)
            : null;
    return new Result.Claimed(verdict, answer);
  }

  private Result announce(Announce announce) {
    Vm vm = fleet.getOrCreateVm(announce.vm());
    if (vm.isFromBeforeReboot(announce.announcement())) {
      return Result.refused(
          ErrorCode.STALE, "VM " + vm.name() + " announced the instance that is being rebooted");
    }
    fleet.put(vm.announced(announce.announcement()));
    return Result.accepted("VM " + vm.name() + " announced");
  }

  private Result markGone(MarkGone gone) {
    Vm vm = fleet.vm(gone.vm()).orElse(null);
    boolean current =
        vm != null
            && vm.announcement() != null
            && vm.announcement().instance().equals(gone.instance());
    if (!current) {
      return Result.refused(
          ErrorCode.STALE, "VM " + gone.vm() + " does not announce that instance");
    }
    fleet.put(vm.withoutAnnouncement());
    return Result.accepted("VM " + gone.vm() + " is gone");
  }

  private Result stepVm(StepVm step) {
    Vm vm = fleet.vm(step.vm()).orElse(null);
    if (vm == null || vm.pool() == null) {
      return Result.refused(ErrorCode.NOT_FOUND, "VM " + step.vm() + " has no pool");
    }
    Result result = step.step().apply(fleet, vm);
    tickets.completeFinished(clockMillis);
    return result;
  }
}
