package org.plantainknot.core.schedule;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.WorkerLife;

/** Runs that may be running, by name and by the worker's life that has them. */
final class RunTable {

  private final Map<RunId, TrackedRun> runs = new LinkedHashMap<>();
  private final Map<WorkerLife, Set<TrackedRun>> runsByLife = new LinkedHashMap<>();

  void add(TrackedRun run) {
    runs.put(run.run(), run);
    runsByLife.computeIfAbsent(run.life(), life -> new LinkedHashSet<>()).add(run);
  }

  void remove(RunId id) {
    TrackedRun run = runs.remove(id);
    if (run != null) {
      detach(run);
    }
  }

  /** Notes that a later life of the worker took the start. */
  void moveTo(TrackedRun run, WorkerLife later) {
    detach(run);
    run.foundOn(later);
    add(run);
  }

  /** Returns a run, or null if it isn't known. */
  TrackedRun find(RunId id) {
    return runs.get(id);
  }

  Collection<TrackedRun> all() {
    return runs.values();
  }

  /** Returns the lives that have runs, as a copy. */
  List<WorkerLife> lives() {
    return List.copyOf(runsByLife.keySet());
  }

  /** Returns the runs on a life, as a copy. */
  List<TrackedRun> on(WorkerLife life) {
    return List.copyOf(runsByLife.getOrDefault(life, Set.of()));
  }

  boolean isAnyOn(WorkerLife life) {
    return runsByLife.containsKey(life);
  }

  private void detach(TrackedRun run) {
    Set<TrackedRun> others = runsByLife.get(run.life());
    others.remove(run);
    if (others.isEmpty()) {
      runsByLife.remove(run.life());
    }
  }
}
