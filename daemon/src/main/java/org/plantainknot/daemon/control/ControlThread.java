package org.plantainknot.daemon.control;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.plantainknot.daemon.exit.ExitStatus;

/**
 * The single thread that owns the replicated log and state.
 *
 * <p>An uncaught exception in a task halts the process, because the state may be inconsistent.
 */
public final class ControlThread {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "control"));

  /** Runs a task on the control thread; ignored after {@link #shutdown}. */
  public void execute(Runnable task) {
    try {
      executor.execute(() -> runOrHalt(task));
    } catch (RejectedExecutionException e) {
      logger.atFine().log("task rejected because the daemon is stopping");
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

  private static void runOrHalt(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      logger.atSevere().withCause(e).log("control-failed");
      ExitStatus.FAILED.halt();
    }
  }
}
