package org.plantainknot.core.control;

import static org.plantainknot.core.fuzz.Fuzz.require;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.plantainknot.core.claim.ClaimLimits;
import org.plantainknot.core.fleet.FailureDomain;
import org.plantainknot.core.fleet.Vm;
import org.plantainknot.core.fuzz.Fuzz;
import org.plantainknot.core.rollout.Fleets;
import org.plantainknot.core.ticket.Decision;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.core.ticket.Ticket.VmState;
import org.plantainknot.core.ticket.TicketEntry;
import org.testng.annotations.Test;

/** Fuzzes the replicated state with concurrent operators, resent commands and snapshots. */
public class ControlStateFuzzTest {

  @Test
  void ticketsNeverRevertResentCommandsGetTheFirstResultAndSnapshotsPreserveTheState() {
    Fuzz.run(1_500, 30, 250, actions -> new Model().run(actions));
  }

  private record SentCommand(String commandId, Command command, Result result) {}

  private static final class Model {

    private static final int VMS = 6;

    private ControlState state = new ControlState(ClaimLimits.DEFAULT);
    private final List<SentCommand> history = new ArrayList<>();
    private final Map<Long, Ticket> contentByNumber = new HashMap<>();
    private final Map<Long, Integer> progressByTicket = new HashMap<>();
    private long index;
    private long nowMillis = 1_000;
    private int commandCount;

    void run(List<Integer> actions) {
      send(new Command.FileTicket(Fleets.ticket(1, 2, VMS, 0, FailureDomain.NONE), "anna"));
      send(new Command.DecideTicket(1, Decision.APPROVE, "anna"));
      actions.forEach(this::perform);
    }

    private void perform(int action) {
      int argument = action / 16;
      long ticket = 1 + argument % 9;
      switch (action % 16) {
        case 0, 1, 2 -> send(new Command.FileTicket(ticket(ticket, argument / 9), "anna"));
        case 3, 4, 5 -> send(new Command.DecideTicket(ticket, Decision.APPROVE, "bert"));
        case 6 -> send(new Command.DecideTicket(ticket, Decision.WITHDRAW, "anna"));
        case 7, 8 -> state.tickets().due(nowMillis).forEach(n -> send(new Command.StartTicket(n)));
        case 9 -> send(new Command.MarkInForce(ticket));
        case 10, 11 -> resend(argument);
        case 12 -> send(new Command.StepVm(Fleets.vm(argument % VMS), MoveStep.LEAVE));
        case 13 -> send(new Command.StepVm(Fleets.vm(argument % VMS), MoveStep.DRAINED));
        case 14 -> restore();
        default -> nowMillis += argument % 100;
      }
      checkTickets();
      checkPools();
    }

    private Ticket ticket(long number, int argument) {
      List<VmState> vms = List.of(new VmState(Fleets.vm(argument % VMS), "p" + argument / 7 % 2));
      long start = argument % 3 == 0 ? nowMillis + argument % 50 : Ticket.ON_APPROVAL;
      return new Ticket(number, start, "", null, null, vms, null);
    }

    private void send(Command command) {
      String commandId = "command" + commandCount++;
      Result result = state.apply(++index, nowMillis, commandId, command);
      history.add(new SentCommand(commandId, command, result));
      if (command instanceof Command.FileTicket file && result instanceof Result.Accepted) {
        Ticket first = contentByNumber.putIfAbsent(file.ticket().number(), file.ticket());
        require(
            first == null || first.equals(file.ticket()),
            "a ticket number was reused with different content");
      }
    }

    private void resend(int argument) {
      SentCommand first = history.get(argument % history.size());
      if (first.command() instanceof Command.FileTicket
          || first.command() instanceof Command.DecideTicket) {
        Result again = state.apply(++index, nowMillis, first.commandId(), first.command());
        require(again.equals(first.result()), "a resent command got a different result");
      }
    }

    private void restore() {
      ControlState restored = new ControlState(ClaimLimits.DEFAULT);
      restored.restore(state.image());
      require(
          restored.image().equals(state.image()), "the restored state differs from the snapshot");
      state = restored;
    }

    /** Checks that an approved ticket never returns to an earlier status. */
    private void checkTickets() {
      for (TicketEntry entry : state.tickets().entries()) {
        long number = entry.ticket().number();
        int progress = entry.status().isBinding() ? entry.status().ordinal() : 0;
        int before = progressByTicket.getOrDefault(number, 0);
        require(progress >= before, "ticket " + number + " returned to status " + entry.status());
        progressByTicket.put(number, progress);
      }
    }

    /** Checks that the desired pool of a VM is that of the highest started ticket that names it. */
    private void checkPools() {
      for (Vm vm : state.fleet().vms()) {
        String expectedPool = null;
        for (TicketEntry entry : state.tickets().entries()) {
          for (VmState named :
              entry.startedIndex() > 0 ? entry.ticket().vms() : List.<VmState>of()) {
            expectedPool = named.name().equals(vm.name()) ? named.pool() : expectedPool;
          }
        }
        require(
            Objects.equals(expectedPool, vm.desiredPool()), vm + " should be in " + expectedPool);
        require(
            vm.pool() == null || vm.desiredPool() != null,
            vm + " is in a pool that no ticket assigned");
      }
    }
  }
}
