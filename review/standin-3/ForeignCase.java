import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Another writer checks in at the leader under a runner's id, for a service that no manifest names.
 * Exit status 1: a work unit of that runner runs a second time while its first run goes on (TWICE).
 */
final class ForeignCase extends Scene {

  private static final String SERVICE = "gatepass";

  public static void main(String[] args) throws Exception {
    play(args[0], new ForeignCase(), 3, 1);
  }

  @Override
  int run(boolean trouble) throws Exception {
    if (!configure(1, List.of(Caller.route("r-cert", "/cert/", SERVICE, 4)), List.of(SERVICE))) {
      return NOT_RUN;
    }
    for (int i = 0; i < 4; i++) {
      addMachine(i, SERVICE, "a", 16_000);
    }
    Http.sleep(3_000);
    Map<String, Object> step =
        Json.map("count", 6, "cpu", 1_000, "mem_mb", 256, "estimate_ms", 20_000);
    Map<String, Object> submission = Json.map("spec", "work=20000", "steps", List.of(step));
    if (!caller.submit("/cert/000000000000b001", submission, 10_000)) {
      return NOT_RUN;
    }
    Http.sleep(2_500);
    Platform.Machine busiest =
        platform.machines().stream()
            .max(Comparator.comparing(machine -> machine.runner.runs().size()))
            .orElseThrow();
    if (busiest.runner.runs().isEmpty()) {
      return NOT_RUN;
    }
    if (trouble) {
      String leader = deployment.controlAddress(deployment.leader());
      String body =
          Json.write(
              Json.map(
                  "service", "staging",
                  "address", busiest.address,
                  "zone", "howrah",
                  "version", "v1",
                  "slots", 8,
                  "state", "ready",
                  "cold_remaining_ms", 0,
                  "capacity", Json.map("cpu", 16_000, "mem_mb", 32_768, "gpu", 0),
                  "labels", List.of("a", "r1-0"),
                  "machine", busiest.name,
                  "clock_ms", 500,
                  "born", System.currentTimeMillis() - 500,
                  "seq", 1));
      Http.Answer answer =
          Http.call("PUT", leader, "/instances/" + busiest.runner.id, body, 1_000);
      trace.log("check-in of another writer as %s: %d", busiest.runner.id, answer.status());
    }
    Http.sleep(15_000);
    return isAnyTwice() ? BROKEN : HELD;
  }
}
