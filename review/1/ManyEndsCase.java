package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The leading controller is killed while 3,000 small work units of one submission are about to end
 * on one runner, so that the next leader finds more ends than a response lists. Without the trouble
 * it isn't killed.
 */
final class ManyEndsCase implements Cases.Case {

  private static final String WORK = "0000000000000091";
  private static final int COUNT = 3_000;
  private static final long MILLI_CORES_EACH = 5;
  private static final long MEMORY_MIB_EACH = 10;
  private static final long ESTIMATE_MILLIS = 40_000;

  /** Time from the start of the script at which the first work unit ends. */
  private static final long FIRST_END_MILLIS = 45_000;

  /** Time within which all of them end, the one that was started last first. */
  private static final long END_WINDOW_MILLIS = 1_000;

  private static final long RESTART_MILLIS = 500;
  private static final long WATCH_MILLIS = 30_000;

  @Override
  public List<String> run(Site site, Recorder recorder, boolean trouble) throws Exception {
    Work work =
        (task, run) -> {
          int index = Integer.parseInt(task.substring(task.lastIndexOf('.') + 1));
          long endMillis = FIRST_END_MILLIS + END_WINDOW_MILLIS * (COUNT - 1 - index) / COUNT;
          long leftMillis = Math.max(1_000, endMillis - recorder.nowMillis());
          return new Work.Plan(leftMillis, "done", MILLI_CORES_EACH, 1, false);
        };
    site.start(work, 2, 16_000);
    ObjectNode submission = Submissions.of(COUNT, MILLI_CORES_EACH, ESTIMATE_MILLIS);
    Submissions.step(submission).put("mem_mb", MEMORY_MIB_EACH);
    site.submit(WORK, submission.toString(), 10_000);
    Site.pause(FIRST_END_MILLIS - recorder.nowMillis());
    int begun = recorder.runs().of(WORK).size();
    recorder.event("script", "begun " + begun);
    if (begun < COUNT) {
      throw new CaseFailure("only " + begun + " work units have begun");
    }
    if (trouble) {
      site.deployment().killAndRestart(site.deployment().leader(), RESTART_MILLIS);
    }
    boolean completed = site.awaitState(WORK, "completed", WATCH_MILLIS);
    Site.pause(2_000);

    List<RunLog.Entry> runs = recorder.runs().of(WORK);
    Set<String> again = new TreeSet<>();
    for (RunLog.Entry run : runs) {
      if (run.run > 1 && endedBefore(runs, run)) {
        again.add(run.task);
      }
    }
    List<String> breaks = new ArrayList<>();
    if (!again.isEmpty()) {
      breaks.add(
          "TWICE: " + again.size() + " of " + COUNT + " work units were started again after a run"
              + " had ended done, such as " + again.iterator().next());
    }
    recorder.event("script", "completed: " + completed + ", runs " + runs.size());
    return breaks;
  }

  private static boolean endedBefore(List<RunLog.Entry> runs, RunLog.Entry again) {
    return runs.stream()
        .anyMatch(
            run ->
                run.task.equals(again.task)
                    && run.how.equals("done")
                    && run.noted
                    && run.endMillis < again.startMillis);
  }
}
