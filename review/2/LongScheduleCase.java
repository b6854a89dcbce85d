package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A submission that is due each minute of a year, beside submissions that were accepted before.
 * Without the trouble it is due each minute of an hour.
 */
final class LongScheduleCase implements Cases.Case {

  private static final int MINUTES_PER_HOUR = 60;
  private static final int MINUTES_PER_YEAR = 365 * 24 * 60;
  private static final long MINUTE_MILLIS = 60_000;
  private static final String LASTING = "00000000000000a1";
  private static final String SCHEDULED = "00000000000000a2";
  private static final String LATER = "00000000000000a3";

  @Override
  public List<String> run(Site site, Recorder recorder, boolean trouble) throws Exception {
    site.start(
        (task, run) -> {
          boolean lasts = task.startsWith(LASTING);
          return new Work.Plan(lasts ? Work.FOREVER_MILLIS : 1_000, "done", 500, 1, lasts);
        },
        3,
        16_000);
    ObjectNode lasting = Submissions.of(2, 500, 0);
    Submissions.step(lasting).put("persistent", true);
    site.submit(LASTING, lasting.toString(), 10_000);
    Site.pause(3_000);
    recorder.runs().requireRunning(LASTING, 2);

    ObjectNode scheduled = Submissions.of(2, 500, 1_000);
    scheduled.put("times", trouble ? MINUTES_PER_YEAR : MINUTES_PER_HOUR);
    scheduled.put("first_ms", System.currentTimeMillis() + MINUTES_PER_HOUR * MINUTE_MILLIS);
    scheduled.put("interval_ms", MINUTE_MILLIS);
    for (int attempt = 0; attempt < 5; attempt++) {
      int status = site.call("POST", SCHEDULED, scheduled.toString()).status();
      if (status >= 200 && status < 500) {
        break;
      }
      Site.pause(1_000);
    }
    Site.pause(20_000);

    List<String> breaks = new ArrayList<>();
    String state = site.state(LASTING, Bounds.FINISH_MILLIS);
    if (!state.equals("running")) {
      breaks.add(
          "LOST: the accepted submission "
              + LASTING
              + (state.isEmpty() ? " got no answer in " : " is shown as " + state + " within ")
              + Bounds.FINISH_MILLIS
              + " ms");
    }
    long running =
        recorder.runs().of(LASTING).stream().filter(RunLog.Entry::isRunning).count();
    if (running < 2) {
      breaks.add("LOST: of its 2 work units that last " + running + " are running");
    }
    try {
      site.submit(LATER, Submissions.of(1, 500, 1_000).toString(), Bounds.FINISH_MILLIS);
    } catch (CaseFailure e) {
      breaks.add("no new submission is accepted within " + Bounds.FINISH_MILLIS + " ms");
    }
    recorder.event("script", "processes that ended by themselves: " + site.deployment().ownEnds());
    return breaks;
  }
}
