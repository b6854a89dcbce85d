package org.plantainknot.daemon.leader;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiPredicate;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.plantainknot.core.call.Reply;
import org.plantainknot.core.call.Request;
import org.plantainknot.core.call.RequestHandler;
import org.plantainknot.core.error.PlantainknotException;
import org.plantainknot.daemon.control.Clock;
import org.plantainknot.daemon.control.StateCodec;
import org.plantainknot.wire.member.CallProto;
import org.plantainknot.wire.member.CallReplyProto;
import org.plantainknot.wire.member.FrameProto;

/**
 * Forwards requests to the leader and returns its replies.
 *
 * <p>A request is sent again when the leader changes, when the link to it is up again, or, at
 * increasing intervals, when it doesn't reply. This is safe because all requests are idempotent. A
 * request that was never sent is guaranteed not to have been executed. The pending requests are
 * guarded by this object's lock.
 */
public final class LeaderClient implements RequestHandler {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Delay of the second copy of a request to one leader; doubles with each further copy. */
  private static final long MIN_RESEND_MILLIS = 500;

  /**
   * Longest delay of a copy. It leaves several copies within the 3 s that callers usually wait,
   * since replies too may be lost while the leader's links are full.
   */
  private static final long MAX_RESEND_MILLIS = 1_000;

  /** Time without a reachable leader after which requests that were never sent are rejected. */
  private static final long LEADER_UNREACHABLE_TIMEOUT_MILLIS = 1_500;

  private static final long RETRY_AFTER_MILLIS = 1_000;

  /** Part of a request's timeout that is reserved for returning the reply to the caller. */
  private static final long REPLY_MARGIN_MILLIS = 50;

  private static final class Pending {
    private final Request request;
    private final ByteString body;
    private final CompletableFuture<Reply> reply = new CompletableFuture<>();
    private final long startedAtMillis;
    private final long deadlineMillis;
    private LeaderView sentTo = LeaderView.NONE;
    private long resendDelayMillis;
    private long resendAtMillis;
    private int unansweredCopies;

    Pending(Request request, long nowMillis, long timeoutMillis) {
      this.request = request;
      this.body = ByteString.copyFrom(StateCodec.write(request));
      this.startedAtMillis = nowMillis;
      this.deadlineMillis = nowMillis + timeoutMillis;
    }

    private void recordSent(LeaderView receiver, long nowMillis) {
      resendDelayMillis =
          receiver.equals(sentTo)
              ? Math.min(2 * resendDelayMillis, MAX_RESEND_MILLIS)
              : MIN_RESEND_MILLIS;
      resendAtMillis = nowMillis + resendDelayMillis;
      sentTo = receiver;
      unansweredCopies++;
    }

    private void resendAtOnce() {
      sentTo = LeaderView.NONE;
    }

    /**
     * Copies answered by a node that is not the leader don't count: that node didn't execute them.
     */
    private boolean mayHaveExecuted() {
      return unansweredCopies > 0;
    }
  }

  private final BiPredicate<String, FrameProto> sender;
  private final Predicate<String> linked;
  private final LongSupplier clock;
  private final Map<Long, Pending> pendingById = new LinkedHashMap<>();
  private LeaderView leader = LeaderView.NONE;

  /** Starts at random, since a reply to a call of an earlier process of this node may be late. */
  private long nextId = ThreadLocalRandom.current().nextLong(1L << 62);

  private long leaderUnreachableSinceMillis;
  private boolean stopping;

  /**
   * Creates a client.
   *
   * @param sender sends a frame to a node and returns whether it was sent
   * @param linked returns whether a link to the node is up
   */
  public LeaderClient(BiPredicate<String, FrameProto> sender, Predicate<String> linked) {
    this(sender, linked, Clock::nowMillis);
  }

  /**
   * Creates a client with a clock of its own.
   *
   * @param clock returns the monotonic time in milliseconds
   */
  LeaderClient(
      BiPredicate<String, FrameProto> sender, Predicate<String> linked, LongSupplier clock) {
    this.sender = sender;
    this.linked = linked;
    this.clock = clock;
    this.leaderUnreachableSinceMillis = clock.getAsLong();
  }

  @Override
  public synchronized CompletionStage<Reply> handle(Request request, long timeoutMillis) {
    long nowMillis = clock.getAsLong();
    Pending pending =
        new Pending(request, nowMillis, Math.max(1, timeoutMillis - REPLY_MARGIN_MILLIS));
    long id = nextId++;
    if (!stopping) {
      send(id, pending, nowMillis);
    }
    if (stopping || isUnsendable(pending, nowMillis)) {
      giveUp(pending, nowMillis);
    } else {
      pendingById.put(id, pending);
    }
    return pending.reply;
  }

  /** Returns the known leader. */
  public synchronized LeaderView leader() {
    return leader;
  }

