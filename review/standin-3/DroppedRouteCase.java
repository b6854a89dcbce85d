import java.util.List;
import java.util.Map;

/**
 * A manifest drops the route of a submission whose work unit fails, and a later one adds it again.
 * Exit status 1: the work unit is started after max_attempts of its runs have ended failed and were
 * taken note of (BUDGET).
 */
final class DroppedRouteCase extends Scene {

  private static final String SERVICE = "counterdesk";
  private static final int MAX_ATTEMPTS = 2;
  private static final long NOTED_MILLIS = 1_000;

  public static void main(String[] args) throws Exception {
    play(args[0], new DroppedRouteCase(), 3, 2);
  }

  @Override
  int run(boolean trouble) throws Exception {
    Map<String, Object> kept = Caller.route("r-kept", "/kept/", SERVICE, 4);
    Map<String, Object> dropped = Caller.route("r-look", "/look/", SERVICE, MAX_ATTEMPTS);
    if (!configure(1, List.of(kept, dropped), List.of(SERVICE))) {
      return NOT_RUN;
    }
    for (int i = 0; i < 6; i++) {
      addMachine(i, SERVICE, "a", 16_000);
    }
    Http.sleep(3_500);
    Map<String, Object> step =
        Json.map("count", 1, "cpu", 1_000, "mem_mb", 256, "estimate_ms", 1_500);
    Map<String, Object> submission = Json.map("spec", "fail=1500", "steps", List.of(step));
    if (!caller.submit("/look/000000000000d001", submission, 10_000)) {
      return NOT_RUN;
    }
    if (trouble) {
      configure(4, List.of(kept), List.of(SERVICE));
      Http.sleep(12_000);
      configure(9, List.of(kept, dropped), List.of(SERVICE));
      Http.sleep(6_000);
    } else {
      configure(4, List.of(kept, dropped), List.of(SERVICE));
      Http.sleep(18_000);
    }
    trace.log("the submission is shown as %s", caller.state("/look/000000000000d001"));
    List<Runner.Run> runs = platform.allRuns();
    boolean broken = false;
    for (Runner.Run run : runs) {
      long failedBefore =
          runs.stream()
              .filter(r -> r.how.equals("failed") && r.endMillis + NOTED_MILLIS < run.startMillis)
              .count();
      long failed =
          runs.stream()
              .filter(r -> r.how.equals("failed") && r.endMillis <= run.startMillis)
              .count();
      if (failed >= MAX_ATTEMPTS) {
        trace.log(
            "BUDGET broken: run %d starts after %d failed (%d of them over a second before)",
            run.number, failed, failedBefore);
        broken = true;
      }
    }
    return broken ? BROKEN : HELD;
  }
}
