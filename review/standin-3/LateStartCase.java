import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A runner leaves a start without an answer, crashes, and starts again under its id; the order is
 * carried out late, as the runner's next life receives it. Exit status 1: the work unit runs there
 * while another run of it goes on elsewhere (TWICE).
 */
final class LateStartCase extends Scene {

  private static final String SERVICE = "inspectorate";

  /** The crash lasts 7.4 s; the order is carried out 10 s after it was sent. */
  private static final long CRASH_MILLIS = 7_400;

  private static final long LATE_MILLIS = 10_000;

  /** Ages of a call to hold at which the submission is handed in, and at which the runner crashes. */
  private static final long SUBMIT_AGE_MILLIS = 300;

  private static final long CRASH_AGE_MILLIS = 900;

  private record Order(Runner runner, Map<String, Object> body, long atMillis) {}

  private final AtomicReference<Order> late = new AtomicReference<>();
  private volatile boolean withholds;

  public static void main(String[] args) throws Exception {
    play(args[0], new LateStartCase(), 3, 1);
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
    Map<String, Object> step =
        Json.map("count", 1, "cpu", 1_000, "mem_mb", 256, "estimate_ms", 12_000);
    Map<String, Object> submission = Json.map("spec", "work=12000", "steps", List.of(step));
    if (!caller.submit("/rep/000000000000e001", submission, 10_000)) {
      return NOT_RUN;
    }
    if (!trouble) {
      Http.sleep(20_000);
      return isAnyTwice() ? BROKEN : HELD;
    }
    long deadline = Trace.now() + 5_000;
    while (late.get() == null && Trace.now() < deadline) {
      Http.sleep(10);
    }
    Order order = late.get();
    if (order == null) {
      return NOT_RUN;
    }
    awaitHoldAge(order.runner(), CRASH_AGE_MILLIS);
    Platform.Machine machine =
        platform.machines().stream()
            .filter(m -> m.runner == order.runner())
            .findFirst()
            .orElseThrow();
    machine.runner.end("crash");
    withholds = false;
    Http.sleep(CRASH_MILLIS);
    Runner back = platform.startRunner(machine, order.runner().id);
    trace.log("runner %s starts again", back.id);
    Http.sleep(order.atMillis() + LATE_MILLIS - Trace.now());
    String refusal = back.start(order.body());
    trace.log("the late start of %s arrives: %s", Json.string(order.body(), "task"), refusal);
    Http.sleep(6_000);
    return isAnyTwice() ? BROKEN : HELD;
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
