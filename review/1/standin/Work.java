package review;

/** Tells a runner what a run of a work unit does. */
interface Work {

  /**
   * What a run does once it works.
   *
   * @param durationMillis time until its end
   * @param end how it ends, {@code done} or {@code failed}
   * @param milliCores processor that it takes, in thousandths of a core
   * @param members number of members of its gang, or 1
   * @param persistent whether it works until it is stopped, unless it ends as given
   */
  record Plan(long durationMillis, String end, long milliCores, int members, boolean persistent) {}

  /** Duration of a run that doesn't end by itself. */
  long FOREVER_MILLIS = Long.MAX_VALUE / 1_000;

  Plan plan(String task, int run);
}
