package standin;

import java.nio.file.Path;

/** Runs a case; its exit status tells run.sh whether the rule was broken. */
public abstract class Case {

  private static final int HELD = 10;
  private static final int BROKEN = 11;
  private static final int FAILED = 12;

  protected final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  protected Trace trace;
  protected Deployment site;
  protected Platform platform;

  /** Plays the case and returns whether the rule was broken. */
  protected abstract boolean play() throws Exception;

  /** Plays the case and ends the process with its exit status. */
  protected final void run(String folder) {
    int status;
    try (Trace opened = new Trace(Path.of(folder, "record.txt"))) {
      trace = opened;
      status = runDeployment();
    } catch (Exception e) {
      e.printStackTrace();
      status = FAILED;
    }
    System.exit(status);
  }

  private int runDeployment() {
    trace.log("trouble=%s", trouble);
    try (Deployment opened = new Deployment(trace);
        Platform machines = new Platform(trace, opened.machinesAddress)) {
      site = opened;
      platform = machines;
      Thread end = new Thread(this::endProcesses);
      Runtime.getRuntime().addShutdownHook(end);
      site.start();
      boolean broken = play();
      trace.say(broken ? "BROKEN" : "held");
      return broken ? BROKEN : HELD;
    } catch (Exception e) {
      trace.say("the case could not run: " + e);
      return FAILED;
    }
  }

  private void endProcesses() {
    try {
      site.close();
    } catch (Exception e) {
      System.err.println(e);
    }
  }

  /** Task that may fail. */
  protected interface Task {
    void run() throws Exception;
  }

  /** Runs a task on a thread of its own. */
  protected final void daemon(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                trace.log("task failed: " + e);
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Starts a runner on a machine of its own. */
  protected final Runner runner(int number, String service, String kind, long cpu)
      throws Exception {
    return runner("i-" + number, number, service, kind, cpu, Deployment.freePort());
  }

  /** Starts a runner under an id. */
  protected final Runner runner(
      String id, int number, String service, String kind, long cpu, int port) throws Exception {
    String machine = "m-" + number;
    platform.add(new Platform.Machine(machine, service, kind, id));
    return new Runner(trace, site, id, service, machine, kind, number, cpu, port);
  }

  /** Hands a submission in; returns whether it was accepted. */
  protected final boolean submit(String prefix, int number, String body) {
    int status =
        site.request("POST", Manifest.HOST, prefix + Manifest.id(number), body).status();
    return status >= 200 && status < 300;
  }

  /** Returns the state of a submission, or the status of the answer. */
  protected final String state(String prefix, int number) {
    Http.Response answer =
        site.request("GET", Manifest.HOST, prefix + Manifest.id(number), null);
    return answer.status() == 200 ? answer.body().path("state").asText() : "" + answer.status();
  }
}
