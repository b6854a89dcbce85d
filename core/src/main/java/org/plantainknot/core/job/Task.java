package org.plantainknot.core.job;

/** Task of a job with the state of its latest run. */
public final class Task {

  private final TaskId id;
  private final StepSpec step;
  private final TaskCounts counts;
  private int run;
  private int failedRuns;
  private boolean done;
  private WorkerIncarnation worker;
  private String checkpoint = "";

  Task(TaskId id, StepSpec step, TaskCounts counts) {
    this.id = id;
    this.step = step;
    this.counts = counts;
  }

  /** Returns the identifier of the task. */
  public TaskId id() {
    return id;
  }

  /** Returns the step that the task belongs to. */
  public StepSpec step() {
    return step;
  }

  /** Returns the number of the latest run, or 0 if there was none. */
  public int run() {
    return run;
  }

  /** Returns the identifier of the latest run. */
  public RunId runId() {
    return new RunId(id, run);
  }

  /** Returns the worker on which the latest run may be running, or null if there is none. */
  public WorkerIncarnation worker() {
    return worker;
  }

  /** Returns whether the task is not done and waits for a worker. */
  public boolean isWaiting() {
    return !done && worker == null;
  }

  /** Returns whether the task is done. */
  public boolean isDone() {
    return done;
  }

  /** Returns the number of failed runs. */
  public int failedRuns() {
    return failedRuns;
  }

  /** Returns the latest checkpoint, or an empty string if none was saved. */
  public String checkpoint() {
    return checkpoint;
  }

  boolean assign(int newRun, WorkerIncarnation newWorker) {
    if (done || worker != null || newRun <= run) {
      return false;
    }
    run = newRun;
    setWorker(newWorker);
    return true;
  }

  void end(EndKind kind, String savedCheckpoint) {
    setWorker(null);
    if (!savedCheckpoint.isEmpty()) {
      checkpoint = savedCheckpoint;
    }
    if (kind.isFailedAttempt()) {
      failedRuns++;
    }
    if (kind == EndKind.DONE && !step.persistent()) {
      finish();
    }
  }

  void giveUp() {
    setWorker(null);
  }

  void shareCheckpoint(String savedCheckpoint) {
    checkpoint = savedCheckpoint;
  }

  /** Marks the task as done. */
  void finish() {
    if (!done) {
      done = true;
      counts.countDone(worker == null);
    }
  }

  TaskImage image() {
    return new TaskImage(id, run, failedRuns, done, worker, checkpoint);
  }

  void restore(TaskImage image) {
    run = image.run();
    failedRuns = image.failedRuns();
    setWorker(image.worker());
    if (image.done()) {
      finish();
    }
    checkpoint = image.checkpoint();
  }

  private void setWorker(WorkerIncarnation newWorker) {
    if ((worker == null) != (newWorker == null)) {
      counts.countAssignment(newWorker != null, done);
    }
    worker = newWorker;
  }
}
