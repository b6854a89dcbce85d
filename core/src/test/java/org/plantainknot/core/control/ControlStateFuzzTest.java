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

/** Fuzzes the replicated state with racing operators, resends and restored snapshots. */
public class ControlStateFuzzTest {

  @Test
  void ticketsNeverRevertResendsGetTheFirstResultAndSnapshotsChangeNothing() {
    Fuzz.run(1_500, 30, 250, actions -> new Model().run(actions));
  }

  private record Sent(String commandId, Command command, Result result) {}

  private static final class Model {

    private static final int VMS = 6;

    private ControlState state = new ControlState(ClaimLimits.DEFAULT);
    private final List<Sent> sent = new ArrayList<>();
    private final Map<Long, Ticket> firstContent = new HashMap<>();
    private final Map<Long, Integer> progressByTicket = new HashMap<>();
    private long index;
    private long nowMillis = 1_000;
    private int commands;

    void run(List<Integer> actions) {
      send(new Command.FileTicket(Fleets.ticket(1, 2, VMS, 0, FailureDomain.NONE), "anna"));
      send(new Command.DecideTicket(1, Decision.APPROVE, "anna"));
      actions.forEach(this::act);
    }

    private void act(int number) {
      int argument = number / 16;
      long ticket = 1 + argument % 9;
      switch (number % 16) {
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
      String commandId = "command" + commands++;
      Result result = state.apply(++index, nowMillis, commandId, command);
      sent.add(new Sent(commandId, command, result));
      if (command instanceof Command.FileTicket file && result instanceof Result.Accepted) {
        Ticket first = firstContent.putIfAbsent(file.ticket().number(), file.ticket());
        require(first == null || first.equals(file.ticket()), "a number took other content");
      }
    }

    private void resend(int argument) {
      Sent first = sent.get(argument % sent.size());
      if (first.command() instanceof Command.FileTicket
          || first.command() instanceof Command.DecideTicket) {
        Result again = state.apply(++index, nowMillis, first.commandId(), first.command());
        require(again.equals(first.result()), "a resend got another result");
      }
    }

    private void restore() {
      ControlState restored = new ControlState(ClaimLimits.DEFAULT);
      restored.restore(state.image());
      require(restored.image().equals(state.image()), "a restored state differs");
      state = restored;
    }

    /** Once approved a ticket only goes on, and it never becomes anything else. */
    private void checkTickets() {
      for (TicketEntry entry : state.tickets().entries()) {
        long number = entry.ticket().number();
        int progress = entry.status().isBinding() ? entry.status().ordinal() : 0;
        int before = progressByTicket.getOrDefault(number, 0);
        require(progress >= before, "ticket " + number + " went back to " + entry.status());
        progressByTicket.put(number, progress);
      }
    }

    /** What a VM is held to comes from the highest ticket that has started and names it. */
    private void checkPools() {
      for (Vm vm : state.fleet().vms()) {
        String wanted = null;
        for (TicketEntry entry : state.tickets().entries()) {
          for (VmState named :
              entry.startedIndex() > 0 ? entry.ticket().vms() : List.<VmState>of()) {
            wanted = named.name().equals(vm.name()) ? named.pool() : wanted;
          }
        }
        require(Objects.equals(wanted, vm.desiredPool()), vm + " should be in " + wanted);
        require(vm.pool() == null || vm.desiredPool() != null, vm + " is in a pool by no ticket");
      }
    }
  }
}
