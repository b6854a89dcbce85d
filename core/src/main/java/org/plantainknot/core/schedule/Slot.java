package org.plantainknot.core.schedule;

import java.util.HashMap;
import java.util.Map;
import org.plantainknot.core.job.StepId;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.core.job.TaskId;
import org.plantainknot.core.placement.Resources;

/** Room on a worker during one round of planning. */
final class Slot {

  private static final double DATA_RACK_WEIGHT = 10;

  /** Persistent tasks share workers, so that the others can be moved or maintained at will. */
  private static final double PACK_WEIGHT = 0.5;

  /** Part of a worker that persistent tasks may fill before others are preferred. */
  private static final double PERSISTENT_PART = 0.5;

  private static final double DISTURBANCE_WEIGHT = 2;

  private final WorkerHeartbeat worker;
  private final boolean onProbation;
  private final Map<StepId, Integer> tasksByStep = new HashMap<>();
  private Resources free;
  private int tasks;
  private int serving;
  private int filling;
  private int persistent;
  private long persistentMilliCores;

  Slot(WorkerHeartbeat worker, boolean onProbation) {
    this.worker = worker;
    this.onProbation = onProbation;
    this.free = worker.capacity();
  }

  WorkerHeartbeat worker() {
    return worker;
  }

  void take(TaskId task, StepSpec step) {
    free = free.minus(step.reserved());
    tasksByStep.merge(task.stepId(), 1, Integer::sum);
    tasks++;
    if (step.persistent()) {
      persistent++;
      persistentMilliCores += step.reserved().milliCores();
    }
    if (step.fills()) {
      filling++;
    } else if (step.targetMillis() > 0) {
      serving++;
    }
  }

  void giveBack(StepSpec step) {
    free = free.plus(step.reserved());
    tasks--;
  }

  boolean fits(StepId id, StepSpec step) {
    boolean full = !step.reserved().fitsInto(free);
    if (full || (onProbation && tasks > 0)) {
      return false;
    }
    boolean labelled = step.requiredLabel().isEmpty() || hasLabel(step.requiredLabel());
    int placed = tasksByStep.getOrDefault(id, 0);
    boolean belowMost = step.maxPerWorker() == 0 || placed < step.maxPerWorker();
    return labelled && belowMost;
  }

  /**
   * Prefers the data's rack, then workers with few tasks that interfere. Persistent work goes where
   * much is left; other work fills workers up, so that empty ones can be moved to other pools.
   */
  double score(StepSpec step) {
    double left = (double) free.milliCores() / Math.max(1, worker.capacity().milliCores());
    double score = step.persistent() ? left : -left;
    if (!step.dataRack().isEmpty() && step.dataRack().equals(worker.rack())) {
      score += DATA_RACK_WEIGHT;
    }
    if (step.fills()) {
      score -= DISTURBANCE_WEIGHT * serving + filling;
    } else if (step.targetMillis() > 0) {
      score -= DISTURBANCE_WEIGHT * filling;
    }
    if (step.persistent()
        && persistentMilliCores <= PERSISTENT_PART * worker.capacity().milliCores()) {
      score += PACK_WEIGHT * persistent;
    }
    return score;
  }

  private boolean hasLabel(String label) {
    return worker.labels().contains(label);
  }
}
