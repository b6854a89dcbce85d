import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Two hundred small work units that last run on two runners, and three on each runner fail once, by
 * their own fault. Both runners have room for many more, and nothing else happens.
 */
public final class FailingUnits {

  private static final int SUBMISSIONS = 25;
  private static final int UNITS_EACH = 8;
  private static final int UNITS = SUBMISSIONS * UNITS_EACH;
  private static final int UNIT_CPU = 60;
  private static final int FAILURES_EACH = 3;
  private static final long FAILURE_GAP_MILLIS = 2_000;
  private static final int RUNNER_CPU = 16_000;
  private static final int RUNNERS = 2;
  private static final long OBSERVE_MILLIS = 30_000;

  /** A work unit has to run again so long after its last run at the latest: 6 s, and 3 s more. */
  private static final long MAX_AWAY_MILLIS = 9_000;

  private final Map<String, Integer> runningByTask = new HashMap<>();
  private final Map<String, Long> awaySinceMillis = new HashMap<>();

  public static void main(String[] arguments) {
    Case.main(arguments, (site, trouble) -> new FailingUnits().run(site, trouble));
  }

  private boolean run(Site site, boolean trouble) throws Exception {
    Runner.Observer observer = observer();
    Platform platform =
        new Platform(
            site.platformHost,
            site.platformPort,
            site.runnerPort,
            "spare",
            RUNNER_CPU,
            site.controls,
            site.trace,
            observer);
    site.start();
    site.awaitReady(20_000);
    String manifest = Case.manifest(1, Case.route("r-last", "/last/", 4));
    Case.require(site.operate("PUT", "/config", manifest, 15_000) == 200, "no manifest");
    for (int i = 1; i <= RUNNERS; i++) {
      platform.addMachine("m-0" + i, site.runnerHost(i), "work");
    }
    Runner.sleep(2_000);
    String job =
        String.format(
            "{\"spec\":\"last\",\"steps\":[{\"count\":%d,\"cpu\":%d,\"mem_mb\":64,"
                + "\"estimate_ms\":1000,\"persistent\":true,\"may_miss\":1}]}",
            UNITS_EACH, UNIT_CPU);
    for (int i = 0; i < SUBMISSIONS; i++) {
      int status = site.call(site.gateways.get(0), "POST", path(i), job, 3_000).status();
      Case.require(status == 200, "a submission was not accepted");
    }
    Runner.sleep(6_000);
    synchronized (this) {
      Case.require(runningByTask.size() == UNITS, "the work units didn't start");
    }
    for (int i = 0; trouble && i < FAILURES_EACH; i++) {
      for (int runner = 1; runner <= RUNNERS; runner++) {
        platform.runnerOf("m-0" + runner).failOne();
        Runner.sleep(FAILURE_GAP_MILLIS);
      }
    }
    boolean held = observe(site);
    site.call(site.gateways.get(0), "GET", path(0), null, 3_000);
    return held;
  }

  private static String path(int number) {
    return String.format("/last/%016x", 0xa00 + number);
  }

  /**
   * Returns whether each work unit came back in time. Each of the runners always has room for
   * many more such units, since all of them take three quarters of one.
   */
  private boolean observe(Site site) {
    long end = System.nanoTime() + OBSERVE_MILLIS * 1_000_000;
    List<String> lost = new ArrayList<>();
    while (System.nanoTime() < end) {
      Runner.sleep(250);
      long now = System.nanoTime() / 1_000_000;
      synchronized (this) {
        awaySinceMillis.forEach(
            (task, since) -> {
              if (now - since > MAX_AWAY_MILLIS && !lost.contains(task)) {
                lost.add(task);
                site.trace.add("work unit %s has not run for %d ms", task, now - since);
              }
            });
      }
    }
    synchronized (this) {
      site.trace.add(
          "at the end %d of %d work units run; too long away: %s",
          runningByTask.size(), UNITS, lost);
    }
    return lost.isEmpty();
  }

  private Runner.Observer observer() {
    return new Runner.Observer() {
      @Override
      public void started(Runner runner, String task, int run) {
        synchronized (FailingUnits.this) {
          runningByTask.merge(task, 1, Integer::sum);
          awaySinceMillis.remove(task);
        }
      }

      @Override
      public void ended(Runner runner, String task, int run, String how) {
        synchronized (FailingUnits.this) {
          runningByTask.computeIfPresent(task, (t, count) -> count == 1 ? null : count - 1);
          awaySinceMillis.put(task, System.nanoTime() / 1_000_000);
        }
      }

      @Override
      public void noted(Runner runner, String task, int run, String how) {}
    };
  }
}
