package org.plantainknot.daemon.caller;

import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.MultiMap;
import io.vertx.mutiny.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Executor;
import org.plantainknot.core.admission.QueuedRequest;
import org.plantainknot.core.admission.Refusal;
import org.plantainknot.core.claim.Claim;
import org.plantainknot.core.claim.ClaimOutcome;
import org.plantainknot.core.claim.ClaimVerdict;
import org.plantainknot.core.claim.StoredAnswer;
import org.plantainknot.core.control.Command;
import org.plantainknot.core.control.Result;
import org.plantainknot.core.error.PlantainknotException;
import org.plantainknot.core.routing.Slot;
import org.plantainknot.core.routing.TargetOutcome;
import org.plantainknot.daemon.control.Clock;
import org.plantainknot.daemon.control.ControlNode;
import org.plantainknot.daemon.target.TargetClient;
import org.plantainknot.daemon.target.TargetReply;

/**
 * Execution of one request: claims it if it is not idempotent, acquires a slot and sends it to the
 * target.
 *
 * <p>The outcome "not run" is reported only if nothing was sent to a target. A non-idempotent
 * request is sent at most once, after its claim was granted.
 */
final class RequestExecution {

  private static final long CLOSE_CLAIM_TIMEOUT_MILLIS = 30_000;

  private final ControlNode node;
  private final TargetClient targets;
  private final PoolShard shard;
  private final CallerRequest request;
  private final boolean idempotent;
  private final Executor eventLoop;
  private final QueuedRequest queued;
  private final String attemptId = UUID.randomUUID().toString();
  private boolean claimed;
  private boolean cancelled;
  private boolean sent;

  RequestExecution(
      ControlNode node,
      TargetClient targets,
      PoolShard shard,
      CallerRequest request,
      boolean idempotent,
      Executor eventLoop) {
    this.node = node;
    this.targets = targets;
    this.shard = shard;
    this.request = request;
    this.idempotent = idempotent;
    this.eventLoop = eventLoop;
    this.queued = new QueuedRequest(request.service(), request.kind(), request.deadlineMillis());
  }

  /** Runs the request. The result always completes with an answer. */
  Uni<CallerAnswer> start() {
    if (idempotent) {
      return dispatchWhenAcquired(shard.acquire(queued));
    }
    return claim()
        .emitOn(eventLoop)
        .onItem()
        .transformToUni(result -> onClaimed((Result.Claimed) result))
        .onFailure(PlantainknotException.class)
        .recoverWithItem(this::onClaimUnconfirmed);
  }

  /** Removes the request from the queue if it still waits there. Called on the event loop. */
  void cancel() {
    cancelled = true;
    shard.cancel(queued);
  }

  private Uni<Result> claim() {
    Claim claim =
        new Claim(
            request.key(),
            contentHash(),
            request.issuedMillis(),
            node.process(),
            attemptId,
            ClaimOutcome.OPEN,
            null);
    long remainingMillis = Math.max(1, request.deadlineMillis() - Clock.nowMillis());
    return node.submit(attemptId, new Command.OpenClaim(claim), remainingMillis);
  }

  private Uni<CallerAnswer> onClaimed(Result.Claimed result) {
    if (result.verdict() == ClaimVerdict.GRANTED) {
      claimed = true;
      return cancelled
          ? Uni.createFrom().item(onRefused(Refusal.CALLER_GONE))
          : dispatchWhenAcquired(shard.acquire(queued));
    }
    return Uni.createFrom().item(answerWithoutClaim(result));
  }

  private CallerAnswer answerWithoutClaim(Result.Claimed result) {
    switch (result.verdict()) {
      case ANSWERED:
        return fromStoredAnswer(result.answer());
      case IN_PROGRESS:
        return CallerAnswer.inProgress();
      case MAY_HAVE_RUN:
        return CallerAnswer.mayHaveRun("an earlier attempt may have run");
      case OTHER_CONTENT:
        return CallerAnswer.notRun(422, "the key was used for a request with other content");
      case TOO_OLD:
        return request.rejection(false, "the request was issued too long ago, or in the future");
      default:
        return request.rejection(false, "no more requests can be claimed");
    }
  }

