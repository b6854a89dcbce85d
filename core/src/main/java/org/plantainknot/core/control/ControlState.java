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
 * The replicated state: the same commands in the same order lead to the same state on each member.
 *
 * <p>Not thread-safe.
 */
public final class ControlState {

  /**
   * Copy of the state, for snapshots.
   *
   * @param appliedIndex index of the last command applied
   * @param clockMillis time of the log
   * @param fleet VMs, pools and services
   * @param tickets all tickets
   * @param claims all claims
   * @param gateways live gateways and shares
   * @param results remembered results
   */
  public record Image(
      long appliedIndex,
      long clockMillis,
      Fleet.Image fleet,
      List<TicketEntry> tickets,
      List<Claim> claims,
      GatewayTable.Image gateways,
      List<CommandMemory.Remembered> results) {}

  private final Fleet fleet = new Fleet();
  private final TicketBook tickets = new TicketBook(fleet);
  private final ClaimTable claims;
  private final GatewayTable gateways = new GatewayTable();
  private final CommandMemory memory = new CommandMemory();
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

  /** Returns the gateways and the division of slots. */
  public GatewayTable gateways() {
    return gateways;
  }

  /** Returns the index of the last entry applied. */
  public long appliedIndex() {
    return appliedIndex;
  }

  /** Returns the time of the log, which never goes back. */
  public long clockMillis() {
    return clockMillis;
  }

  /** Returns a number that grows with each change of what the gateways route by. */
  public long fleetVersion() {
    return fleetVersion;
  }

  /** Notes an entry that carries no command. */
  public void skip(long index) {
    appliedIndex = index;
  }

  /**
   * Applies the command of a log entry.
   *
   * @param index index of the entry
   * @param stampMillis time at which the leader took the command
   * @param commandId identifier that the sender chose; a repeated one gets the first result
   * @param command the command
   */
  public Result apply(long index, long stampMillis, String commandId, Command command) {
    appliedIndex = index;
    clockMillis = Math.max(clockMillis, stampMillis);
    if (isRemembered(command)) {
      return memory.find(commandId).orElseGet(() -> applyAndRemember(index, commandId, command));
    }
    return applyNew(index, command);
  }

  /** Returns a copy for a snapshot. */
  public Image image() {
    return new Image(
        appliedIndex,
        clockMillis,
        fleet.image(),
        List.copyOf(tickets.entries()),
        claims.image(),
        gateways.image(),
        memory.image());
  }

  /** Replaces the state by that of a snapshot. */
  public void restore(Image image) {
    appliedIndex = image.appliedIndex();
    clockMillis = image.clockMillis();
    fleet.restore(image.fleet());
    tickets.restore(image.tickets());
    claims.restore(image.claims());
    gateways.restore(image.gateways());
    memory.restore(image.results());
    fleetVersion++;
  }

  private static boolean isRemembered(Command command) {
    return command instanceof FileTicket || command instanceof DecideTicket;
  }

  private Result applyAndRemember(long index, String commandId, Command command) {
    Result result = applyNew(index, command);
    memory.remember(commandId, result);
    return result;
  }

  private Result applyNew(long index, Command command) {
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
    return applyToFleet(index, command);
  }

  private Result applyToFleet(long index, Command command) {
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
          : Result.refused(ErrorCode.STALE, "shares " + settle.version() + " are not awaited");
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
    Vm vm = fleet.vmOrNew(announce.vm());
    if (vm.isFromBeforeReboot(announce.announcement())) {
      return Result.refused(ErrorCode.STALE, "VM " + vm.name() + " is about to be rebooted");
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
      return Result.refused(ErrorCode.STALE, "VM " + gone.vm() + " has announced itself again");
    }
    fleet.put(vm.gone());
    return Result.accepted("VM " + gone.vm() + " is gone");
  }

  private Result stepVm(StepVm step) {
    Vm vm = fleet.vm(step.vm()).orElse(null);
    if (vm == null || vm.pool() == null) {
      return Result.refused(ErrorCode.NOT_FOUND, "VM " + step.vm() + " has no pool");
    }
    Result result = step.step().apply(fleet, vm);
    tickets.completeArrived(clockMillis);
    return result;
  }
}
