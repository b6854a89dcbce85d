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
 * Commands of this process that have not yet come back through the log.
 *
 * <p>A command is sent again when its leader is gone or doesn't answer; applying one twice changes
 * nothing more. The exception is a claim, since a late second copy could claim a request that
 * nobody waits for any more: it is sent again only if it was surely not taken. Used by the control
 * thread only.
 */
final class CommandQueue {

  private static final long RESEND_MILLIS = 1_000;

  private static final class Pending {
    private final CommandProto proto;
    private final CompletableFuture<Result> result;
    private final long deadlineMillis;
    private final boolean repeatable;
    private String sentTo;
    private long sentAtMillis;

    Pending(
        CommandProto proto,
        CompletableFuture<Result> result,
        long deadlineMillis,
        boolean repeatable) {
      this.proto = proto;
      this.repeatable = repeatable;
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

  /** Returns the commands that have to be sent to the leader now. */
  List<CommandProto> takeUnsent(String leader, long nowMillis) {
    List<CommandProto> unsent = new ArrayList<>();
    for (Pending pending : pendingById.values()) {
      boolean sentLately =
          leader.equals(pending.sentTo) && nowMillis - pending.sentAtMillis < RESEND_MILLIS;
      boolean sent = pending.repeatable ? sentLately : pending.sentTo != null;
      if (!sent) {
        pending.sentTo = leader;
        pending.sentAtMillis = nowMillis;
        unsent.add(pending.proto);
      }
    }
    return unsent;
  }

  void rejected(String commandId) {
    Pending pending = pendingById.get(commandId);
    if (pending != null) {
      pending.sentTo = null;
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
