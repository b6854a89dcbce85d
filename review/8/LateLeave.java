import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A runner leaves and starts again under the identifier that it had. The controller that it told
 * first stands still, so that it told another one too; the first one goes on when work units run on
 * the runner's new life. Then one connection to the runner is reset.
 */
public final class LateLeave {

  private static final int UNITS = 4;
  private static final int RUNNER_CPU = 16_000;
  private static final long FREEZE_MILLIS = 5_000;
  private static final long RESET_AFTER_MILLIS = 500;
  private static final long OBSERVE_MILLIS = 20_000;
  private static final String ID = "i-00000000a1";

  private final Map<String, Set<Runner>> runnersByTask = new HashMap<>();
  private boolean broken;
  private Site site;

  public static void main(String[] arguments) {
    Case.main(arguments, (site, trouble) -> new LateLeave().run(site, trouble));
  }

  private boolean run(Site newSite, boolean trouble) throws Exception {
    site = newSite;
    site.start();
    site.awaitReady(20_000);
    String manifest = Case.manifest(1, Case.route("r-work", "/jobs/", 4));
    Case.require(site.operate("PUT", "/config", manifest, 15_000) == 200, "no manifest");
    for (int i = 2; i <= 3; i++) {
      runner(String.format("i-00000000b%d", i), i);
    }
    Runner first = runner(ID, 1);
    Runner.sleep(3_000);
    first.drain();
    Runner.sleep(4_000);
    Site.Node follower = follower();
    if (trouble) {
      follower.signal("STOP");
    }
    long frozenAt = System.nanoTime();
    leave(follower);
    first.terminate("leaves");
    Runner.sleep(500);
    Runner second = runner(ID, 1);
    Runner.sleep(1_500);
    String job =
        String.format(
            "{\"spec\":\"done:12000\",\"steps\":[{\"count\":%d,\"cpu\":2000,\"mem_mb\":512,"
                + "\"estimate_ms\":12000}]}",
            UNITS);
    int status =
        site.call(site.gateways.get(0), "POST", "/jobs/00000000000001a1", job, 3_000).status();
    Case.require(status == 200, "the submission was not accepted");
    Runner.sleep(Math.max(0, FREEZE_MILLIS - (System.nanoTime() - frozenAt) / 1_000_000));
    site.trace.add("%d work units run on %s", second.countRunning(), ID);
    Case.require(second.countRunning() > 0, "nothing runs on the runner");
    if (trouble) {
      follower.signal("CONT");
      Runner.sleep(RESET_AFTER_MILLIS);
      second.resetHold();
    }
    Runner.sleep(OBSERVE_MILLIS);
    synchronized (this) {
      return !broken;
    }
  }

  private Runner runner(String id, int number) throws Exception {
    return new Runner(
        id,
        "m-0" + number,
        "work",
        site.runnerHost(number),
        site.runnerPort,
        RUNNER_CPU,
        site.controls,
        site.trace,
        observer());
  }

  /** Returns a controller that has not led so far. */
  private Site.Node follower() throws Exception {
    for (Site.Node node : site.controllers) {
      if (!node.logHas("office-taken")) {
        return node;
      }
    }
    throw new IllegalStateException("each controller has led");
  }

  /** Tells the given controller that the runner leaves, and then others until one answers. */
  private void leave(Site.Node first) {
    List<String> addresses = new ArrayList<>(site.controls);
    addresses.remove(first.control());
    addresses.add(0, first.control());
    for (String address : addresses) {
      int status = Http.send("DELETE", address, "/instances/" + ID, null, 1_000).status();
      site.trace.add("DELETE /instances/%s at %s: %d", ID, address, status);
      if (status == 200) {
        return;
      }
    }
  }

  private Runner.Observer observer() {
    return new Runner.Observer() {
      @Override
      public void started(Runner runner, String task, int run) {
        synchronized (LateLeave.this) {
          Set<Runner> runners = runnersByTask.computeIfAbsent(task, t -> new HashSet<>());
          runners.add(runner);
          if (runners.size() > 1) {
            broken = true;
            site.trace.add("%s#%d runs while another run of it goes on", task, run);
          }
        }
      }

      @Override
      public void ended(Runner runner, String task, int run, String how) {
        synchronized (LateLeave.this) {
          runnersByTask.getOrDefault(task, new HashSet<>()).remove(runner);
        }
      }

      @Override
      public void noted(Runner runner, String task, int run, String how) {}
    };
  }
}
