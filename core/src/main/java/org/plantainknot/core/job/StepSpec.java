package org.plantainknot.core.job;

import java.util.List;
import org.plantainknot.core.placement.Resources;

/**
 * Specification of a step, which is a set of identical tasks of a job.
 *
 * @param count number of tasks
 * @param size resources that each task requires
 * @param estimateMillis rough estimate of a task's duration
 * @param dependsOn numbers of the steps that must be done before this step starts
 * @param checkpointable whether the tasks save checkpoints of their progress
 * @param gang whether the tasks can run only all at the same time (gang scheduling)
 * @param rackSensitive whether the tasks run slower when spread over several racks
 * @param requiredLabel label that a worker must have to run the tasks, or an empty string
 * @param dataRack rack that holds the input data, or an empty string
 * @param maxPerWorker maximum number of tasks per worker, or 0 for no limit
 * @param speculative whether copies of a task may run concurrently
 * @param persistent whether the tasks run until the job is cancelled
 * @param image image that the tasks run, or an empty string
 * @param targetMillis upper bound for the response times of the tasks themselves, or 0
 * @param fills whether the tasks use only processor time that other tasks leave idle
 * @param maxUnavailable maximum number of tasks that the system itself may make unavailable at the
 *     same time
 */
public record StepSpec(
    int count,
    Resources size,
    long estimateMillis,
    List<Integer> dependsOn,
    boolean checkpointable,
    boolean gang,
    boolean rackSensitive,
    String requiredLabel,
    String dataRack,
    int maxPerWorker,
    boolean speculative,
    boolean persistent,
    String image,
    long targetMillis,
    boolean fills,
    int maxUnavailable) {

  /** Heap that a step of an open job takes, without its lists and strings. */
  private static final long FIXED_BYTES = 320;

  private static final long BYTES_PER_DEPENDENCY = 24;

  /** Makes a defensive copy of the list; the encoding leaves out what is empty. */
  public StepSpec {
    dependsOn = dependsOn == null ? List.of() : List.copyOf(dependsOn);
    requiredLabel = requiredLabel == null ? "" : requiredLabel;
    dataRack = dataRack == null ? "" : dataRack;
    image = image == null ? "" : image;
  }

  /** Returns an estimate of the heap that the step takes while its job is open. */
  long heapBytes() {
    return FIXED_BYTES
        + BYTES_PER_DEPENDENCY * dependsOn.size()
        + requiredLabel.length()
        + dataRack.length()
        + image.length();
  }

  /** Returns the part of a worker's capacity that is reserved for a task. */
  public Resources reserved() {
    return fills ? new Resources(0, size.memoryMib(), size.accelerators()) : size;
  }

  /** Returns the estimated work of a task in core-milliseconds. */
  public double estimatedWork() {
    return size.milliCores() / 1_000.0 * estimateMillis;
  }

  /** Returns a builder of a step with default settings and one task. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of a {@link StepSpec}. */
  public static final class Builder {

    private int count = 1;
    private Resources size = Resources.NONE;
    private long estimateMillis;
    private List<Integer> dependsOn = List.of();
    private boolean checkpointable;
    private boolean gang;
    private boolean rackSensitive;
    private String requiredLabel = "";
    private String dataRack = "";
    private int maxPerWorker;
    private boolean speculative;
    private boolean persistent;
    private String image = "";
    private long targetMillis;
    private boolean fills;
    private int maxUnavailable;

    private Builder() {}

    /** Sets the number of tasks. */
    public Builder count(int value) {
      count = value;
      return this;
    }

    /** Sets the resources that each task requires. */
    public Builder size(Resources value) {
      size = value;
      return this;
    }

    /** Sets the rough estimate of a task's duration. */
    public Builder estimateMillis(long value) {
      estimateMillis = value;
      return this;
    }

    /** Sets the numbers of the steps that must be done before this step starts. */
    public Builder dependsOn(List<Integer> value) {
      dependsOn = value;
      return this;
    }

    /** Sets whether the tasks save checkpoints of their progress. */
    public Builder checkpointable(boolean value) {
      checkpointable = value;
      return this;
    }

    /** Sets whether the tasks can run only all at the same time. */
    public Builder gang(boolean value) {
      gang = value;
      return this;
    }

    /** Sets whether the tasks run slower when spread over several racks. */
    public Builder rackSensitive(boolean value) {
      rackSensitive = value;
      return this;
    }

    /** Sets the label that a worker must have to run the tasks. */
    public Builder requiredLabel(String value) {
      requiredLabel = value;
      return this;
    }

    /** Sets the rack that holds the input data. */
    public Builder dataRack(String value) {
      dataRack = value;
      return this;
    }

    /** Sets the maximum number of tasks per worker. */
    public Builder maxPerWorker(int value) {
      maxPerWorker = value;
      return this;
    }

    /** Sets whether copies of a task may run concurrently. */
    public Builder speculative(boolean value) {
      speculative = value;
      return this;
    }

    /** Sets whether the tasks run until the job is cancelled. */
    public Builder persistent(boolean value) {
      persistent = value;
      return this;
    }

    /** Sets the image that the tasks run. */
    public Builder image(String value) {
      image = value;
      return this;
    }

    /** Sets the upper bound for the response times of the tasks themselves. */
    public Builder targetMillis(long value) {
      targetMillis = value;
      return this;
    }

    /** Sets whether the tasks use only processor time that other tasks leave idle. */
    public Builder fills(boolean value) {
      fills = value;
      return this;
    }

    /** Sets the maximum number of tasks that may be made unavailable at the same time. */
    public Builder maxUnavailable(int value) {
      maxUnavailable = value;
      return this;
    }

    /** Returns the step. */
    public StepSpec build() {
      return new StepSpec(
          count,
          size,
          estimateMillis,
          dependsOn,
          checkpointable,
          gang,
          rackSensitive,
          requiredLabel,
          dataRack,
          maxPerWorker,
          speculative,
          persistent,
          image,
          targetMillis,
          fills,
          maxUnavailable);
    }
  }
}
