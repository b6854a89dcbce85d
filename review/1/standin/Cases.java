package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * Runs one case. The exit status tells run.sh whether the rule held, was broken, or the case couldn't
 * run.
 */
public final class Cases {

  /** A case; returns the breaks of the rule, none if it held. */
  interface Case {
    List<String> run(Site site, Recorder recorder, boolean trouble) throws Exception;
  }

  private static final Map<String, Case> CASES =
      Map.of(
          "many-ends", new ManyEndsCase(),
          "long-schedule", new LongScheduleCase(),
          "foreign-check-in", new ForeignCheckInCase(),
          "gang-retry", new GangRetryCase(),
          "stop", new StopCase());

  private static final int HELD = 0;
  private static final int COULD_NOT_RUN = 2;
  private static final int BROKEN = 10;

  private Cases() {}

  /** Runs the named case and writes its record into the folder. */
  public static void main(String[] args) {
    Path folder = Path.of(args[1]);
    Path root = Path.of(args[2]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = COULD_NOT_RUN;
    try (Recorder recorder = new Recorder(folder.resolve("record.txt"))) {
      recorder.event("script", args[0] + (trouble ? "" : " without the trouble"));
      try (Site site = new Site(root, recorder)) {
        List<String> breaks = CASES.get(args[0]).run(site, recorder, trouble);
        breaks.forEach(line -> recorder.event("script", "BROKEN: " + line));
        breaks.forEach(line -> System.out.println("BROKEN: " + line));
        status = breaks.isEmpty() ? HELD : BROKEN;
      } catch (Exception e) {
        recorder.event("script", "the case couldn't run: " + e);
        System.out.println("the case couldn't run: " + e);
      }
      recorder.event("script", "exit status " + status);
    }
    System.exit(status);
  }
}
