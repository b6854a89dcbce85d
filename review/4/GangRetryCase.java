package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A gang on four of eight runners, one of which crashes and comes back as a new boot 4.5 s later.
 * Without the trouble none crashes.
 */
final class GangRetryCase implements Cases.Case {

  private static final int MEMBERS = 4;
  private static final int RUNNERS = 8;
  private static final long MILLI_CORES = 2_000;
  private static final long CRASH_MILLIS = 4_500;
  private static final long CONTACT_MILLIS = 3_000;
  private static final long WATCH_MILLIS = 60_000;
  private static final String GANG = "00000000000000b1";

  @Override
  public List<String> run(Site site, Recorder recorder, boolean trouble) throws Exception {
    Work work = (task, run) -> new Work.Plan(4_000, "done", 1_500, MEMBERS, false);
    site.start(work, RUNNERS, MILLI_CORES);
    ObjectNode gang = Submissions.of(MEMBERS, 1_500, 4_000);
    Submissions.step(gang).put("gang", true);
    site.submit(GANG, gang.toString(), 10_000);
    Site.pause(2_000);
    recorder.runs().requireRunning(GANG, MEMBERS);
    if (trouble) {
      int place = 0;
      while (!site.runner(place).isBusy()) {
        place++;
      }
      site.runner(place).crash();
      Site.pause(CRASH_MILLIS);
      site.startRunner("w" + place + "b", place, work, MILLI_CORES);
    }
    long calmFromMillis = recorder.nowMillis() + CONTACT_MILLIS;
    boolean completed = site.awaitState(GANG, "completed", WATCH_MILLIS);

    List<String> breaks = new ArrayList<>();
    long alone =
        recorder.runs().of(GANG).stream()
            .filter(run -> run.how.equals("alone") && run.startMillis > calmFromMillis)
            .count();
    if (alone > 0) {
      breaks.add(
          "GANG: " + alone + " runs that were started when all was calm for " + CONTACT_MILLIS
              + " ms ended alone");
    }
    recorder.event(
        "script",
        "completed within " + WATCH_MILLIS + " ms after the crash: " + completed + ", runs "
            + recorder.runs().of(GANG).size());
    return breaks;
  }
}
