import standin.Case;
import standin.Http;
import standin.Manifest;

/**
 * The manifest has many routes and is changed some hundred times on a calm day. Then all
 * controllers are killed at the same moment and start again, and again if they end. The manifest has to be read back.
 */
public final class ManyChanges extends Case {

  private static final int ROUTES = 1_000;
  private static final int CHANGES = 270;
  private static final long GAP_MILLIS = 200;
  private static final long READ_MILLIS = 10_000;
  private static final long RECOVER_MILLIS = 12_000;

  public static void main(String[] args) {
    new ManyChanges().run(args[0]);
  }

  @Override
  protected boolean play() throws Exception {
    String manifest = manifest();
    trace.log("manifest of %d routes, %d bytes", ROUTES, manifest.length());
    long acknowledged = 0;
    long startedAt = trace.millis();
    for (int version = 1; version <= CHANGES; version++) {
      String body =
          manifest
              .replace("\"version\":1,", "\"version\":" + version + ",")
              .replace("\"timeout_ms\":3000", "\"timeout_ms\":" + (2_000 + version));
      site.putManifest(body);
      acknowledged = version;
      long next = startedAt + version * GAP_MILLIS;
      Thread.sleep(Math.max(0, next - trace.millis()));
    }
    trace.log("changes=%d after-ms=%d", CHANGES, trace.millis() - startedAt);
    Thread.sleep(1_000);
    if (trouble) {
      site.killControllers();
    }
    int ended = 0;
    for (long end = trace.millis() + RECOVER_MILLIS; trace.millis() < end; Thread.sleep(2_000)) {
      ended += site.restartEndedControllers();
    }
    long seen = -1;
    for (long end = trace.millis() + READ_MILLIS; seen < 0 && trace.millis() < end; ) {
      for (String address : site.control) {
        Http.Response answer = Http.call("GET", address, "/config", null, 2_000);
        trace.log("GET /config from=%s answer=%d", address, answer.status());
        seen = answer.status() == 200 ? answer.body().path("version").asLong() : seen;
      }
      ended += site.restartEndedControllers();
      Thread.sleep(1_000);
    }
    trace.say(
        "newest acknowledged version=%d, read back=%s; ends of controllers by themselves=%d",
        acknowledged, seen < 0 ? "nothing" : "" + seen, ended);
    return seen < acknowledged;
  }

  private static String manifest() {
    Manifest manifest = new Manifest().service("gate");
    for (int i = 0; i < ROUTES; i++) {
      manifest.route("/route" + i + "/", "gate", 4);
    }
    return manifest.version(1);
  }
}
