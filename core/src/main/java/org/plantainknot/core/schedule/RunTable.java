package org.plantainknot.core.schedule;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.WorkerIncarnation;

/** Index of the runs that may be running, by identifier and by worker incarnation. */
final class RunTable {

  private final Map<RunId, TrackedRun> runs = new LinkedHashMap<>();
  private final Map<WorkerIncarnation, Set<TrackedRun>> runsByIncarnation = new LinkedHashMap<>();
  private final Map<String, Integer> runCountByWorker = new HashMap<>();

  void add(TrackedRun run) {
    runs.put(run.id(), run);
    runsByIncarnation
        .computeIfAbsent(run.incarnation(), incarnation -> new LinkedHashSet<>())
        .add(run);
    runCountByWorker.merge(run.incarnation().worker(), 1, Integer::sum);
  }

  /** Removes a run and returns it, or null if there is none with the given identifier. */
  TrackedRun remove(RunId id) {
    TrackedRun run = runs.remove(id);
    if (run != null) {
      detach(run);
    }
    return run;
  }

  /** Moves a run to a later incarnation of its worker, which accepted the start. */
  void moveTo(TrackedRun run, WorkerIncarnation later) {
    detach(run);
    run.moveTo(later);
    add(run);
  }

  /** Returns the run with the given identifier, or null if there is none. */
  TrackedRun find(RunId id) {
    return runs.get(id);
  }

  /** Returns a copy of the incarnations that have runs. */
  List<WorkerIncarnation> incarnations() {
    return List.copyOf(runsByIncarnation.keySet());
  }

  /** Returns the identifiers of the workers that have runs, on whichever incarnation. */
  Set<String> workers() {
    return runCountByWorker.keySet();
  }

  /** Returns a copy of the runs on an incarnation. */
  List<TrackedRun> on(WorkerIncarnation incarnation) {
    return List.copyOf(runsByIncarnation.getOrDefault(incarnation, Set.of()));
  }

  void forEachOn(WorkerIncarnation incarnation, Consumer<TrackedRun> consumer) {
    runsByIncarnation.getOrDefault(incarnation, Set.of()).forEach(consumer);
  }

  boolean hasRunsOn(WorkerIncarnation incarnation) {
    return runsByIncarnation.containsKey(incarnation);
  }

  private void detach(TrackedRun run) {
    Set<TrackedRun> others = runsByIncarnation.get(run.incarnation());
    others.remove(run);
    if (others.isEmpty()) {
      runsByIncarnation.remove(run.incarnation());
    }
    runCountByWorker.computeIfPresent(
        run.incarnation().worker(), (worker, count) -> count > 1 ? count - 1 : null);
  }
}
