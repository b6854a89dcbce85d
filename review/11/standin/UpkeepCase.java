import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Two waves of upkeep, during each of which all processes of the core are killed once and start
 * again after about two seconds. Exit status 1: an upkeep ended a work unit while as many others of
 * its step as may be away were away already (AVAIL).
 */
final class UpkeepCase extends Scene {

  private static final int MACHINES = 35;
  private static final int SUBMISSIONS = 8;
  private static final int UNITS = 16;
  private static final int MAY_MISS = 1;
  private static final int WAVE_MACHINES = 17;
  private static final int MAX_COUNT = 7;
  private static final long NOTICE_MILLIS = 4_500;
  private static final int WAVES = 2;
  private static final long BACK_MILLIS = 2_200;
  private static final long PAUSE_MILLIS = 9_000;
  private static final String SERVICE = "gatepass";

  private final Map<String, List<String>> broken = new HashMap<>();

  /** For each unit that an order has ended: when. It counts as away until it is at work again. */
  private final Map<String, Long> endedByOrder = new HashMap<>();

  public static void main(String[] args) throws Exception {
    play(args[0], new UpkeepCase(), 5, 2);
  }

  @Override
  int run(boolean trouble) throws Exception {
    if (!configure(1, List.of(Caller.route("r-log", "/log/", SERVICE, 4)), List.of(SERVICE))) {
      return NOT_RUN;
    }
    for (int i = 0; i < MACHINES; i++) {
      addMachine(i, SERVICE, "a", 16_000);
    }
    Http.sleep(3_000);
    for (int i = 0; i < SUBMISSIONS; i++) {
      Map<String, Object> step =
          Json.map(
              "count", UNITS,
              "cpu", 2_000,
              "mem_mb", 256,
              "estimate_ms", 500,
              "persistent", true,
              "max_per_server", 1,
              "may_miss", MAY_MISS);
      Map<String, Object> submission = Json.map("spec", "lasts", "steps", List.of(step));
      if (!caller.submit(path(i), submission, 10_000)) {
        return NOT_RUN;
      }
    }
    long deadline = Trace.now() + 15_000;
    while (atWork() < SUBMISSIONS * UNITS && Trace.now() < deadline) {
      Http.sleep(50);
    }
    if (atWork() < SUBMISSIONS * UNITS) {
      trace.log("only %d work units are at work", atWork());
      return NOT_RUN;
    }
    Http.sleep(2_500);
    platform.setOnOrder(this::onOrder);
    for (int wave = 1; wave <= WAVES && broken.isEmpty(); wave++) {
      playWave(wave, trouble);
    }
    platform.setOnOrder((machine, order) -> {});
    broken.forEach((unit, others) -> trace.log("AVAIL broken: %s, away: %s", unit, others));
    return broken.isEmpty() ? HELD : BROKEN;
  }

  private void playWave(int wave, boolean trouble) throws Exception {
    List<String> names =
        platform.machines().stream()
            .filter(machine -> !machine.runner.runs().isEmpty())
            .sorted(
                Comparator.comparing((Platform.Machine machine) -> machine.wave)
                    .thenComparing(machine -> -machine.runner.runs().size()))
            .limit(WAVE_MACHINES)
            .map(machine -> machine.name)
            .toList();
    Object body =
        Json.map("wave", wave, "machines", names, "duration_s", 26, "max_count", MAX_COUNT);
    caller.order("POST", "/wave-start", body, 5_000);
    Http.sleep(300);
    if (trouble) {
      deployment.controllers().forEach(deployment::kill);
      for (String node : deployment.controllers()) {
        deployment.awaitEnd(node);
      }
      Http.sleep(BACK_MILLIS);
      for (String node : deployment.controllers()) {
        deployment.start(node, false);
      }
    }
    long deadline = Trace.now() + 26_000;
    while (Trace.now() < deadline && !caller.waveState(wave).equals("completed")) {
      Http.sleep(500);
    }
    trace.log("wave %d is shown as %s", wave, caller.waveState(wave));
    if (wave < WAVES && broken.isEmpty()) {
      Http.sleep(PAUSE_MILLIS);
    }
  }

  private static String path(int submission) {
    return String.format("/log/%016x", 0xa000 + submission);
  }

  private long atWork() {
    return platform.allRuns().stream().filter(Runner.Run::isAtWork).count();
  }

  /** Checks the rule as an order is about to end what runs on a machine. */
  private synchronized void onOrder(Platform.Machine machine, String order) {
    for (Runner.Run run : machine.runner.runs()) {
      if (!run.isAtWork()) {
        continue;
      }
      List<String> away = othersAway(run.task);
      trace.log("%s of %s ends %s; others away: %s", order, machine.name, run.task, away);
      if (away.size() >= MAY_MISS) {
        broken.put(run.task + " by " + order + " of " + machine.name, away);
      }
      endedByOrder.put(run.task, Trace.now());
    }
  }

  /**
   * Returns the other units of a step that were ended by such an order and aren't at work again, or
   * that aren't at work for longer than the notice.
   */
  private List<String> othersAway(String task) {
    String step = task.substring(0, task.lastIndexOf('.'));
    List<String> away = new ArrayList<>();
    for (int index = 0; index < UNITS; index++) {
      String other = step + "." + index;
      if (other.equals(task)) {
        continue;
      }
      List<Runner.Run> runs =
          platform.allRuns().stream().filter(run -> run.task.equals(other)).toList();
      if (runs.stream().anyMatch(Runner.Run::isAtWork)) {
        endedByOrder.remove(other);
        continue;
      }
      long lastEnd = runs.stream().mapToLong(run -> run.endMillis).max().orElse(0);
      boolean stopped = runs.stream().anyMatch(r -> r.endMillis == lastEnd && isOrdered(r.how));
      if (endedByOrder.containsKey(other) || stopped || Trace.now() - lastEnd >= NOTICE_MILLIS) {
        away.add(other);
      }
    }
    return away;
  }

  private static boolean isOrdered(String how) {
    return how.equals("stopped") || how.startsWith("machine-");
  }
}
