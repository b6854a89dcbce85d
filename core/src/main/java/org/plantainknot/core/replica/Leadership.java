package org.plantainknot.core.replica;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** What a leader keeps for its term: the progress of each member and the heartbeat rounds. */
final class Leadership {

  private final MemberId self;
  private final Map<MemberId, Progress> progressByMember = new HashMap<>();
  private final TreeMap<Long, Long> ackableIndexByToken = new TreeMap<>();
  private final TreeMap<Long, Long> startedAtMillisByRound = new TreeMap<>();
  private final long electedAtMillis;
  private long selfSyncedIndex;
  private long round;
  private long heartbeatAtMillis;

  Leadership(MemberId self, long syncedIndex, long nowMillis) {
    this.self = self;
    this.selfSyncedIndex = syncedIndex;
    this.electedAtMillis = nowMillis;
    this.heartbeatAtMillis = nowMillis;
  }

  Progress progress(MemberId member, long nextIndex) {
    return progressByMember.computeIfAbsent(member, m -> new Progress(nextIndex));
  }

  Progress known(MemberId member) {
    return progressByMember.get(member);
  }

  void retain(Collection<MemberId> members) {
    progressByMember.keySet().retainAll(members);
  }

  /** Notes that the entries up to the index will be on the leader's disk with the token. */
  void appended(long token, long index) {
    ackableIndexByToken.put(token, index);
  }

  void synced(long token) {
    Map<Long, Long> done = ackableIndexByToken.headMap(token, true);
    done.values().forEach(index -> selfSyncedIndex = Math.max(selfSyncedIndex, index));
    done.clear();
  }

  long startRound(long nowMillis) {
    heartbeatAtMillis = nowMillis;
    startedAtMillisByRound.put(++round, nowMillis);
    return round;
  }

  long round() {
    return round;
  }

  boolean isHeartbeatDue(long nowMillis, long intervalMillis) {
    return nowMillis - heartbeatAtMillis >= intervalMillis;
  }

  /** Returns the last round that a majority of the voters, this leader included, has answered. */
  long confirmedRound(Membership membership) {
    return membership.quorumValue(m -> m.equals(self) ? round : ackedRoundOf(m));
  }

  /** Returns the last index that a majority of the voters has on disk. */
  long quorumIndex(Membership membership) {
    return membership.quorumValue(m -> m.equals(self) ? selfSyncedIndex : matchIndexOf(m));
  }

  /**
   * Returns whether a majority of the voters has answered a round that began within the given time.
   * The time of the answer doesn't count, since a leader that lags behind may read it late.
   */
  boolean hasQuorumContact(Membership membership, long nowMillis, long withinMillis) {
    Map.Entry<Long, Long> confirmed = startedAtMillisByRound.floorEntry(confirmedRound(membership));
    long contactAtMillis = electedAtMillis;
    if (confirmed != null) {
      startedAtMillisByRound.headMap(confirmed.getKey()).clear();
      contactAtMillis = Math.max(contactAtMillis, confirmed.getValue());
    }
    return nowMillis - contactAtMillis <= withinMillis;
  }

  /** Returns whether the voters that a change adds hold everything up to the index. */
  boolean newVotersHold(long index, Membership membership, Membership changed) {
    return changed.members().stream()
        .filter(member -> !membership.isVoter(member))
        .allMatch(member -> matchIndexOf(member) >= index);
  }

  /** Returns when a member answered last, or when this term's leadership began. */
  long heardAtMillis(MemberId member) {
    Progress progress = progressByMember.get(member);
    return progress == null ? electedAtMillis : Math.max(electedAtMillis, progress.heardAtMillis());
  }

  private long ackedRoundOf(MemberId member) {
    Progress progress = progressByMember.get(member);
    return progress == null ? 0 : progress.ackedRound();
  }

  long matchIndexOf(MemberId member) {
    Progress progress = progressByMember.get(member);
    return progress == null ? 0 : progress.matchIndex();
  }
}