  /** Closes the claim as well, since it may still be granted and must not stay open. */
  private CallerAnswer onClaimUnconfirmed(Throwable failure) {
    claimed = true;
    closeClaim(ClaimOutcome.NOT_RUN, null);
    return request.rejection(false, "the claim was not confirmed");
  }

  private Uni<CallerAnswer> dispatchWhenAcquired(Uni<Slot> slot) {
    return slot.emitOn(eventLoop)
        .onItem()
        .transformToUni(this::dispatch)
        .onFailure(RefusedException.class)
        .recoverWithItem(e -> onRefused(e.refusal()));
  }

  private CallerAnswer onRefused(Refusal refusal) {
    if (sent) {
      return CallerAnswer.mayHaveRun(refusal.reason());
    }
    closeClaim(ClaimOutcome.NOT_RUN, null);
    return claimed
        ? CallerAnswer.notRun(refusal.reason())
        : request.rejection(idempotent, refusal.reason());
  }

  /** Sends the request, after a last check of lease and deadline right before the first byte. */
  private Uni<CallerAnswer> dispatch(Slot slot) {
    if (!node.acceptsRequests() || Clock.nowMillis() >= request.deadlineMillis()) {
      shard.release(slot, request.service(), TargetOutcome.NOT_SENT);
      return Uni.createFrom().item(onRefused(Refusal.NO_LEASE));
    }
    return targets
        .run(slot.vm().announcement(), request)
        .onItem()
        .transformToUni(reply -> onReply(slot, reply));
  }

  private Uni<CallerAnswer> onReply(Slot slot, TargetReply reply) {
    shard.release(slot, request.service(), reply.outcome());
    if (reply.kind() == TargetReply.Kind.ANSWERED) {
      closeClaim(ClaimOutcome.ANSWERED, toStoredAnswer(reply));
      return Uni.createFrom()
          .item(CallerAnswer.answered(reply.status(), reply.headers(), reply.body()));
    }
    sent |= reply.kind() == TargetReply.Kind.LOST;
    if (sent && !idempotent) {
      closeClaim(ClaimOutcome.MAY_HAVE_RUN, null);
      return Uni.createFrom().item(CallerAnswer.mayHaveRun(reply.problem()));
    }
    return dispatchWhenAcquired(shard.acquireForRetry(queued, slot.vm().name()));
  }

  private void closeClaim(ClaimOutcome outcome, StoredAnswer answer) {
    if (claimed) {
      Command close = new Command.CloseClaim(request.key(), attemptId, outcome, answer);
      node.submit(close, CLOSE_CLAIM_TIMEOUT_MILLIS)
          .subscribe()
          .with(done -> {}, unconfirmed -> {});
    }
  }

  private String contentHash() {
    MessageDigest digest = sha256();
    for (String part : List.of(request.service(), request.method().name(), request.uri())) {
      digest.update(part.getBytes(StandardCharsets.UTF_8));
      digest.update((byte) 0);
    }
    return HexFormat.of().formatHex(digest.digest(request.body().getBytes()));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  private static StoredAnswer toStoredAnswer(TargetReply reply) {
    return new StoredAnswer(
        reply.status(), reply.headers().get("Content-Type"), reply.body().getBytes());
  }

  private static CallerAnswer fromStoredAnswer(StoredAnswer stored) {
    MultiMap headers = MultiMap.caseInsensitiveMultiMap();
    if (stored.contentType() != null) {
      headers.set("Content-Type", stored.contentType());
    }
    return CallerAnswer.answered(stored.status(), headers, Buffer.buffer(stored.body()));
  }
}
