package org.plantainknot.core.placement;

import static org.plantainknot.core.fuzz.Fuzz.require;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.plantainknot.core.admission.WorkKind;
import org.plantainknot.core.fuzz.Fuzz;
import org.testng.annotations.Test;

/**
 * Fuzzes the placement with delayed, lost and repeated orders and reports, and with wrong declared
 * sizes.
 */
public class PlacementFuzzTest {

  @Test
  void noJobRunsTwiceConcurrentlyOrAfterItsEnd() {
    Fuzz.run(1_000, 100, 700, actions -> new Model().run(actions));
  }

  private static final class Model {

    private static final int WORKERS = 4;
    private static final Resources CAPACITY = new Resources(16_000, 32_768, 2);
    private static final PlacementTiming TIMING =
        new PlacementTiming(1_000, 50, 3_000, 3, 3, 0.2, 0.5);

    private final Placement placement = new Placement(TIMING);
    private final FakePlatform platform = new FakePlatform();
    private final List<TaskOrder> inFlight = new ArrayList<>();
    private final Set<String> partitioned = new HashSet<>();
    private final Set<String> finished = new HashSet<>();
    private final Set<String> cancelledWhileQueued = new HashSet<>();
    private long nowMillis = 10_000;
    private int jobCount;

    void run(List<Integer> actions) {
      for (int i = 0; i < WORKERS; i++) {
        platform.add("w" + i, i * 12_345L);
        placement.putWorker(new Worker("w" + i, CAPACITY));
      }
      placement.setQuota("team0", CAPACITY);
      actions.forEach(this::act);
    }

    private void act(int number) {
      int argument = number / 24;
      String worker = "w" + argument % WORKERS;
      switch (number % 24) {
        case 0, 1, 2 -> submit(argument);
        case 3, 4, 5, 6 -> plan();
        case 7, 8, 9, 10, 11 -> deliver(argument, true);
        case 12 -> deliver(argument, false);
        case 13 -> drop(argument);
        case 14, 15 -> endTask(argument, TaskReport.FINISHED);
        case 16 -> endTask(argument, TaskReport.FAILED);
        case 17 -> reportUsage(argument);
        case 18 -> cancel(argument);
        case 19 -> togglePartition(worker, argument);
        case 20 -> placement.drain(worker, argument % 3 == 0);
        default -> advanceClock(argument % 150);
      }
      check();
    }

    private void submit(int argument) {
      Resources size =
          new Resources(500L + argument % 20_000, 256L + argument % 20_000, argument % 11 / 10);
      WorkKind kind = WorkKind.values()[argument % 3];
      Job job = new Job("job" + jobCount++, "team" + argument % 2, "p" + argument % 4, kind, size);
      JobView view = placement.submit(job);
      boolean fitsWorker = size.fitsInto(CAPACITY);
      require(fitsWorker == (view.phase() != JobPhase.REFUSED), job + " is " + view.phase());
      require(
          placement.submit(job).equals(view), "a repeated submission returned a different view");
    }

    private void plan() {
      inFlight.addAll(placement.plan(nowMillis));
    }

    private void deliver(int argument, boolean removeOrder) {
      if (inFlight.isEmpty()) {
        return;
      }
      int index = argument % inFlight.size();
      TaskOrder order = removeOrder ? inFlight.remove(index) : inFlight.get(index);
      FakePlatform.Task stopped = platform.execute(order, nowMillis);
      if (stopped != null) {
        placement.report(order.taskId(), TaskReport.ENDED, nowMillis);
      }
    }

    private void drop(int argument) {
      if (!inFlight.isEmpty()) {
        inFlight.remove(argument % inFlight.size());
      }
    }

    private void endTask(int argument, TaskReport report) {
      List<FakePlatform.Task> running = platform.running();
      if (running.isEmpty()) {
        return;
      }
      FakePlatform.Task task = running.get(argument % running.size());
      if (!partitioned.contains(task.worker)) {
        platform.remove(task);
        placement.report(task.taskId, report, nowMillis);
        if (report == TaskReport.FINISHED) {
          finished.add(task.jobId);
        }
      }
    }

    private void reportUsage(int argument) {
      List<FakePlatform.Task> running = platform.running();
      if (!running.isEmpty()) {
        FakePlatform.Task task = running.get(argument % running.size());
        Job job = placement.job(task.jobId).get().job();
        double factor = 0.25 * (1 + argument % 16);
        placement.recordUsage(task.taskId, job.declared().scaled(factor));
      }
    }

    private void cancel(int argument) {
      if (jobCount > 0) {
        String jobId = "job" + argument % jobCount;
        boolean queued = placement.job(jobId).get().phase() == JobPhase.QUEUED;
        placement.cancel(jobId);
        if (queued && platform.running().stream().noneMatch(t -> t.jobId.equals(jobId))) {
          cancelledWhileQueued.add(jobId);
        }
      }
    }

    private void togglePartition(String worker, int argument) {
      if (argument % 5 == 0) {
        partitioned.add(worker);
      } else {
        partitioned.remove(worker);
      }
    }

    private void advanceClock(long millis) {
      nowMillis += millis;
      platform.expireLeases(nowMillis);
      for (int i = 0; i < WORKERS; i++) {
        String worker = "w" + i;
        if (!partitioned.contains(worker)) {
          placement.recordReport(worker, platform.workerMillis(worker, nowMillis), nowMillis);
        }
      }
    }

    private void check() {
      require(
          platform.jobsRunningTwice().isEmpty(),
          platform.jobsRunningTwice() + " run twice concurrently");
      for (FakePlatform.Task task : platform.running()) {
        require(!cancelledWhileQueued.contains(task.jobId), task.jobId + " started after its end");
        require(!finished.contains(task.jobId), task.jobId + " runs after it has finished");
      }
    }
  }
}
