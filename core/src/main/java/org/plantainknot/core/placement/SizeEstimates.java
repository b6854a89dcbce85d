package org.plantainknot.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Corrects declared sizes using the resource usage of earlier jobs of the same team and profile.
 *
 * <p>Keeps a conservative estimate of the ratio of used to declared size: it follows a higher ratio
 * quickly and a lower one slowly, since an underestimate costs more than an overestimate.
 */
final class SizeEstimates {

  private static final double RISE_GAIN = 0.5;
  private static final double FALL_GAIN = 0.05;
  private static final double HEADROOM = 1.1;
  private static final double MIN_RATIO = 0.1;
  private static final double MAX_RATIO = 8;

  private record Key(String team, String profile) {}

  private final Map<Key, Double> ratios = new HashMap<>();

  /** Returns the expected size of a job, with headroom; the declared size if no usage is known. */
  Resources estimate(Job job) {
    Double ratio = ratios.get(keyOf(job));
    return ratio == null ? job.declared() : job.declared().scaled(ratio * HEADROOM);
  }

  /** Adds a reported usage to the estimate of the job's team and profile. */
  void observe(Job job, Resources used) {
    double cores = (double) used.milliCores() / Math.max(1, job.declared().milliCores());
    double memory = (double) used.memoryMib() / Math.max(1, job.declared().memoryMib());
    double observed = Math.min(MAX_RATIO, Math.max(MIN_RATIO, Math.max(cores, memory)));
    ratios.merge(
        keyOf(job),
        observed,
        (ratio, latest) -> ratio + (latest > ratio ? RISE_GAIN : FALL_GAIN) * (latest - ratio));
  }

  private static Key keyOf(Job job) {
    return new Key(job.team(), job.profile());
  }
}
