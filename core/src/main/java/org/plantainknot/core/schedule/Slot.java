package org.plantainknot.core.schedule;

import java.util.HashMap;
import java.util.Map;
import org.plantainknot.core.job.StepId;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.core.job.TaskId;
import org.plantainknot.core.placement.Resources;

/** Capacity of one worker, and the tasks allocated to it, during one planning round. */
final class Slot {

  private static final double DATA_RACK_WEIGHT = 10;

  /** Packs persistent tasks together, so that the other machines can be moved or maintained. */
  private static final double PACKING_WEIGHT = 0.5;

  /** Fraction of a worker's processors up to which persistent tasks are packed on it. */
  private static final double MAX_PACKED_FRACTION = 0.5;

  private static final double INTERFERENCE_WEIGHT = 2;

  private final WorkerHeartbeat worker;
  private final boolean onProbation;
  private final Map<StepId, Integer> tasksByStep = new HashMap<>();
  private Resources free;
  private int unprovenTasks;
  private int latencyBoundTasks;
  private int fillerTasks;
  private int persistentTasks;
  private long persistentMilliCores;

  Slot(WorkerHeartbeat worker, boolean onProbation) {
    this.worker = worker;
    this.onProbation = onProbation;
    this.free = worker.capacity();
  }

  WorkerHeartbeat worker() {
    return worker;
  }

  /** Allocates a task that is not known to be at work on the worker. */
  void allocate(TaskId task, StepSpec step) {
    allocateProven(task, step);
    unprovenTasks++;
  }

  /** Allocates a task that is at work, so that it doesn't count on probation. */
  void allocateProven(TaskId task, StepSpec step) {
    free = free.minus(step.reserved());
    tasksByStep.merge(task.stepId(), 1, Integer::sum);
    if (step.persistent()) {
      persistentTasks++;
      persistentMilliCores += step.reserved().milliCores();
    }
    if (step.fills()) {
      fillerTasks++;
    } else if (step.targetMillis() > 0) {
      latencyBoundTasks++;
    }
  }

  boolean fits(StepId id, StepSpec step) {
    return room(id, step) > 0;
  }

  /** Returns how many more tasks of a step fit, without allocating them. */
  long room(StepId id, StepSpec step) {
    boolean hasRequiredLabel = step.requiredLabel().isEmpty() || hasLabel(step.requiredLabel());
    if (!hasRequiredLabel) {
      return 0;
    }
    long room = free.timesLarger(step.reserved());
    if (onProbation) {
      room = Math.min(room, 1 - unprovenTasks);
    }
    if (step.maxPerWorker() > 0) {
      room = Math.min(room, step.maxPerWorker() - tasksByStep.getOrDefault(id, 0));
    }
    return Math.max(0, room);
  }

  /**
   * Returns how well a worker suits a task of a step; higher is better.
   *
   * <p>Prefers the rack that holds the data, then workers with few interfering tasks. Persistent
   * tasks go to workers with much free capacity; other tasks fill up workers that are in use, so
   * that empty machines can be moved to other pools.
   */
  double score(StepSpec step) {
    double freeFraction = (double) free.milliCores() / Math.max(1, worker.capacity().milliCores());
    double score = step.persistent() ? freeFraction : -freeFraction;
    if (!step.dataRack().isEmpty() && step.dataRack().equals(worker.rack())) {
      score += DATA_RACK_WEIGHT;
    }
    if (step.fills()) {
      score -= INTERFERENCE_WEIGHT * latencyBoundTasks + fillerTasks;
    } else if (step.targetMillis() > 0) {
      score -= INTERFERENCE_WEIGHT * fillerTasks;
    }
    if (step.persistent()
        && persistentMilliCores <= MAX_PACKED_FRACTION * worker.capacity().milliCores()) {
      score += PACKING_WEIGHT * persistentTasks;
    }
    return score;
  }

  private boolean hasLabel(String label) {
    return worker.labels().contains(label);
  }
}
