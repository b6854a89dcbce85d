package org.plantainknot.core.job;

/** Task of a job and where it stands. */
public final class Task {

  private final TaskId id;
  private final StepSpec step;
  private final TaskCounts counts;
  private int run;
  private int failedRuns;
  private boolean done;
  private WorkerLife worker;
  private String checkpoint = "";

  Task(TaskId id, StepSpec step, TaskCounts counts) {
    this.id = id;
    this.step = step;
    this.counts = counts;
  }

  /** Returns the name of the task. */
  public TaskId id() {
    return id;
  }

  /** Returns the step that the task belongs to. */
  public StepSpec step() {
    return step;
  }

  /** Returns the number of the latest run, or 0. */
  public int run() {
    return run;
  }

  /** Returns the latest run. */
  public RunId runId() {
    return new RunId(id, run);
  }

  /** Returns the worker that the latest run was assigned to and may run on, or null. */
  public WorkerLife worker() {
    return worker;
  }

  /** Returns whether the task waits for a worker. */
  public boolean isWaiting() {
    return !done && worker == null;
  }

  /** Returns whether the task is done. */
  public boolean isDone() {
    return done;
  }

  /** Returns the number of runs that failed. */
  public int failedRuns() {
    return failedRuns;
  }

  /** Returns what the latest run saved, or an empty text. */
  public String checkpoint() {
    return checkpoint;
  }

  boolean assign(int newRun, WorkerLife to) {
    if (done || worker != null || newRun <= run) {
      return false;
    }
    run = newRun;
    place(to);
    return true;
  }

  void end(EndKind kind, String saved) {
    place(null);
    if (!saved.isEmpty()) {
      checkpoint = saved;
    }
    if (kind.isFailedAttempt()) {
      failedRuns++;
    }
    if (kind == EndKind.DONE && !step.persistent()) {
      finish();
    }
  }

  void giveUp() {
    place(null);
  }

  void shareCheckpoint(String saved) {
    checkpoint = saved;
  }

  /** Counts the task as done. */
  void finish() {
    if (!done) {
      done = true;
      counts.done(worker == null);
    }
  }

  TaskImage image() {
    return new TaskImage(id, run, failedRuns, done, worker, checkpoint);
  }

  void restore(TaskImage image) {
    run = image.run();
    failedRuns = image.failedRuns();
    place(image.worker());
    if (image.done()) {
      finish();
    }
    checkpoint = image.checkpoint();
  }

  private void place(WorkerLife to) {
    if ((worker == null) != (to == null)) {
      counts.placed(to != null, done);
    }
    worker = to;
  }
}
