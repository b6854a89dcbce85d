import java.nio.file.Path;

/** Frame of a script: runs it, and turns its verdict into an exit status that no JVM uses by itself. */
final class Case {

  /** Body of a script; returns whether the rule held. */
  interface Body {
    boolean run(Site site, boolean trouble) throws Exception;
  }

  private static final int HELD = 10;
  private static final int BROKEN = 11;
  private static final int NOT_RUN = 12;

  private Case() {}

  /** Runs a script whose folder is the first argument, and ends this process. */
  static void main(String[] arguments, Body body) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = NOT_RUN;
    try (Trace trace = new Trace(Path.of(arguments[0], "record.txt"));
        Site site = new Site(trace)) {
      trace.add("with%s the disruption", trouble ? "" : "out");
      Runtime.getRuntime().addShutdownHook(new Thread(site::close));
      try {
        boolean held = body.run(site, trouble);
        status = held ? HELD : BROKEN;
        trace.add("the rule %s", held ? "held" : "was broken");
        System.out.println(held ? "held" : "broken");
      } catch (IllegalStateException e) {
        trace.add("not run: %s", e.getMessage());
        System.out.println("not run: " + e.getMessage());
      }
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(status);
  }

  /** Ends the script with the status of a case that couldn't run. */
  static void require(boolean condition, String problem) {
    if (!condition) {
      throw new IllegalStateException(problem);
    }
  }

  /** Returns the entry of a route of the service {@code work} in a manifest. */
  static String route(String name, String prefix, int maxAttempts) {
    return String.format(
        "{\"name\":\"%s\",\"host\":\"jobs.example\",\"path_prefix\":\"%s\",\"kind\":\"unsafe\","
            + "\"timeout_ms\":3000,\"target_latency_ms\":600,\"priority\":0,"
            + "\"service\":\"work\",\"max_attempts\":%d,\"stretch\":1.6}",
        name, prefix, maxAttempts);
  }

  /** Returns a manifest with the service {@code work} and the spare pool {@code spare}. */
  static String manifest(int version, String... routes) {
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + String.join(",", routes)
        + "],\"services\":["
        + service("work", false)
        + ","
        + service("spare", true)
        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  private static String service(String name, boolean spare) {
    return String.format(
        "{\"name\":\"%s\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\","
            + "\"tls\":false,\"admission_check\":true,\"spare\":%b}",
        name, spare);
  }
}
