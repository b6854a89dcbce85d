package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Starts and ends of runs, as the runners saw them. */
final class RunLog {

  /** A run on a runner; the end is negative while it runs. */
  static final class Entry {
    final String task;
    final int run;
    final long startMillis;
    long endMillis = -1;
    String how = "";

    /** Whether the system has told the runner that it has seen the end, in the same lease. */
    boolean noted;

    Entry(String task, int run, long startMillis) {
      this.task = task;
      this.run = run;
      this.startMillis = startMillis;
    }

    boolean isRunning() {
      return endMillis < 0;
    }
  }

  private final List<Entry> entries = new ArrayList<>();
  private final Map<String, Entry> latestByRun = new HashMap<>();

  synchronized void started(String task, int run, long nowMillis) {
    Entry entry = new Entry(task, run, nowMillis);
    entries.add(entry);
    latestByRun.put(task + "#" + run, entry);
  }

  synchronized void ended(String task, int run, String how, long nowMillis) {
    Entry entry = latestByRun.get(task + "#" + run);
    entry.endMillis = nowMillis;
    entry.how = how;
  }

  /** Records that the end of a run was taken note of. */
  synchronized void noted(String task, int run) {
    latestByRun.get(task + "#" + run).noted = true;
  }

  /** Fails unless the given number of a submission's runs are running. */
  void requireRunning(String submission, int count) throws CaseFailure {
    long running = of(submission).stream().filter(Entry::isRunning).count();
    if (running != count) {
      throw new CaseFailure(running + " of " + count + " work units are running before the trouble");
    }
  }

  /** Returns the runs of a submission in the order of their starts. */
  synchronized List<Entry> of(String submission) {
    return entries.stream().filter(entry -> entry.task.startsWith(submission + ".")).toList();
  }
}
