package org.plantainknot.daemon.leader;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import org.plantainknot.core.call.Reply;
import org.plantainknot.core.call.Request;
import org.plantainknot.core.call.RequestHandler;
import org.plantainknot.daemon.control.Clock;
import org.plantainknot.daemon.control.StateCodec;
import org.plantainknot.wire.member.CallProto;
import org.plantainknot.wire.member.CallReplyProto;
import org.plantainknot.wire.member.FrameProto;

/**
 * Passes requests to the leader and returns its answers.
 *
 * <p>A request is sent again when the leader changes or doesn't answer for a while; each kind of
 * request may be repeated. One that was never sent has surely not been carried out. The pending
 * requests are guarded by this object's lock.
 */
public final class LeaderClient implements RequestHandler {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long RESEND_MILLIS = 500;

  /** Time without a leader in reach after which requests that were never sent are turned away. */
  private static final long NO_LEADER_MILLIS = 1_500;

  private static final long RETRY_AFTER_MILLIS = 1_000;

  /** Time that an answer needs to reach the caller. */
  private static final long ANSWER_MILLIS = 50;

  private static final class Pending {
    private final Request request;
    private final ByteString body;
    private final CompletableFuture<Reply> reply = new CompletableFuture<>();
    private final long startedAtMillis;
    private final long deadlineMillis;
    private LeaderView sentTo = LeaderView.NONE;
    private long sentAtMillis;
    private int unsettledCopies;

    Pending(Request request, long nowMillis, long timeoutMillis) {
      this.request = request;
      this.body = ByteString.copyFrom(StateCodec.write(request));
      this.startedAtMillis = nowMillis;
      this.deadlineMillis = nowMillis + timeoutMillis;
    }

    /** A copy that a node answered without leading is settled: it did nothing. */
    private boolean mayBeCarriedOut() {
      return unsettledCopies > 0;
    }
  }

  private final BiPredicate<String, FrameProto> sender;
  private final Predicate<String> linked;
  private final Map<Long, Pending> pendingById = new LinkedHashMap<>();
  private LeaderView leader = LeaderView.NONE;
  private long nextId = 1;
  private long outOfReachSinceMillis = Clock.nowMillis();

  /**
   * Creates a client.
   *
   * @param sender sends a frame to a node and tells whether it could be sent
   * @param linked tells whether a node is linked
   */
  public LeaderClient(BiPredicate<String, FrameProto> sender, Predicate<String> linked) {
    this.sender = sender;
    this.linked = linked;
  }

  @Override
  public synchronized CompletionStage<Reply> handle(Request request, long timeoutMillis) {
    long nowMillis = Clock.nowMillis();
    Pending pending = new Pending(request, nowMillis, Math.max(1, timeoutMillis - ANSWER_MILLIS));
    long id = nextId++;
    send(id, pending, nowMillis);
    if (isHopeless(pending, nowMillis)) {
      giveUp(pending, nowMillis);
    } else {
      pendingById.put(id, pending);
    }
    return pending.reply;
  }

  /** Returns the leader as far as it is known. */
  public synchronized LeaderView leader() {
    return leader;
  }

  /** Takes news of who leads; news of an earlier term changes nothing. */
  public synchronized void heardOfLeader(LeaderView view) {
    boolean older = view.term() < leader.term();
    boolean lessKnown = view.term() == leader.term() && !view.isKnown();
    if (older || lessKnown || view.equals(leader)) {
      return;
    }
    logger.atInfo().log("leader-seen node=%s term=%d", view.node(), view.term());
    leader = view;
    sendUnsent(Clock.nowMillis());
  }

  /** Notes that the node no longer says that it leads. */
  public synchronized void leaderLost(String node, long term) {
    if (leader.node().equals(node) && leader.term() <= term) {
      logger.atInfo().log("leader-lost node=%s term=%d", node, term);
      leader = new LeaderView("", leader.term(), "");
    }
  }

  /** Takes the answer to a call. */
  public void answered(CallReplyProto proto) {
    Pending pending;
    synchronized (this) {
      pending = pendingById.get(proto.getCallId());
      if (pending == null) {
        return;
      }
      if (!proto.hasBody()) {
        pending.sentTo = LeaderView.NONE;
        pending.unsettledCopies--;
        return;
      }
      pendingById.remove(proto.getCallId());
    }
    pending.reply.complete(StateCodec.read(proto.getBody().toByteArray(), Reply.class));
  }

  /** Lets time pass: repeats requests, and gives up those whose time is over. */
  public void tick() {
    long nowMillis = Clock.nowMillis();
    List<Pending> over = new ArrayList<>();
    synchronized (this) {
      noteReach(nowMillis);
      pendingById
          .values()
          .removeIf(
              pending -> {
                boolean isOver = isOver(pending, nowMillis);
                if (isOver) {
                  over.add(pending);
                }
                return isOver;
              });
      sendUnsent(nowMillis);
    }
    over.forEach(pending -> giveUp(pending, nowMillis));
  }

  /** Gives up all requests, because the process ends. */
  public void giveUpAll() {
    List<Pending> over;
    synchronized (this) {
      over = List.copyOf(pendingById.values());
      pendingById.clear();
    }
    long nowMillis = Clock.nowMillis();
    over.forEach(pending -> giveUp(pending, nowMillis));
  }

  private boolean isOver(Pending pending, long nowMillis) {
    return isHopeless(pending, nowMillis) || nowMillis >= pending.deadlineMillis;
  }

  private boolean isHopeless(Pending pending, long nowMillis) {
    return !pending.mayBeCarriedOut()
        && outOfReachSinceMillis > 0
        && nowMillis - outOfReachSinceMillis >= NO_LEADER_MILLIS;
  }

  private void noteReach(long nowMillis) {
    if (leader.isKnown() && linked.test(leader.node())) {
      outOfReachSinceMillis = 0;
    } else if (outOfReachSinceMillis == 0) {
      outOfReachSinceMillis = nowMillis;
    }
  }

  private static void giveUp(Pending pending, long nowMillis) {
    logger.atInfo().log(
        "request-given-up request=%s sent=%s after-ms=%d",
        pending.request.getClass().getSimpleName(),
        pending.mayBeCarriedOut(),
        nowMillis - pending.startedAtMillis);
    pending.reply.complete(
        pending.mayBeCarriedOut()
            ? new Reply.OutcomeUnknown()
            : new Reply.Unavailable(RETRY_AFTER_MILLIS));
  }

  private void sendUnsent(long nowMillis) {
    pendingById.forEach((id, pending) -> send(id, pending, nowMillis));
  }

  private void send(long id, Pending pending, long nowMillis) {
    boolean sentLately =
        leader.equals(pending.sentTo) && nowMillis - pending.sentAtMillis < RESEND_MILLIS;
    if (!leader.isKnown() || sentLately) {
      return;
    }
    CallProto call = CallProto.newBuilder().setCallId(id).setBody(pending.body).build();
    if (sender.test(leader.node(), FrameProto.newBuilder().setCall(call).build())) {
      outOfReachSinceMillis = 0;
      pending.unsettledCopies++;
      pending.sentTo = leader;
      pending.sentAtMillis = nowMillis;
    }
  }
}
