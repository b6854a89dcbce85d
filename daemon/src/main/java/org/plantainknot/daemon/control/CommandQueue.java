package org.plantainknot.daemon.control;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.plantainknot.core.control.Command;
import org.plantainknot.core.control.Result;
import org.plantainknot.core.error.ErrorCode;
import org.plantainknot.core.error.PlantainknotException;
import org.plantainknot.wire.member.CommandProto;

/**
 * Commands submitted by this process that have not been applied here yet.
 *
 * <p>A command is resent when the leader changes or does not answer; applying a command twice has
 * no further effect. {@link Command.OpenClaim} is the exception, because a delayed second copy
 * could claim a request that no caller waits for any longer: it is resent only if the leader is
 * known not to have accepted it. Used by the control thread only.
 */
final class CommandQueue {

  private static final long RESEND_MILLIS = 1_000;

  private static final class Pending {
    private final CommandProto proto;
    private final CompletableFuture<Result> result;
    private final long deadlineMillis;
    private final boolean resendable;
    private String sentToNode;
    private long sentAtMillis;

    Pending(
        CommandProto proto,
        CompletableFuture<Result> result,
        long deadlineMillis,
        boolean resendable) {
      this.proto = proto;
      this.resendable = resendable;
      this.result = result;
      this.deadlineMillis = deadlineMillis;
    }
  }

  private final Map<String, Pending> pendingById = new LinkedHashMap<>();

  void add(
      String commandId, Command command, CompletableFuture<Result> result, long deadlineMillis) {
    CommandProto proto =
        CommandProto.newBuilder()
            .setCommandId(commandId)
            .setBody(ByteString.copyFrom(StateCodec.encode(command)))
            .build();
    Pending replaced =
        pendingById.put(
            commandId,
            new Pending(proto, result, deadlineMillis, !(command instanceof Command.OpenClaim)));
    if (replaced != null) {
      result.whenComplete((r, e) -> complete(replaced.result, r, e));
    }
  }

  /** Returns the commands to send to the leader now, and marks them as sent. */
  List<CommandProto> takeUnsent(String leader, long nowMillis) {
    List<CommandProto> unsent = new ArrayList<>();
    for (Pending pending : pendingById.values()) {
      boolean recentlySent =
          leader.equals(pending.sentToNode) && nowMillis - pending.sentAtMillis < RESEND_MILLIS;
      boolean sent = pending.resendable ? recentlySent : pending.sentToNode != null;
      if (!sent) {
        pending.sentToNode = leader;
        pending.sentAtMillis = nowMillis;
        unsent.add(pending.proto);
      }
    }
    return unsent;
  }

  /** Makes a command that was not delivered or not accepted eligible for resending. */
  void rejected(String commandId) {
    Pending pending = pendingById.get(commandId);
    if (pending != null) {
      pending.sentToNode = null;
    }
  }

  void applied(String commandId, Result result) {
    Pending pending = pendingById.remove(commandId);
    if (pending != null) {
      pending.result.complete(result);
    }
  }

  void expire(long nowMillis) {
    List<String> expired = new ArrayList<>();
    pendingById.forEach(
        (id, pending) -> {
          if (nowMillis >= pending.deadlineMillis) {
            expired.add(id);
          }
        });
    for (String id : expired) {
      Pending pending = pendingById.remove(id);
      ErrorCode code = pending.sentAtMillis == 0 ? ErrorCode.UNAVAILABLE : ErrorCode.TIMEOUT;
      pending.result.completeExceptionally(
          new PlantainknotException(code, "the command was not confirmed in time"));
    }
  }

  int size() {
    return pendingById.size();
  }

  private static void complete(CompletableFuture<Result> future, Result result, Throwable error) {
    if (error == null) {
      future.complete(result);
    } else {
      future.completeExceptionally(error);
    }
  }
}
