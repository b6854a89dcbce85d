package org.plantainknot.core.replica;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that a committed entry never changes, that a term has at most one leader, and that no
 * lease holder's applied index is behind an index in force.
 */
final class LogOracle {

  private static final String IN_FORCE = "in force ";

  private final Map<Long, String> contentByIndex = new HashMap<>();
  private final Map<Long, MemberId> leaderByTerm = new HashMap<>();
  private long inForceIndex;

  /** Returns the command that puts an index in force. */
  static byte[] inForce(long index) {
    return (IN_FORCE + index).getBytes(StandardCharsets.UTF_8);
  }

  static void require(boolean condition, String message) {
    if (!condition) {
      throw new AssertionError(message);
    }
  }

  int committedCount() {
    return contentByIndex.size();
  }

  /** Records an entry that a member applied; returns whether no member applied it before. */
  boolean recordCommit(Entry entry) {
    String content = entry.hasCommand() ? text(entry) : String.valueOf(entry.membership());
    String previous = contentByIndex.putIfAbsent(entry.index(), content);
    require(
        previous == null || previous.equals(content), "entry " + entry.index() + " has changed");
    if (previous == null && content.startsWith(IN_FORCE)) {
      inForceIndex = Math.max(inForceIndex, Long.parseLong(content.substring(IN_FORCE.length())));
    }
    return previous == null;
  }

  void recordLeader(MemberId member, long term) {
    MemberId previous = leaderByTerm.putIfAbsent(term, member);
    require(previous == null || previous.equals(member), "two leaders in term " + term);
  }

  void checkLeases(List<FakeNode> nodes, long nowMillis) {
    for (FakeNode node : nodes) {
      boolean stale =
          node.isRunning()
              && node.lease().isHeld(nowMillis, nowMillis)
              && node.appliedIndex() < inForceIndex;
      require(!stale, node.member() + " holds a lease behind index " + inForceIndex);
    }
  }

  private static String text(Entry entry) {
    return new String(entry.command(), StandardCharsets.UTF_8);
  }
}
