package org.plantainknot.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.plantainknot.core.admission.WorkKind;

/** Chooses the tasks that have to make room for a queued urgent job. Not thread-safe. */
final class Preemption {

  private final Collection<WorkerState> workers;
  private final PlacementTiming timing;

  /**
   * Creates the choice among the tasks of the workers.
   *
   * @param workers live view of all workers
   */
  Preemption(Collection<WorkerState> workers, PlacementTiming timing) {
    this.workers = workers;
    this.timing = timing;
  }

  /**
   * Returns the least urgent tasks of the worker that needs the fewest preemptions, or an empty
   * list if room is already being made for the job or the other work is down to its floor.
   */
  List<JobState> victimsFor(JobState urgentJob, long nowMillis) {
    Resources size = urgentJob.reserved();
    if (nonUrgentFraction() <= timing.nonUrgentFloor() || isPending(size, nowMillis)) {
      return List.of();
    }
    return workers.stream()
        .filter(worker -> worker.acceptsWork(nowMillis, timing))
        .filter(worker -> size.fitsInto(worker.worker().capacity()))
        .map(worker -> victimsOn(worker, size))
        .filter(victims -> !victims.isEmpty())
        .min(Comparator.comparingInt(List::size))
        .orElse(List.of());
  }

  private static List<JobState> victimsOn(WorkerState worker, Resources size) {
    List<JobState> victims = new ArrayList<>();
    Resources free = worker.free();
    for (JobState task : worker.placedTasksLeastUrgentFirst()) {
      if (size.fitsInto(free)) {
        break;
      }
      if (task.job().kind() != WorkKind.URGENT) {
        victims.add(task);
        free = free.plus(task.reserved());
      }
    }
    return size.fitsInto(free) ? victims : List.of();
  }

  /** Returns whether checkpoints that were already ordered will make room for the size. */
  private boolean isPending(Resources size, long nowMillis) {
    return workers.stream()
        .filter(worker -> worker.acceptsWork(nowMillis, timing))
        .filter(w -> w.tasks().stream().anyMatch(t -> t.phase() == JobPhase.CHECKPOINTING))
        .anyMatch(w -> size.fitsInto(w.worker().capacity().minus(w.reservedByPlacedTasks())));
  }

  /** Returns the fraction of all processors that non-urgent work has reserved. */
  private double nonUrgentFraction() {
    long all = workers.stream().mapToLong(w -> w.worker().capacity().milliCores()).sum();
    long nonUrgent =
        workers.stream()
            .flatMap(worker -> worker.tasks().stream())
            .filter(task -> task.job().kind() != WorkKind.URGENT)
            .filter(task -> task.phase() == JobPhase.PLACED)
            .mapToLong(task -> task.reserved().milliCores())
            .sum();
    return all == 0 ? 0 : (double) nonUrgent / all;
  }
}
