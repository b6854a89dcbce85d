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
 * Fuzzes the placement with orders and reports that are late, lost or repeated, and wrong sizes.
 */
public class PlacementFuzzTest {

  @Test
  void noJobRunsTwiceAtATimeOrAfterItsEnd() {
    Fuzz.run(1_000, 100, 700, actions -> new Model().run(actions));
  }

  private static final class Model {

    private static final int WORKERS = 4;
    private static final Resources CAPACITY = new Resources(16_000, 32_768, 2);
    private static final PlacementTiming TIMING =
        new PlacementTiming(1_000, 50, 3_000, 3, 3, 0.2, 0.5);

    private final Placement placement = new Placement(TIMING);
    private final FakePlatform platform = new FakePlatform();
    private final List<TaskOrder> onTheWay = new ArrayList<>();
    private final Set<String> cut = new HashSet<>();
    private final Set<String> ended = new HashSet<>();
    private final Set<String> cancelledWaiting = new HashSet<>();
    private long nowMillis = 10_000;
    private int jobs;

    void run(List<Integer> actions) {
      for (int i = 0; i < WORKERS; i++) {
        platform.add("w" + i, i * 12_345L);
        placement.describe(new Worker("w" + i, CAPACITY));
      }
      placement.quota("team0", CAPACITY);
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
        case 14, 15 -> end(argument, TaskReport.FINISHED);
        case 16 -> end(argument, TaskReport.FAILED);
        case 17 -> use(argument);
        case 18 -> cancel(argument);
        case 19 -> toggle(worker, argument);
        case 20 -> placement.drain(worker, argument % 3 == 0);
        default -> pass(argument % 150);
      }
      check();
    }

    private void submit(int argument) {
      Resources size =
          new Resources(500L + argument % 20_000, 256L + argument % 20_000, argument % 11 / 10);
      WorkKind kind = WorkKind.values()[argument % 3];
      Job job = new Job("job" + jobs++, "team" + argument % 2, "p" + argument % 4, kind, size);
      JobView view = placement.submit(job);
      boolean possible = size.fitsInto(CAPACITY);
      require(possible == (view.phase() != JobPhase.REFUSED), job + " is " + view.phase());
      require(placement.submit(job).equals(view), "a repeated job differs");
    }

    private void plan() {
      onTheWay.addAll(placement.plan(nowMillis));
    }

    private void deliver(int argument, boolean once) {
      if (onTheWay.isEmpty()) {
        return;
      }
      int index = argument % onTheWay.size();
      TaskOrder order = once ? onTheWay.remove(index) : onTheWay.get(index);
      FakePlatform.Task stopped = platform.carryOut(order, nowMillis);
      if (stopped != null) {
        placement.report(order.taskId(), TaskReport.ENDED, nowMillis);
      }
    }

    private void drop(int argument) {
      if (!onTheWay.isEmpty()) {
        onTheWay.remove(argument % onTheWay.size());
      }
    }

    private void end(int argument, TaskReport report) {
      List<FakePlatform.Task> running = platform.running();
      if (running.isEmpty()) {
        return;
      }
      FakePlatform.Task task = running.get(argument % running.size());
      if (!cut.contains(task.worker)) {
        platform.remove(task);
        placement.report(task.taskId, report, nowMillis);
        if (report == TaskReport.FINISHED) {
          ended.add(task.jobId);
        }
      }
    }

    private void use(int argument) {
      List<FakePlatform.Task> running = platform.running();
      if (!running.isEmpty()) {
        FakePlatform.Task task = running.get(argument % running.size());
        Job job = placement.job(task.jobId).get().job();
        double factor = 0.25 * (1 + argument % 16);
        placement.use(task.taskId, job.declared().scaled(factor));
      }
    }

    private void cancel(int argument) {
      if (jobs > 0) {
        String jobId = "job" + argument % jobs;
        boolean waiting = placement.job(jobId).get().phase() == JobPhase.QUEUED;
        placement.cancel(jobId);
        if (waiting && platform.running().stream().noneMatch(t -> t.jobId.equals(jobId))) {
          cancelledWaiting.add(jobId);
        }
      }
    }

    private void toggle(String worker, int argument) {
      if (argument % 5 == 0) {
        cut.add(worker);
      } else {
        cut.remove(worker);
      }
    }

    private void pass(long millis) {
      nowMillis += millis;
      platform.pass(nowMillis);
      for (int i = 0; i < WORKERS; i++) {
        String worker = "w" + i;
        if (!cut.contains(worker)) {
          placement.heard(worker, platform.workerMillis(worker, nowMillis), nowMillis);
        }
      }
    }

    private void check() {
      require(platform.doubled().isEmpty(), platform.doubled() + " run twice at a time");
      for (FakePlatform.Task task : platform.running()) {
        require(!cancelledWaiting.contains(task.jobId), task.jobId + " started after its end");
        require(!ended.contains(task.jobId), task.jobId + " runs after it has finished");
      }
    }
  }
}
