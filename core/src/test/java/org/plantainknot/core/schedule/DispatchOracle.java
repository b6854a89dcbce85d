package org.plantainknot.core.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.plantainknot.core.job.EndKind;
import org.plantainknot.core.job.JobSpec;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.core.job.TaskId;
import org.plantainknot.core.job.WorkerIncarnation;
import org.plantainknot.core.placement.Resources;

/** Checks the invariants of runs, as observed at the workers. */
public final class DispatchOracle {

  private static final long CANCEL_MILLIS = 3_000;

  private final Map<String, JobSpec> jobs = new HashMap<>();
  private final Map<String, Long> cancelledAtMillis = new HashMap<>();
  private final Map<TaskId, RunId> running = new HashMap<>();
  private final Set<TaskId> doneSomewhere = new HashSet<>();
  private final Set<TaskId> doneAndCommitted = new HashSet<>();
  private final Set<RunId> everStarted = new HashSet<>();
  private boolean executesLateOrder;

  /**
   * Sets whether a worker is executing an order seconds after it arrived. The time within which a
   * cancelled job stops being started doesn't hold for such an order: a leader can't prevent it on
   * a worker that none of its stops reach.
   */
  void setExecutesLateOrder(boolean executesLateOrder) {
    this.executesLateOrder = executesLateOrder;
  }

  public void submitted(JobSpec job) {
    jobs.put(job.id(), job);
  }

  public void cancelled(String job, long nowMillis) {
    cancelledAtMillis.put(job, nowMillis);
  }

  void started(RunId run, long nowMillis) {
    TaskId task = run.task();
    JobSpec job = jobs.get(task.job());
    StepSpec step = job.steps().get(task.step());
    assertTrue(everStarted.add(run), "a run started twice: " + run);
    assertFalse(running.containsKey(task), "two runs at once: " + run + " " + running.get(task));
    assertFalse(doneAndCommitted.contains(task), "started after its end was committed: " + run);
    assertTrue(
        nowMillis >= job.schedule().dueMillis(task.occurrence()),
        "started before its time: " + run);
    for (int earlier : step.dependsOn()) {
      for (int index = 0; index < job.steps().get(earlier).count(); index++) {
        assertTrue(
            doneSomewhere.contains(new TaskId(task.job(), task.occurrence(), earlier, index)),
            "started before step " + earlier + ": " + run);
      }
    }
    Long cancelled = cancelledAtMillis.get(task.job());
    boolean late = cancelled != null && nowMillis > cancelled + CANCEL_MILLIS;
    assertFalse(late && !executesLateOrder, "started long after its cancellation: " + run);
    running.put(task, run);
  }

  void ended(WorkerIncarnation incarnation, RunId run, EndKind kind) {
    running.remove(run.task(), run);
    if (kind == EndKind.DONE) {
      doneSomewhere.add(run.task());
    }
  }

  void runLost(RunId run) {
    running.remove(run.task(), run);
  }

  /** Records ends that a worker may discard and after which its lease has not expired. */
  void endsCommitted(List<ListedEnd> ends, long lastSeen) {
    for (ListedEnd listed : ends) {
      if (listed.number() <= lastSeen && listed.end().kind() == EndKind.DONE) {
        doneAndCommitted.add(listed.end().run().task());
      }
    }
  }

  /** Returns whether any run of a job has started. */
  public boolean hasStarted(String job) {
    return everStarted.stream().anyMatch(run -> run.task().job().equals(job));
  }

  boolean fits(RunId added, Collection<RunId> present, Resources capacity) {
    Resources sum = sizeOf(added);
    for (RunId run : present) {
      sum = sum.plus(sizeOf(run));
    }
    return sum.fitsInto(capacity);
  }

  public void assertCompleted(JobSpec job) {
    Optional<TaskId> missing = findTaskNotDone(job);
    assertTrue(missing.isEmpty(), "completed without " + missing);
    assertEquals(jobs.get(job.id()), job);
  }

  /** Returns a task of a job that no run has ended as done, or empty if all are done. */
  public Optional<TaskId> findTaskNotDone(JobSpec job) {
    for (int occurrence = 0; occurrence < job.schedule().occurrences(); occurrence++) {
      for (int step = 0; step < job.steps().size(); step++) {
        for (int index = 0; index < job.steps().get(step).count(); index++) {
          TaskId task = new TaskId(job.id(), occurrence, step, index);
          if (!doneSomewhere.contains(task)) {
            return Optional.of(task);
          }
        }
      }
    }
    return Optional.empty();
  }

  private Resources sizeOf(RunId run) {
    return jobs.get(run.task().job()).steps().get(run.task().step()).reserved();
  }
}
