import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One runner of a service, the only one with a label, refuses each order to start with 503, as an
 * unhealthy runner may. Exit status 1: the count of waiting submissions that a machine in touch
 * gives is under half of those that were accepted long before and haven't begun (MIXED).
 */
final class WaitingCase extends Scene {

  private static final String SERVICE = "licensing";
  private static final int SUBMISSIONS = 24;
  private static final long SICK_MILLIS = 6_400;
  private static final long VISIBLE_MILLIS = 3_000;
  private static final long AGE_MILLIS = 2_000;

  private volatile boolean sick;

  public static void main(String[] args) throws Exception {
    play(args[0], new WaitingCase(), 3, 2);
  }

  @Override
  int run(boolean trouble) throws Exception {
    if (!configure(1, List.of(Caller.route("r-renew", "/renew/", SERVICE, 4)), List.of(SERVICE))) {
      return NOT_RUN;
    }
    for (int i = 0; i < 6; i++) {
      addMachine(i, SERVICE, "a", 16_000);
    }
    Platform.Machine labelled = addMachine(6, SERVICE, "gpu", 16_000);
    labelled.runner.setStartPolicy(
        (runner, exchange, order) -> {
          if (sick) {
            trace.log("start of %s is refused with 503", Json.string(order, "task"));
            Http.answer(exchange, 503, Json.map());
          }
          return sick;
        });
    Http.sleep(3_500);
    sick = trouble;
    long wellAt = Trace.now() + SICK_MILLIS;
    List<Long> acceptedAt = new ArrayList<>();
    for (int i = 0; i < SUBMISSIONS; i++) {
      Map<String, Object> step =
          Json.map(
              "count", 1,
              "cpu", 1_000,
              "mem_mb", 256,
              "estimate_ms", 20_000,
              "requires", "gpu");
      Map<String, Object> submission = Json.map("spec", "work=20000", "steps", List.of(step));
      if (!caller.submit(String.format("/renew/%016x", 0xc000 + i), submission, 10_000)) {
        return NOT_RUN;
      }
      acceptedAt.add(Trace.now());
    }
    boolean broken = false;
    while (Trace.now() < wellAt) {
      long askedAt = Trace.now();
      Http.Answer answer = caller.request("GET", "/renew/", "");
      if (answer.status() == 200) {
        long waiting = Json.number(Json.object(answer.body()), "waiting", -1);
        long begun =
            platform.allRuns().stream().map(run -> run.task).distinct().count();
        long old =
            acceptedAt.stream().filter(at -> at + VISIBLE_MILLIS + AGE_MILLIS < askedAt).count();
        long notBegun = Math.max(0, old - begun);
        trace.log("waiting is given as %d; %d of the old ones haven't begun", waiting, notBegun);
        broken |= waiting * 2 < notBegun;
      }
      Http.sleep(200);
    }
    sick = false;
    trace.log("the runner takes orders again");
    Http.sleep(2_000);
    if (broken) {
      trace.log("MIXED broken: under half of the submissions that haven't begun are counted");
    }
    return broken ? BROKEN : HELD;
  }
}
