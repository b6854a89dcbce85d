package org.plantainknot.core.claim;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/** Claims of the requests in the window, part of the replicated state. */
public final class ClaimTable {

  private final ClaimLimits limits;
  private final Map<ClaimKey, Claim> claims = new HashMap<>();
  private final PriorityQueue<Claim> byIssue =
      new PriorityQueue<>(Comparator.comparingLong(Claim::issuedMillis));
  private long storedBytes;

  /** Creates an empty table. */
  public ClaimTable(ClaimLimits limits) {
    this.limits = limits;
  }

  /** Returns what a resend of the request would meet, or empty if it was never claimed. */
  public Optional<Claim> find(ClaimKey key) {
    return Optional.ofNullable(claims.get(key));
  }

  /** Returns the number of claims. */
  public int size() {
    return claims.size();
  }

  /** Returns the bytes of all stored answers. */
  public long storedBytes() {
    return storedBytes;
  }

  /**
   * Tries to claim a request.
   *
   * @param wanted the claim, open
   * @param isGatewayAlive whether a gateway process may still be working
   * @param nowMillis time of the log
   */
  public ClaimVerdict open(Claim wanted, Predicate<String> isGatewayAlive, long nowMillis) {
    expire(nowMillis);
    if (!isInWindow(wanted.issuedMillis(), nowMillis)) {
      return ClaimVerdict.TOO_OLD;
    }
    Claim present = claims.get(wanted.key());
    if (present != null && !isFree(present, wanted)) {
      return verdictOn(present, wanted, isGatewayAlive);
    }
    if (present == null && claims.size() >= limits.maxClaims()) {
      return ClaimVerdict.FULL;
    }
    claims.put(wanted.key(), wanted);
    byIssue.add(wanted);
    return ClaimVerdict.GRANTED;
  }

  /** Returns whether a request issued at that time can still be claimed. */
  public boolean isInWindow(long issuedMillis, long nowMillis) {
    return issuedMillis > nowMillis - limits.windowMillis()
        && issuedMillis <= nowMillis + limits.futureMillis();
  }

  /** Ends the claim of an attempt; later ends change nothing. */
  public void close(ClaimKey key, String attempt, ClaimOutcome outcome, StoredAnswer answer) {
    Claim present = claims.get(key);
    boolean open =
        present != null
            && present.attempt().equals(attempt)
            && present.outcome() == ClaimOutcome.OPEN;
    if (!open) {
      return;
    }
    if (outcome == ClaimOutcome.ANSWERED && !canStore(answer)) {
      claims.put(key, present.closed(ClaimOutcome.MAY_HAVE_RUN, null));
    } else {
      claims.put(key, present.closed(outcome, answer));
      storedBytes += sizeOf(answer);
    }
  }

  /** Returns a copy for a snapshot. */
  public List<Claim> image() {
    return List.copyOf(claims.values());
  }

  /** Replaces the content by that of a snapshot. */
  public void restore(List<Claim> image) {
    claims.clear();
    byIssue.clear();
    storedBytes = 0;
    for (Claim claim : image) {
      claims.put(claim.key(), claim);
      byIssue.add(claim);
      storedBytes += sizeOf(claim.answer());
    }
  }

  /** An attempt that has ended without a dispatch leaves the request free for other attempts. */
  private static boolean isFree(Claim present, Claim wanted) {
    return present.outcome() == ClaimOutcome.NOT_RUN && !present.attempt().equals(wanted.attempt());
  }

  private static ClaimVerdict verdictOn(
      Claim present, Claim wanted, Predicate<String> isGatewayAlive) {
    if (!present.contentHash().equals(wanted.contentHash())) {
      return ClaimVerdict.OTHER_CONTENT;
    }
    return switch (present.outcome()) {
      case ANSWERED -> ClaimVerdict.ANSWERED;
      case OPEN -> verdictOnOpen(present, wanted, isGatewayAlive);
      case NOT_RUN -> ClaimVerdict.ENDED;
      default -> ClaimVerdict.MAY_HAVE_RUN;
    };
  }

  private static ClaimVerdict verdictOnOpen(
      Claim present, Claim wanted, Predicate<String> isGatewayAlive) {
    if (present.attempt().equals(wanted.attempt())) {
      return ClaimVerdict.GRANTED;
    }
    return isGatewayAlive.test(present.gateway())
        ? ClaimVerdict.IN_PROGRESS
        : ClaimVerdict.MAY_HAVE_RUN;
  }

  private boolean canStore(StoredAnswer answer) {
    return sizeOf(answer) <= limits.maxAnswerBytes()
        && storedBytes + sizeOf(answer) <= limits.maxStoredBytes();
  }

  private void expire(long nowMillis) {
    while (!byIssue.isEmpty()
        && byIssue.peek().issuedMillis() <= nowMillis - limits.windowMillis()) {
      forget(byIssue.remove());
    }
  }

  private void forget(Claim queued) {
    Claim present = claims.get(queued.key());
    if (present != null && present.attempt().equals(queued.attempt())) {
      claims.remove(queued.key());
      storedBytes -= sizeOf(present.answer());
    }
  }

  private static long sizeOf(StoredAnswer answer) {
    return answer == null ? 0 : answer.body().length;
  }
}
