package org.plantainknot.core.claim;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/** Claims of all requests within the claim window. The table is part of the replicated state. */
public final class ClaimTable {

  private final ClaimLimits limits;
  private final Map<ClaimKey, Claim> claims = new HashMap<>();
  private final PriorityQueue<Claim> byIssueTime =
      new PriorityQueue<>(Comparator.comparingLong(Claim::issuedMillis));
  private long storedBytes;

  /** Creates an empty table. */
  public ClaimTable(ClaimLimits limits) {
    this.limits = limits;
  }

  /** Returns the current claim of a request, or empty if there is none. */
  public Optional<Claim> find(ClaimKey key) {
    return Optional.ofNullable(claims.get(key));
  }

  /** Returns the number of claims. */
  public int size() {
    return claims.size();
  }

  /** Returns the total size of the stored answers in bytes. */
  public long storedBytes() {
    return storedBytes;
  }

  /**
   * Tries to claim a request.
   *
   * @param requested open claim to add
   * @param isGatewayAlive tests whether a gateway process may still be running requests
   * @param nowMillis current time of the replicated log
   * @return {@link ClaimVerdict#GRANTED} if the attempt now holds the claim, else why it doesn't
   */
  public ClaimVerdict open(Claim requested, Predicate<String> isGatewayAlive, long nowMillis) {
    expire(nowMillis);
    if (!isInWindow(requested.issuedMillis(), nowMillis)) {
      return ClaimVerdict.TOO_OLD;
    }
    Claim existing = claims.get(requested.key());
    if (existing != null && !isReclaimable(existing, requested)) {
      return verdictFor(existing, requested, isGatewayAlive);
    }
    if (existing == null && claims.size() >= limits.maxClaims()) {
      return ClaimVerdict.FULL;
    }
    claims.put(requested.key(), requested);
    byIssueTime.add(requested);
    return ClaimVerdict.GRANTED;
  }

  /** Returns whether a request that was issued at the given time can still be claimed. */
  public boolean isInWindow(long issuedMillis, long nowMillis) {
    return issuedMillis > nowMillis - limits.windowMillis()
        && issuedMillis <= nowMillis + limits.futureMillis();
  }

  /**
   * Closes the claim of an attempt. Has no effect unless the attempt holds the claim and the claim
   * is open. An answer that exceeds the limits isn't stored; the outcome is then {@link
   * ClaimOutcome#MAY_HAVE_RUN}.
   */
  public void close(ClaimKey key, String attempt, ClaimOutcome outcome, StoredAnswer answer) {
    Claim existing = claims.get(key);
    boolean open =
        existing != null
            && existing.attempt().equals(attempt)
            && existing.outcome() == ClaimOutcome.OPEN;
    if (!open) {
      return;
    }
    if (outcome == ClaimOutcome.ANSWERED && !canStore(answer)) {
      claims.put(key, existing.closed(ClaimOutcome.MAY_HAVE_RUN, null));
    } else {
      claims.put(key, existing.closed(outcome, answer));
      storedBytes += sizeOf(answer);
    }
  }

  /** Returns a copy of the table for a snapshot. */
  public List<Claim> image() {
    return List.copyOf(claims.values());
  }

  /** Replaces the content with that of a snapshot. */
  public void restore(List<Claim> image) {
    claims.clear();
    byIssueTime.clear();
    storedBytes = 0;
    for (Claim claim : image) {
      claims.put(claim.key(), claim);
      byIssueTime.add(claim);
      storedBytes += sizeOf(claim.answer());
    }
  }

  /** A request whose attempt ended without a dispatch may be claimed by another attempt. */
  private static boolean isReclaimable(Claim existing, Claim requested) {
    return existing.outcome() == ClaimOutcome.NOT_RUN
        && !existing.attempt().equals(requested.attempt());
  }

  private static ClaimVerdict verdictFor(
      Claim existing, Claim requested, Predicate<String> isGatewayAlive) {
    if (!existing.contentHash().equals(requested.contentHash())) {
      return ClaimVerdict.OTHER_CONTENT;
    }
    return switch (existing.outcome()) {
      case ANSWERED -> ClaimVerdict.ANSWERED;
      case OPEN -> verdictForOpenClaim(existing, requested, isGatewayAlive);
      case NOT_RUN -> ClaimVerdict.ENDED;
      default -> ClaimVerdict.MAY_HAVE_RUN;
    };
  }

  private static ClaimVerdict verdictForOpenClaim(
      Claim existing, Claim requested, Predicate<String> isGatewayAlive) {
    if (existing.attempt().equals(requested.attempt())) {
      return ClaimVerdict.GRANTED;
    }
    return isGatewayAlive.test(existing.gateway())
        ? ClaimVerdict.IN_PROGRESS
        : ClaimVerdict.MAY_HAVE_RUN;
  }

  private boolean canStore(StoredAnswer answer) {
    return sizeOf(answer) <= limits.maxAnswerBytes()
        && storedBytes + sizeOf(answer) <= limits.maxStoredBytes();
  }

  private void expire(long nowMillis) {
    while (!byIssueTime.isEmpty()
        && byIssueTime.peek().issuedMillis() <= nowMillis - limits.windowMillis()) {
      removeClaim(byIssueTime.remove());
    }
  }

  private void removeClaim(Claim expired) {
    Claim existing = claims.get(expired.key());
    if (existing != null && existing.attempt().equals(expired.attempt())) {
      claims.remove(expired.key());
      storedBytes -= sizeOf(existing.answer());
    }
  }

  private static long sizeOf(StoredAnswer answer) {
    return answer == null ? 0 : answer.body().length;
  }
}
