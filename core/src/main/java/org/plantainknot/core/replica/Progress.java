package org.plantainknot.core.replica;

/** Replication progress of one other member, from the leader's point of view. */
final class Progress {

  private long nextIndex;
  private long matchIndex;
  private long ackedRound;
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
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
  }

  void recordRejection(long receiverLastIndex) {
    nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex - 1, receiverLastIndex + 1));
  }
}
