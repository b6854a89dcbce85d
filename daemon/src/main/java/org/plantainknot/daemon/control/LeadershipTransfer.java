package org.plantainknot.daemon.control;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.plantainknot.core.replica.Replica;
import org.plantainknot.core.replica.ReplicaStatus;

/**
 * Leadership transfer (Ongaro, section 3.10): if this member is the leader, waits until its log is
 * committed, asks another voter to start an election, and waits until another member leads.
 */
public final class LeadershipTransfer {

  private static final long POLL_MILLIS = 20;

  private final Replica replica;
  private final ControlThread control;
  private final Runnable drain;
  private final CompletableFuture<Boolean> result = new CompletableFuture<>();
  private long deadlineMillis;

  /**
   * Prepares the transfer without starting it.
   *
   * @param drain processes the pending output of the replica
   */
  public LeadershipTransfer(Replica replica, ControlThread control, Runnable drain) {
    this.replica = replica;
    this.control = control;
    this.drain = drain;
  }

  /**
   * Starts the transfer; the result tells whether another member became leader before the timeout.
   *
   * @param stopAccepting makes this member reject new commands, so that their senders retry them
   */
  public CompletionStage<Boolean> start(Runnable stopAccepting, long timeoutMillis) {
    deadlineMillis = Clock.nowMillis() + timeoutMillis;
    control.execute(
        () -> {
          stopAccepting.run();
          poll();
        });
    return result;
  }

  private void poll() {
    ReplicaStatus status = replica.status();
    boolean transferred = status.leader() != null && !status.isLeader();
    if (transferred || Clock.nowMillis() >= deadlineMillis) {
      result.complete(transferred);
      return;
    }
    if (status.isLeader() && status.commitIndex() == status.lastIndex()) {
      replica.transferLeadership();
      drain.run();
    }
    control.schedule(this::poll, POLL_MILLIS);
  }
}
