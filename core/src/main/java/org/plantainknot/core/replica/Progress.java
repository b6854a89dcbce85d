package org.plantainknot.core.replica;

/** What the leader knows of one other member. */
final class Progress {

  private long nextIndex;
  private long matchIndex;
  private long ackedRound;
  private long heardAtMillis;
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

  void sentUpTo(long index) {
    nextIndex = Math.max(nextIndex, index + 1);
  }

  void sentSnapshot(long lastIndex, long nowMillis) {
    snapshotSentAtMillis = nowMillis;
    nextIndex = lastIndex + 1;
  }

  long heardAtMillis() {
    return heardAtMillis;
  }

  void heard(long round, long nowMillis) {
    heardAtMillis = nowMillis;
    ackedRound = Math.max(ackedRound, round);
  }

  void matched(long index) {
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
  }

  void rejected(long receiverLastIndex) {
    nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex - 1, receiverLastIndex + 1));
  }
}
