package org.plantainknot.daemon.control;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.plantainknot.daemon.exit.ExitStatus;

/**
 * The single thread that owns the replicated log and state.
 *
 * <p>An uncaught exception in a task halts the process, because the state may be inconsistent.
 */
public final class ControlThread {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Tasks after which the end of a batch is signalled although more tasks wait. */
  private static final int MAX_BATCH_TASKS = 64;

  /**
   * Time after which the end of a batch is signalled although more tasks wait, so that timers that
   * are due run between slow tasks: a leader that sends no heartbeats is replaced.
   */
  private static final long MAX_BATCH_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** Duration of a batch or a timer from which it is logged; elections follow soon after. */
  private static final long SLOW_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "control"));

  private final Queue<Runnable> urgentTasks = new ConcurrentLinkedQueue<>();
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean batchPosted = new AtomicBoolean();
  private final Runnable onBatchEnd;

  /** Creates a control thread that runs tasks one by one. */
  public ControlThread() {
    this(() -> {});
  }

  /**
   * Creates a control thread that runs the tasks that wait as one batch.
   *
   * @param onBatchEnd run on the control thread after each batch of tasks
   */
  public ControlThread(Runnable onBatchEnd) {
    this.onBatchEnd = onBatchEnd;
  }

  /** Runs a task on the control thread; ignored after {@link #shutdown}. */
  public void execute(Runnable task) {
    tasks.add(task);
    postBatchUnlessPosted();
  }

  /**
   * Runs a task before all waiting ones that are not urgent. Messages of the replicated log are
   * urgent: a leader whose members' replies wait behind requests would step down.
   */
  public void executeUrgently(Runnable task) {
    urgentTasks.add(task);
    postBatchUnlessPosted();
  }

  private void postBatchUnlessPosted() {
    if (batchPosted.compareAndSet(false, true)) {
      postBatch();
    }
  }

  /** Runs a task after a delay. */
  public void schedule(Runnable task, long delayMillis) {
    executor.schedule(() -> runOrHalt(task), delayMillis, TimeUnit.MILLISECONDS);
  }

  /** Runs a task repeatedly, with a fixed delay between runs. */
  public void repeat(Runnable task, long intervalMillis) {
    executor.scheduleWithFixedDelay(
        () -> runOrHalt(task), 0, intervalMillis, TimeUnit.MILLISECONDS);
  }

  /** Runs a task on the control thread and returns its result. */
  public <T> Uni<T> call(Callable<T> task) {
    CompletableFuture<T> result = new CompletableFuture<>();
    execute(
        () -> {
          try {
            result.complete(task.call());
          } catch (Exception e) {
            result.completeExceptionally(e);
          }
        });
    return Uni.createFrom().completionStage(result);
  }

  /** Stops the thread once the queued tasks have run. */
  public void shutdown() {
    executor.shutdown();
  }

  private void postBatch() {
    try {
      executor.execute(() -> runOrHalt(this::runBatch));
    } catch (RejectedExecutionException e) {
      logger.atFine().log("tasks rejected because the daemon is stopping");
    }
  }

  private void runBatch() {
    long startNanos = System.nanoTime();
    Runnable task = nextTask();
    for (int i = 1; task != null; i++) {
      task.run();
      boolean mayContinue = i < MAX_BATCH_TASKS && System.nanoTime() - startNanos < MAX_BATCH_NANOS;
      task = mayContinue ? nextTask() : null;
    }
    onBatchEnd.run();
    batchPosted.set(false);
    boolean tasksLeft = !urgentTasks.isEmpty() || !tasks.isEmpty();
    if (tasksLeft) {
      postBatchUnlessPosted();
    }
  }

  private Runnable nextTask() {
    Runnable urgent = urgentTasks.poll();
    return urgent != null ? urgent : tasks.poll();
  }

  private static void runOrHalt(Runnable task) {
    long startNanos = System.nanoTime();
    try {
      task.run();
      logIfSlow(System.nanoTime() - startNanos);
    } catch (RuntimeException | Error e) {
      logger.atSevere().withCause(e).log("control-failed");
      ExitStatus.FAILED.halt();
    }
  }

  private static void logIfSlow(long tookNanos) {
    if (tookNanos >= SLOW_NANOS) {
      logger.atWarning().log("control-slow took-ms=%d", TimeUnit.NANOSECONDS.toMillis(tookNanos));
    }
  }
}
