package org.plantainknot.daemon.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.plantainknot.core.replica.ReplicaTiming;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that tasks that wait are run as batches, and that none is lost or overtaken. */
public class ControlThreadTest {

  private static final int TASKS = 1_000;
  private static final int SENDERS = 4;
  private static final int TIMEOUT_SECONDS = 10;
  private static final int SLOW_TASKS = 60;
  private static final long SLOW_TASK_MILLIS = 50;
  private static final long TIMER_MILLIS = 20;

  private final AtomicInteger batches = new AtomicInteger();
  private final List<Integer> ran = Collections.synchronizedList(new ArrayList<>());
  private ControlThread control;

  @BeforeMethod
  void start() {
    batches.set(0);
    ran.clear();
    control = new ControlThread(batches::incrementAndGet);
  }

  @AfterMethod
  void stop() {
    control.shutdown();
  }

  @Test
  void tasksThatWaitedShareTheEndOfTheirBatch() throws InterruptedException {
    CountDownLatch released = new CountDownLatch(1);
    CountDownLatch done = new CountDownLatch(1);
    control.execute(() -> await(released));
    IntStream.range(0, TASKS).forEach(i -> control.execute(() -> ran.add(i)));
    control.execute(done::countDown);
    released.countDown();
    assertTrue(done.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    assertEquals(ran, IntStream.range(0, TASKS).boxed().toList());
    assertTrue(batches.get() < TASKS / 10, batches + " batches");
  }

  /** Guards against a leader that is replaced because requests that wait hold up its heartbeats. */
  @Test
  void aTimerIsNotHeldUpByManySlowTasksThatWait() throws InterruptedException {
    AtomicLong lastRunNanos = new AtomicLong(System.nanoTime());
    AtomicLong longestPauseNanos = new AtomicLong();
    control.repeat(
        () -> {
          long now = System.nanoTime();
          long pause = now - lastRunNanos.getAndSet(now);
          longestPauseNanos.accumulateAndGet(pause, Math::max);
        },
        TIMER_MILLIS);
    CountDownLatch done = new CountDownLatch(SLOW_TASKS);
    IntStream.range(0, SLOW_TASKS).forEach(i -> control.execute(() -> runSlowly(done)));
    assertTrue(done.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), done.getCount() + " left");
    CountDownLatch timerRan = new CountDownLatch(1);
    control.schedule(timerRan::countDown, TIMER_MILLIS);
    assertTrue(timerRan.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    long longestPauseMillis = TimeUnit.NANOSECONDS.toMillis(longestPauseNanos.get());
    assertTrue(
        longestPauseMillis < ReplicaTiming.DEFAULT.minElectionTimeoutMillis(),
        "the timer paused for " + longestPauseMillis + " ms");
  }

  /** Guards against a leader that steps down because its members' replies wait behind requests. */
  @Test
  void urgentTasksOvertakeTheOthersInTheirOrder() throws InterruptedException {
    CountDownLatch released = new CountDownLatch(1);
    CountDownLatch done = new CountDownLatch(2 * TASKS);
    control.execute(() -> await(released));
    IntStream.range(0, TASKS).forEach(i -> control.execute(() -> record(TASKS + i, done)));
    IntStream.range(0, TASKS).forEach(i -> control.executeUrgently(() -> record(i, done)));
    released.countDown();
    assertTrue(done.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), done.getCount() + " left");
    assertEquals(ran, IntStream.range(0, 2 * TASKS).boxed().toList());
  }

  private void record(int number, CountDownLatch done) {
    ran.add(number);
    done.countDown();
  }

  private static void runSlowly(CountDownLatch done) {
    try {
      Thread.sleep(SLOW_TASK_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    done.countDown();
  }

  @Test
  void noTaskIsLeftOverWhenSeveralThreadsSend() throws InterruptedException {
    CountDownLatch done = new CountDownLatch(SENDERS * TASKS);
    List<Thread> senders =
        IntStream.range(0, SENDERS).mapToObj(i -> new Thread(() -> sendAll(done))).toList();
    senders.forEach(Thread::start);
    assertTrue(done.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), done.getCount() + " left");
  }

  @Test
  void taskThatTheEndOfABatchPostsIsRun() throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    AtomicInteger posted = new AtomicInteger();
    ControlThread[] self = new ControlThread[1];
    self[0] =
        new ControlThread(
            () -> {
              if (posted.getAndIncrement() == 0) {
                self[0].execute(done::countDown);
              }
            });
    self[0].execute(() -> {});
    assertTrue(done.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    self[0].shutdown();
  }

  private void sendAll(CountDownLatch done) {
    for (int i = 0; i < TASKS; i++) {
      control.execute(done::countDown);
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
