package review;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Gangs of work units, which work only together: from the moment at which all members of one run are
 * present, until one of them ends.
 */
final class Gangs {

  private static final class Gang {
    private final Set<String> present = new HashSet<>();
    private long workingSinceMillis = -1;
    private boolean broken;
  }

  private final Map<String, Gang> gangs = new HashMap<>();

  /** Records that a member of a run is present. */
  synchronized void join(String task, int run, int members, long nowMillis) {
    Gang gang = gangs.computeIfAbsent(key(task, run), key -> new Gang());
    gang.present.add(task);
    if (gang.present.size() == members && gang.workingSinceMillis < 0 && !gang.broken) {
      gang.workingSinceMillis = nowMillis;
    }
  }

  /** Returns since when the members of a run work, or a negative number. */
  synchronized long workingSinceMillis(String task, int run) {
    return gangs.get(key(task, run)).workingSinceMillis;
  }

  /** Returns whether another member has ended before its work was done. */
  synchronized boolean isBroken(String task, int run) {
    return gangs.get(key(task, run)).broken;
  }

  /** Records that a member has ended before its work was done. */
  synchronized void leave(String task, int run) {
    Gang gang = gangs.get(key(task, run));
    gang.present.remove(task);
    if (gang.workingSinceMillis >= 0) {
      gang.broken = true;
    }
  }

  private static String key(String task, int run) {
    return task.substring(0, task.lastIndexOf('.')) + "#" + run;
  }
}