  /** Updates the known leader; announcements of an earlier term are ignored. */
  public synchronized void updateLeader(LeaderView view) {
    boolean earlierTerm = view.term() < leader.term();
    boolean leaderMissing = view.term() == leader.term() && !view.isKnown();
    if (earlierTerm || leaderMissing || view.equals(leader)) {
      return;
    }
    logger.atInfo().log("leader-seen node=%s term=%d", view.node(), view.term());
    leader = view;
    resendPending(clock.getAsLong());
  }

  /**
   * Forgets the leader if it is the given node, which no longer claims to lead.
   *
   * @param node node that announced no leader
   * @param term the node's term; an announcement from before the leader's term is ignored
   */
  public synchronized void clearLeader(String node, long term) {
    if (leader.node().equals(node) && leader.term() <= term) {
      logger.atInfo().log("leader-lost node=%s term=%d", node, term);
      leader = new LeaderView("", leader.term(), "");
    }
  }

  /**
   * Resends the pending requests that were sent to a node whose link is up again, since frames may
   * have been lost with the earlier link.
   */
  public synchronized void onLinked(String node) {
    if (leader.node().equals(node)) {
      pendingById.values().forEach(Pending::resendAtOnce);
      resendPending(clock.getAsLong());
    }
  }

  /**
   * Handles the reply to a call.
   *
   * <p>A reply without a body means that the receiver didn't lead and has not executed the request.
   * A reply that can't be decoded says nothing about the outcome.
   */
  public void onReply(CallReplyProto proto) {
    Pending pending;
    synchronized (this) {
      pending = pendingById.get(proto.getCallId());
      if (pending == null) {
        return;
      }
      if (!proto.hasBody()) {
        pending.resendAtOnce();
        pending.unansweredCopies--;
        return;
      }
      pendingById.remove(proto.getCallId());
    }
    pending.reply.complete(decode(proto));
  }

  private static Reply decode(CallReplyProto proto) {
    try {
      return StateCodec.read(proto.getBody().toByteArray(), Reply.class);
    } catch (PlantainknotException e) {
      logger.atWarning().log("reply-invalid bytes=%d cause=%s", proto.getBody().size(), e);
      return new Reply.OutcomeUnknown();
    }
  }

  /** Resends pending requests and gives up expired ones. */
  public void tick() {
    long nowMillis = clock.getAsLong();
    List<Pending> expired = new ArrayList<>();
    synchronized (this) {
      updateReachability(nowMillis);
      pendingById
          .values()
          .removeIf(
              pending -> {
                boolean isExpired = isExpired(pending, nowMillis);
                if (isExpired) {
                  expired.add(pending);
                }
                return isExpired;
              });
      resendPending(nowMillis);
    }
    expired.forEach(pending -> giveUp(pending, nowMillis));
  }

  /**
   * Gives up all pending requests because the process is stopping. Later requests are rejected at
   * once, since the process may end before the leader replies.
   */
  public void failAllPending() {
    List<Pending> abandoned;
    synchronized (this) {
      stopping = true;
      abandoned = List.copyOf(pendingById.values());
      pendingById.clear();
    }
    long nowMillis = clock.getAsLong();
    abandoned.forEach(pending -> giveUp(pending, nowMillis));
  }

  private boolean isExpired(Pending pending, long nowMillis) {
    return isUnsendable(pending, nowMillis) || nowMillis >= pending.deadlineMillis;
  }

  private boolean isUnsendable(Pending pending, long nowMillis) {
    return !pending.mayHaveExecuted()
        && leaderUnreachableSinceMillis > 0
        && nowMillis - leaderUnreachableSinceMillis >= LEADER_UNREACHABLE_TIMEOUT_MILLIS;
  }

  private void updateReachability(long nowMillis) {
    if (leader.isKnown() && linked.test(leader.node())) {
      leaderUnreachableSinceMillis = 0;
    } else if (leaderUnreachableSinceMillis == 0) {
      leaderUnreachableSinceMillis = nowMillis;
    }
  }

  private static void giveUp(Pending pending, long nowMillis) {
    logger.atInfo().log(
        "request-given-up request=%s sent=%s after-ms=%d",
        pending.request.getClass().getSimpleName(),
        pending.mayHaveExecuted(),
        nowMillis - pending.startedAtMillis);
    pending.reply.complete(
        pending.mayHaveExecuted()
            ? new Reply.OutcomeUnknown()
            : new Reply.Unavailable(RETRY_AFTER_MILLIS));
  }

  private void resendPending(long nowMillis) {
    pendingById.forEach((id, pending) -> send(id, pending, nowMillis));
  }

  private void send(long id, Pending pending, long nowMillis) {
    boolean sentRecently = leader.equals(pending.sentTo) && nowMillis < pending.resendAtMillis;
    if (!leader.isKnown() || sentRecently) {
      return;
    }
    CallProto call = CallProto.newBuilder().setCallId(id).setBody(pending.body).build();
    if (sender.test(leader.node(), FrameProto.newBuilder().setCall(call).build())) {
      leaderUnreachableSinceMillis = 0;
      pending.recordSent(leader, nowMillis);
    }
  }
}
