package org.plantainknot.core.placement;

/**
 * Amounts of a worker's resources.
 *
 * @param milliCores processor, in thousandths of a core
 * @param memoryMib memory, in MiB
 * @param accelerators number of accelerators
 */
public record Resources(long milliCores, long memoryMib, int accelerators) {

  /** Nothing. */
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

  /** Returns processor and memory times a factor, and the same accelerators. */
  public Resources scaled(double factor) {
    return new Resources(
        Math.round(milliCores * factor), Math.round(memoryMib * factor), accelerators);
  }

  /** Returns the same memory and accelerators with a part of the processor. */
  public Resources throttled(double part) {
    return new Resources(Math.round(milliCores * part), memoryMib, accelerators);
  }

  /** Returns the larger of each amount. */
  public Resources max(Resources other) {
    return new Resources(
        Math.max(milliCores, other.milliCores),
        Math.max(memoryMib, other.memoryMib),
        Math.max(accelerators, other.accelerators));
  }

  /** Returns the smaller of each amount. */
  public Resources min(Resources other) {
    return new Resources(
        Math.min(milliCores, other.milliCores),
        Math.min(memoryMib, other.memoryMib),
        Math.min(accelerators, other.accelerators));
  }

  /** Returns whether these amounts fit into others. */
  public boolean fitsInto(Resources others) {
    return milliCores <= others.milliCores
        && memoryMib <= others.memoryMib
        && accelerators <= others.accelerators;
  }
}
