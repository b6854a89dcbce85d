package org.plantainknot.core.placement;

/**
 * Amounts of processor, memory and accelerators.
 *
 * @param milliCores processor, in thousandths of a core
 * @param memoryMib memory, in MiB
 * @param accelerators number of accelerators
 */
public record Resources(long milliCores, long memoryMib, int accelerators) {

  /** Zero of every resource. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Returns the sum. */
  public Resources plus(Resources other) {
    return new Resources(
        milliCores + other.milliCores,
        memoryMib + other.memoryMib,
        accelerators + other.accelerators);
  }

  /** Returns the difference, which may be negative. */
  public Resources minus(Resources other) {
    return new Resources(
        milliCores - other.milliCores,
        memoryMib - other.memoryMib,
        accelerators - other.accelerators);
  }

  /** Returns processor and memory multiplied by a factor, with unchanged accelerators. */
  public Resources scaled(double factor) {
    return new Resources(
        Math.round(milliCores * factor), Math.round(memoryMib * factor), accelerators);
  }

  /** Returns the given fraction of the processor, with unchanged memory and accelerators. */
  public Resources throttled(double fraction) {
    return new Resources(Math.round(milliCores * fraction), memoryMib, accelerators);
  }

  /** Returns the maximum of each amount. */
  public Resources max(Resources other) {
    return new Resources(
        Math.max(milliCores, other.milliCores),
        Math.max(memoryMib, other.memoryMib),
        Math.max(accelerators, other.accelerators));
  }

  /** Returns the minimum of each amount. */
  public Resources min(Resources other) {
    return new Resources(
        Math.min(milliCores, other.milliCores),
        Math.min(memoryMib, other.memoryMib),
        Math.min(accelerators, other.accelerators));
  }

  /** Returns whether no amount exceeds that of the capacity. */
  public boolean fitsInto(Resources capacity) {
    return milliCores <= capacity.milliCores
        && memoryMib <= capacity.memoryMib
        && accelerators <= capacity.accelerators;
  }

  /**
   * Returns how many times the given size fits into these amounts, at most {@link
   * Integer#MAX_VALUE} times. An amount that the size doesn't need limits nothing, unless it is
   * negative.
   */
  public long timesLarger(Resources size) {
    long processor = timesLarger(milliCores, size.milliCores);
    long memory = timesLarger(memoryMib, size.memoryMib);
    return Math.min(Math.min(processor, memory), timesLarger(accelerators, size.accelerators));
  }

  private static long timesLarger(long available, long needed) {
    if (available < needed) {
      return 0;
    }
    return needed == 0 ? Integer.MAX_VALUE : Math.min(Integer.MAX_VALUE, available / needed);
  }
}
