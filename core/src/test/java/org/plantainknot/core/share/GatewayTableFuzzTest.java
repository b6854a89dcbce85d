package org.plantainknot.core.share;

import static org.plantainknot.core.fuzz.Fuzz.require;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.plantainknot.core.fuzz.Fuzz;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Fuzzes the division of slots with gateways that start, stop, and learn of changes late. */
public class GatewayTableFuzzTest {

  private static final int VMS = 5;
  private static final int SLOTS = 8;

  @Test
  void theGatewaysTogetherNeverUseMoreSlotsThanATargetHas() {
    Fuzz.run(2_000, 50, 400, actions -> new Model().run(actions));
  }

  @DataProvider
  Object[][] gatewayCounts() {
    return new Object[][] {{1}, {2}, {3}, {5}, {6}, {22}};
  }

  @Test(dataProvider = "gatewayCounts")
  void theSharesOfATargetAddUpToItsSlots(int count) {
    List<String> gateways = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      gateways.add(String.format("g%02d", i));
    }
    for (long ordinal = 0; ordinal < 100; ordinal++) {
      long vm = ordinal;
      int sum = gateways.stream().mapToInt(g -> SlotShares.share(gateways, g, vm, SLOTS)).sum();
      require(sum == SLOTS, "VM " + vm + " has " + sum + " slots");
    }
  }

  /** A gateway's own, possibly outdated, view of the table. */
  private static final class View {
    private final GatewayTable table = new GatewayTable();
    private final int[] inUse = new int[VMS];
  }

  private static final class Model {

    private final GatewayTable table = new GatewayTable();
    private final Map<String, View> views = new HashMap<>();
    private int startCount;

    void run(List<Integer> actions) {
      actions.forEach(this::act);
    }

    private void act(int number) {
      int argument = number / 16;
      String node = "n" + argument % 4;
      String process = table.processOf(node).orElse(null);
      switch (number % 16) {
        case 0 -> start(node, process);
        case 1 -> table.down(node, String.valueOf(process), false);
        case 2, 3, 4 -> updateView(process);
        case 5, 6, 7, 8, 9, 10 -> takeSlot(argument);
        case 11, 12, 13 -> releaseSlot(argument);
        default -> settle();
      }
    }

    private void start(String node, String process) {
      if (process == null) {
        startCount++;
        String started = node + "-" + startCount;
        views.put(started, new View());
        table.up(node, started);
      }
    }

    private void updateView(String process) {
      if (process != null) {
        views.get(process).table.restore(table.image());
      }
    }

    private void takeSlot(int argument) {
      List<String> processes = views.keySet().stream().sorted().toList();
      if (processes.isEmpty()) {
        return;
      }
      String process = processes.get(argument / 8 % processes.size());
      View view = views.get(process);
      int vm = argument % VMS;
      if (view.inUse[vm] < view.table.share(process, vm, SLOTS)) {
        view.inUse[vm]++;
      }
      int sum = views.values().stream().mapToInt(v -> v.inUse[vm]).sum();
      require(sum <= SLOTS, sum + " slots of VM " + vm + " are in use");
    }

    private void releaseSlot(int argument) {
      List<String> processes = views.keySet().stream().sorted().toList();
      if (!processes.isEmpty()) {
        View view = views.get(processes.get(argument / 8 % processes.size()));
        int vm = argument % VMS;
        view.inUse[vm] = Math.max(0, view.inUse[vm] - 1);
      }
    }

    /**
     * Settles the shares under the leader's condition: live gateways keep to them, others are idle.
     */
    private void settle() {
      for (String process : List.copyOf(views.keySet())) {
        View view = views.get(process);
        boolean idle = Arrays.stream(view.inUse).allMatch(used -> used == 0);
        boolean isDown = !table.isLive(process);
        if (isDown && idle) {
          views.remove(process);
        } else if (isDown || !isSettled(process, view)) {
          return;
        }
      }
      table.settle(table.version());
    }

    private boolean isSettled(String process, View view) {
      if (view.table.version() != table.version()) {
        return false;
      }
      for (int vm = 0; vm < VMS; vm++) {
        if (view.inUse[vm] > view.table.share(process, vm, SLOTS)) {
          return false;
        }
      }
      return true;
    }
  }
}
