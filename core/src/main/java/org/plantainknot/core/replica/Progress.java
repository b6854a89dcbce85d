package org.plantainknot.core.replica;

/** Replication progress of one other member, from the leader's point of view. */
final class Progress {

  private static final long NO_ROUND = -1;

  private long nextIndex;
  private long matchIndex;
  private long ackedRound;
  private long rejectedIndex;
  private long resentRound = NO_ROUND;
  private long lastReplyAtMillis;
  private long snapshotSentAtMillis = Long.MIN_VALUE / 2;

  Progress(long nextIndex) {
    this.nextIndex = nextIndex;
  }

  long nextIndex() {
    return nextIndex;
  }

  long matchIndex() {
    return matchIndex;
  }

  long ackedRound() {
    return ackedRound;
  }

  long snapshotSentAtMillis() {
    return snapshotSentAtMillis;
  }

  void recordSent(long index) {
    nextIndex = Math.max(nextIndex, index + 1);
  }

  void recordSnapshotSent(long lastIndex, long nowMillis) {
    snapshotSentAtMillis = nowMillis;
    nextIndex = lastIndex + 1;
  }

  long lastReplyAtMillis() {
    return lastReplyAtMillis;
  }

  void recordReply(long round, long nowMillis) {
    lastReplyAtMillis = nowMillis;
    ackedRound = Math.max(ackedRound, round);
  }

  void recordMatch(long index) {
    if (index > matchIndex) {
      matchIndex = index;
      resentRound = NO_ROUND;
    }
    nextIndex = Math.max(nextIndex, matchIndex + 1);
  }

  /**
   * Moves the next index back after a rejection, so that the entries are sent again.
   *
   * <p>All appends that were in flight behind a lost one are rejected. Only the first of these
   * rejections counts; the others tell of the same or a higher index and of no later round. If the
   * entries that were sent again are lost too, a later round is rejected.
   *
   * @param receiverIndex last index that the receiver may have in common
   * @param round round of the rejected append
   * @param currentRound round in which the entries are sent again
   */
  void recordRejection(long receiverIndex, long round, long currentRound) {
    if (round <= resentRound && receiverIndex >= rejectedIndex) {
      return;
    }
    nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex - 1, receiverIndex + 1));
    rejectedIndex = receiverIndex;
    resentRound = currentRound;
  }
}
