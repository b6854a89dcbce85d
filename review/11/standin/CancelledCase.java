import java.util.List;
import java.util.Map;

/**
 * A gateway stands still as a submission is sent to it. The requester gets no answer, cancels the
 * submission by way of another gateway, and is told that there is no such submission. Exit status 1:
 * a work unit of it is started later than cancel_ms after that answer (UNASKED).
 */
final class CancelledCase extends Scene {

  private static final String SERVICE = "counterdesk";
  private static final String PATH = "/look/000000000000aa02";
  private static final String UNIT = "000000000000aa02.0.0.0";
  private static final long FREEZE_MILLIS = 3_500;
  private static final long CANCEL_MILLIS = 3_000;

  public static void main(String[] args) throws Exception {
    play(args[0], new CancelledCase(), 5, 6);
  }

  @Override
  int run(boolean trouble) throws Exception {
    if (!configure(1, List.of(Caller.route("r-look", "/look/", SERVICE, 4)), List.of(SERVICE))) {
      return NOT_RUN;
    }
    for (int i = 0; i < 4; i++) {
      addMachine(i, SERVICE, "a", 16_000);
    }
    Http.sleep(3_500);
    Map<String, Object> before = Json.map("spec", "work=9000", "steps", List.of(step(64, 9_000)));
    if (!caller.submit("/look/000000000000aa01", before, 5_000)) {
      return NOT_RUN;
    }
    Http.sleep(1_000);
    String frozen = "front-0";
    if (trouble) {
      deployment.signal(frozen, "STOP");
    }
    long frozenAt = Trace.now();
    Http.run(() -> submitOnce());
    Http.sleep(1_000);
    Http.Answer cancel =
        Http.call("DELETE", deployment.frontAddress(1), PATH, "", 3_000, Caller.HOST);
    long cancelledAt = Trace.now();
    trace.log("cancelling by way of front-1 is answered with %d", cancel.status());
    if (trouble) {
      Http.sleep(frozenAt + FREEZE_MILLIS - Trace.now());
      deployment.signal(frozen, "CONT");
    }
    if (cancel.status() / 100 != 2 && cancel.status() != 410) {
      return NOT_RUN;
    }
    Http.sleep(14_000);
    trace.log("the submission is shown as %s", caller.state(PATH));
    boolean broken = false;
    for (Runner.Run run : platform.allRuns()) {
      if (run.task.equals(UNIT) && run.startMillis > cancelledAt + CANCEL_MILLIS) {
        trace.log(
            "UNASKED broken: %s starts %d ms after its cancelling was acknowledged",
            UNIT, run.startMillis - cancelledAt);
        broken = true;
      }
    }
    return broken ? BROKEN : HELD;
  }

  private void submitOnce() {
    Map<String, Object> body = Json.map("spec", "work=4000", "steps", List.of(step(1, 4_000)));
    Http.Answer answer =
        Http.call(
            "POST", deployment.frontAddress(0), PATH, Json.write(body), 3_000, Caller.HOST);
    trace.log("the submission by way of front-0 is answered with %d", answer.status());
  }

  private static Map<String, Object> step(int count, long estimateMillis) {
    return Json.map(
        "count", count, "cpu", 1_000, "mem_mb", 256, "estimate_ms", estimateMillis);
  }
}
