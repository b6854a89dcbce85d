import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A runner leaves a start without an answer, crashes, and starts again under its id; the order is
 * carried out late, as the runner's next life receives it. In one form the runner crashes at once,
 * and its work unit is started elsewhere meanwhile. In the other, chosen by the argument {@code
 * done}, the runner takes the order when it is sent again, and crashes after the work unit has ended
 * {@code done}. Exit status 1: the work unit runs there while another run of it goes on elsewhere, or
 * after its end was taken note of (TWICE).
 */
final class LateStartCase extends Scene {

  private static final String SERVICE = "inspectorate";

  /** Duration of the crash at once, and of the one after the work is done. */
  private static final long CRASH_MILLIS = 7_400;

  private static final long LATER_CRASH_MILLIS = 3_300;

  /** Time after which the order is carried out. */
  private static final long LATE_MILLIS = 10_000;

  /** Ages of a call to hold at which the submission is handed in, and at which the runner crashes. */
  private static final long SUBMIT_AGE_MILLIS = 300;

  private static final long CRASH_AGE_MILLIS = 900;

  /** Time by which the work unit is done, and its end long taken note of. */
  private static final long NOTED_MILLIS = 4_000;

  private record Order(Runner runner, Map<String, Object> body, long atMillis) {}

  private final AtomicReference<Order> late = new AtomicReference<>();
  private volatile boolean withholds;

  private final boolean afterDone;

  private LateStartCase(boolean afterDone) {
    this.afterDone = afterDone;
  }

  public static void main(String[] args) throws Exception {
    boolean afterDone = args.length > 1 && args[1].equals("done");
    play(args[0], new LateStartCase(afterDone), 3, 1);
  }

  @Override
  int run(boolean trouble) throws Exception {
    if (!configure(1, List.of(Caller.route("r-rep", "/rep/", SERVICE, 4)), List.of(SERVICE))) {
      return NOT_RUN;
    }
    for (int i = 0; i < 7; i++) {
      addMachine(i, SERVICE, "a", 16_000).runner.setStartPolicy(
          (runner, exchange, order) -> {
            boolean first =
                withholds && late.compareAndSet(null, new Order(runner, order, Trace.now()));
            if (first) {
              trace.log("start of %s gets no answer from %s", Json.string(order, "task"), runner.id);
              Http.sleep(3_000);
              exchange.close();
            }
            return first;
          });
    }
    Http.sleep(3_500);
    withholds = trouble;
    Runner likeliest = platform.machines().get(0).runner;
    awaitHoldAge(likeliest, SUBMIT_AGE_MILLIS);
    long workMillis = afterDone ? 1_000 : 12_000;
    Map<String, Object> step =
        Json.map("count", 1, "cpu", 1_000, "mem_mb", 256, "estimate_ms", workMillis);
    Map<String, Object> submission = Json.map("spec", "work=" + workMillis, "steps", List.of(step));
    if (!caller.submit("/rep/000000000000e001", submission, 10_000)) {
      return NOT_RUN;
    }
    if (!trouble) {
      Http.sleep(20_000);
      return isBroken() ? BROKEN : HELD;
    }
    long deadline = Trace.now() + 5_000;
    while (late.get() == null && Trace.now() < deadline) {
      Http.sleep(10);
    }
    Order order = late.get();
    if (order == null) {
      return NOT_RUN;
    }
    if (afterDone) {
      Http.sleep(NOTED_MILLIS);
      if (platform.allRuns().stream().noneMatch(run -> run.how.equals("done"))) {
        return NOT_RUN;
      }
    } else {
      awaitHoldAge(order.runner(), CRASH_AGE_MILLIS);
    }
    Platform.Machine machine =
        platform.machines().stream()
            .filter(m -> m.runner == order.runner())
            .findFirst()
            .orElseThrow();
    machine.runner.end("crash");
    withholds = false;
    Http.sleep(afterDone ? LATER_CRASH_MILLIS : CRASH_MILLIS);
    Runner back = platform.startRunner(machine, order.runner().id);
    trace.log("runner %s starts again", back.id);
    Http.sleep(order.atMillis() + LATE_MILLIS - Trace.now());
    String refusal = back.start(order.body());
    trace.log("the late start of %s arrives: %s", Json.string(order.body(), "task"), refusal);
    Http.sleep(6_000);
    return isBroken() ? BROKEN : HELD;
  }

  private boolean isBroken() {
    boolean broken = isAnyTwice();
    List<Runner.Run> runs = platform.allRuns();
    for (Runner.Run done : runs) {
      for (Runner.Run later : runs) {
        boolean noted = done.how.equals("done") && later.startMillis > done.endMillis + 1_000;
        if (noted && later.task.equals(done.task)) {
          trace.log(
              "TWICE broken: %s starts as run %d, %d ms after run %d has ended done",
              done.task, later.number, later.startMillis - done.endMillis, done.number);
          broken = true;
        }
      }
    }
    return broken;
  }

  private static void awaitHoldAge(Runner runner, long ageMillis) {
    long deadline = Trace.now() + 2_000;
    long previous = runner.holdAgeMillis();
    while (Trace.now() < deadline) {
      long age = runner.holdAgeMillis();
      if (age >= ageMillis && (previous < ageMillis || age < ageMillis + 50)) {
        return;
      }
      previous = age;
      Http.sleep(5);
    }
  }
}
