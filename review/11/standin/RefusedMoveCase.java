import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Two pools of different machines: the infrastructure answers a move from one to the other with 400.
 * A burst at one queue makes the system ask for such moves. Exit status 1: when all traffic has ended
 * and finish_s has passed, accepted submissions of the other queue have nothing running for three
 * seconds, though all runners of their pool are up and idle (LOST).
 */
final class RefusedMoveCase extends Scene {

  private static final String DONOR = "gatepass";
  private static final String PRESSED = "licensing";
  private static final long FINISH_MILLIS = 14_000;
  private static final long SPAN_MILLIS = 3_000;
  private static final int SUBMISSIONS = 5;

  public static void main(String[] args) throws Exception {
    play(args[0], new RefusedMoveCase(), 3, 2);
  }

  @Override
  int run(boolean trouble) throws Exception {
    List<Map<String, Object>> routes =
        List.of(
            Caller.route("r-gate", "/gate/", DONOR, 4),
            Caller.route("r-renew", "/renew/", PRESSED, 4));
    if (!configure(1, routes, List.of(DONOR, PRESSED))) {
      return NOT_RUN;
    }
    platform.setFixedPools(trouble);
    for (int i = 0; i < 6; i++) {
      addMachine(i, DONOR, "a", 16_000);
    }
    for (int i = 6; i < 12; i++) {
      addMachine(i, PRESSED, "b", 16_000);
    }
    Http.sleep(3_500);
    for (int i = 0; i < 30; i++) {
      submit(String.format("/renew/%016x", 0x1000 + i), 12, 2_000);
      Http.sleep(100);
    }
    Http.sleep(5_000);
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < SUBMISSIONS; i++) {
      String id = String.format("%016x", 0x2000 + i);
      if (!submit("/gate/" + id, 1, 1_000)) {
        return NOT_RUN;
      }
      ids.add(id);
    }
    trace.log("all traffic has ended");
    Http.sleep(FINISH_MILLIS);
    long end = Trace.now() + SPAN_MILLIS;
    boolean idle = true;
    while (Trace.now() < end) {
      idle &=
          platform.machines().stream()
              .filter(machine -> machine.pool.equals(DONOR))
              .allMatch(machine -> machine.runner.runs().isEmpty() && !machine.runner.isGone());
      Http.sleep(50);
    }
    int lost = 0;
    for (String id : ids) {
      String state = caller.state("/gate/" + id);
      boolean ran = platform.allRuns().stream().anyMatch(run -> run.task.startsWith(id));
      trace.log("submission %s is shown as %s, has run: %s", id, state, ran);
      lost += idle && !ran ? 1 : 0;
    }
    long up =
        platform.machines().stream().filter(machine -> machine.pool.equals(DONOR)).count();
    if (lost > 0) {
      trace.log("LOST broken: %d accepted submissions never ran; %d idle runners", lost, up);
    }
    return lost > 0 ? BROKEN : HELD;
  }

  private boolean submit(String path, int units, long workMillis) {
    Map<String, Object> step =
        Json.map(
            "count", units, "cpu", 2_000, "mem_mb", 256, "estimate_ms", workMillis);
    return caller.submit(
        path, Json.map("spec", "work=" + workMillis, "steps", List.of(step)), 5_000);
  }
}
