import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A small deployment with its platform and callers, and what happens in it in one case. */
abstract class Scene {

  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int NOT_RUN = 2;

  private static final long LIMIT_MILLIS = 116_000;
  private static final String PLATFORM_HOST = "127.50.0.1";

  Trace trace;
  Platform platform;
  Deployment deployment;
  Caller caller;
  private int port;

  /** Plays the scene, records it in the case's folder and ends the process with the result. */
  static void play(String folder, Scene scene, int controllers, int gateways) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = NOT_RUN;
    try (Trace trace = new Trace(Path.of(folder).resolve("record.txt"))) {
      int port = Deployment.freePorts();
      String machinesAddress = PLATFORM_HOST + ":" + (port + 5);
      try (Platform platform = new Platform(trace, PLATFORM_HOST, port + 5);
          Deployment deployment =
              new Deployment(trace, controllers, gateways, port, machinesAddress)) {
        scene.trace = trace;
        scene.port = port;
        scene.platform = platform;
        scene.deployment = deployment;
        scene.caller = new Caller(deployment, trace);
        endAfterLimit();
        deployment.start();
        platform.setControlAddresses(deployment.controlAddresses());
        status = scene.run(trouble);
      } catch (Exception e) {
        trace.log("the case couldn't run: %s", e);
        status = NOT_RUN;
      }
      trace.log("exit status %d", status);
    }
    System.exit(status);
  }

  /** Ends the process, and with it all that it started, before it has run for two minutes. */
  private static void endAfterLimit() {
    Http.run(
        () -> {
          Http.sleep(LIMIT_MILLIS);
          System.exit(NOT_RUN);
        });
  }

  abstract int run(boolean trouble) throws Exception;

  /** Has a manifest acknowledged, and returns whether it was. */
  boolean configure(long version, List<Map<String, Object>> routes, List<String> services) {
    return caller.order("PUT", "/config", Caller.manifest(version, routes, services), 20_000);
  }

  /** Adds a machine with a running runner. */
  Platform.Machine addMachine(int number, String pool, String kind, long cpu) throws Exception {
    String address = "127.50.1." + (1 + number) + ":" + (port + 6);
    String name = String.format("m-%02d", number);
    return platform.add(
        new Platform.Machine(name, pool, "r1-" + number / 4, kind, address, cpu));
  }

  /** Records two runs of one work unit at the same time, on runners that are up. */
  boolean isAnyTwice() {
    boolean twice = false;
    List<Runner.Run> runs = platform.allRuns();
    for (Runner.Run first : runs) {
      for (Runner.Run second : runs) {
        boolean later = first != second && second.startMillis >= first.startMillis;
        if (later && first.task.equals(second.task)) {
          boolean overlap = first.endMillis < 0 || second.startMillis < first.endMillis;
          if (overlap) {
            trace.log(
                "TWICE broken: %s runs as run %d on %s and as run %d on %s at the same time",
                first.task, first.number, first.runner.id, second.number, second.runner.id);
            twice = true;
          }
        }
      }
    }
    return twice;
  }
}
