package org.plantainknot.core.replica;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** State of a leader during its term: replication progress per member and heartbeat rounds. */
final class Leadership {

  private final MemberId self;
  private final Map<MemberId, Progress> progressByMember = new HashMap<>();
  private final TreeMap<Long, Long> lastIndexByToken = new TreeMap<>();
  private final TreeMap<Long, Long> startedAtMillisByRound = new TreeMap<>();
  private final long electedAtMillis;
  private long selfSyncedIndex;
  private long round;
  private long heartbeatAtMillis;
  private long suspectRound;

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

  void retainMembers(Collection<MemberId> members) {
    progressByMember.keySet().retainAll(members);
  }

  /** Records that the leader's own entries up to the index are durable once the token is synced. */
  void recordAppend(long token, long index) {
    lastIndexByToken.put(token, index);
  }

  void synced(long token) {
    Map<Long, Long> done = lastIndexByToken.headMap(token, true);
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

  /** Returns the last round answered by a majority of the voters, including this leader. */
  long confirmedRound(Membership membership) {
    return membership.quorumValue(m -> m.equals(self) ? round : ackedRoundOf(m));
  }

  /** Returns the last index that a majority of the voters has synced. */
  long quorumIndex(Membership membership) {
    return membership.quorumValue(m -> m.equals(self) ? selfSyncedIndex : matchIndexOf(m));
  }

  /**
   * Returns whether a majority of the voters has answered a round that started within the given
   * time.
   *
   * <p>The start of the round counts, not the arrival of the replies, because a delayed leader may
   * process old replies late.
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

  /** Makes the contact with the majority count only once a round that starts later is answered. */
  void suspectContact() {
    suspectRound = round;
  }

  /** Returns whether no round since {@link #suspectContact} has been answered by a majority. */
  boolean isContactSuspect(Membership membership) {
    return suspectRound > 0 && confirmedRound(membership) <= suspectRound;
  }

  /**
   * Returns whether the membership may be changed now: the one in force is committed in this term,
   * and added voters have replicated the log up to the commit index.
   */
  boolean mayChangeMembership(ReplicaLog log, long commitIndex, long term, Membership changed) {
    Membership current = log.membership();
    return log.isMembershipCommitted(commitIndex, term)
        && changed.members().stream()
            .filter(member -> !current.isVoter(member))
            .allMatch(member -> matchIndexOf(member) >= commitIndex)
        && !changed.voters().isEmpty()
        && changed.isOneStepFrom(current);
  }

  /** Returns when a member last replied, or when this leader was elected if that is later. */
  long lastReplyAtMillis(MemberId member) {
    Progress progress = progressByMember.get(member);
    return progress == null
        ? electedAtMillis
        : Math.max(electedAtMillis, progress.lastReplyAtMillis());
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
