package org.plantainknot.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Corrects declared sizes by what jobs of the same team and profile have used.
 *
 * <p>Keeps an upper estimate of the ratio of used to declared: it follows a higher ratio quickly
 * and a lower one slowly, since too small an estimate costs more than too large a one.
 */
final class SizeEstimates {

  private static final double RISE = 0.5;
  private static final double FALL = 0.05;
  private static final double HEADROOM = 1.1;
  private static final double SMALLEST = 0.1;
  private static final double LARGEST = 8;

  private record Key(String team, String profile) {}

  private final Map<Key, Double> ratios = new HashMap<>();

  /** Returns the likely size of a job. */
  Resources estimate(Job job) {
    Double ratio = ratios.get(keyOf(job));
    return ratio == null ? job.declared() : job.declared().scaled(ratio * HEADROOM);
  }

  /** Takes a reported use into account. */
  void observe(Job job, Resources used) {
    double cores = (double) used.milliCores() / Math.max(1, job.declared().milliCores());
    double memory = (double) used.memoryMib() / Math.max(1, job.declared().memoryMib());
    double observed = Math.min(LARGEST, Math.max(SMALLEST, Math.max(cores, memory)));
    ratios.merge(
        keyOf(job),
        observed,
        (known, latest) -> known + (latest > known ? RISE : FALL) * (latest - known));
  }

  private static Key keyOf(Job job) {
    return new Key(job.team(), job.profile());
  }
}
