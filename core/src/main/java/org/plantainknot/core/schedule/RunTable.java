package org.plantainknot.core.schedule;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.WorkerLife;

/** Index of the runs that may be running, by identifier and by worker incarnation. */
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

  /** Moves a run to a later incarnation of its worker, which accepted the start. */
  void moveTo(TrackedRun run, WorkerLife later) {
    detach(run);
    run.moveTo(later);
    add(run);
  }

  /** Returns the run with the given identifier, or null if there is none. */
  TrackedRun find(RunId id) {
    return runs.get(id);
  }

  Collection<TrackedRun> all() {
    return runs.values();
  }

  /** Returns a copy of the incarnations that have runs. */
  List<WorkerLife> lives() {
    return List.copyOf(runsByLife.keySet());
  }

  /** Returns a copy of the runs on an incarnation. */
  List<TrackedRun> on(WorkerLife life) {
    return List.copyOf(runsByLife.getOrDefault(life, Set.of()));
  }

  boolean hasRunsOn(WorkerLife life) {
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
