package org.plantainknot.core.replica;

import static org.testng.Assert.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.testng.annotations.Test;

/** Tests which voters are added and removed as nodes lose their disks or are replaced. */
public class VoterPlanTest {

  private final VoterPlan plan = new VoterPlan(2);

  @Test
  void planIsEmptyWhileAllVotersRespond() {
    assertEquals(changes(of("a1", "b1", "c1", "d1", "e1"), Set.of()), List.of());
  }

  @Test
  void responsiveNonVotersAreAdded() {
    assertEquals(
        changes(of("a1", "b1", "c1"), Set.of(), "d1", "e1"),
        List.of(of("a1", "b1", "c1", "d1"), of("a1", "b1", "c1", "e1")));
  }

  @Test
  void lostDiskIsRemovedBeforeItsReplacementIsAdded() {
    Membership full = of("a1", "b1", "c1", "d1", "e1");
    assertEquals(changes(full, Set.of(), "b2"), List.of(of("a1", "c1", "d1", "e1")));
  }

  @Test
  void secondLostDiskStaysUntilTheFirstIsReplaced() {
    Membership first = of("a1", "c1", "d1", "e1");
    assertEquals(changes(first, Set.of(), "b2", "c2"), List.of(of("a1", "b2", "c1", "d1", "e1")));
  }

  @Test
  void surplusVoterIsRemovedOnceUnresponsive() {
    Membership six = of("a1", "b1", "c1", "d1", "e1", "f1");
    assertEquals(changes(six, Set.of("b")), List.of(of("a1", "c1", "d1", "e1", "f1")));
  }

  @Test
  void unresponsiveVoterStaysIfRemovalLeavesTooFewVoters() {
    assertEquals(changes(of("a1", "b1", "c1", "d1", "e1"), Set.of("b", "c")), List.of());
  }

  @Test
  void smallClusterAlsoReplacesLostDisk() {
    assertEquals(changes(of("a1", "b1", "c1"), Set.of(), "c2"), List.of(of("a1", "b1")));
  }

  private List<Membership> changes(
      Membership membership, Set<String> unresponsive, String... nonVoters) {
    return plan.changes(
        membership,
        Arrays.stream(nonVoters).map(VoterPlanTest::member).toList(),
        member -> unresponsive.contains(member.node()));
  }

  /** Returns the membership of the given voters, each a node letter and a disk number. */
  private static Membership of(String... names) {
    TreeMap<String, String> voters = new TreeMap<>();
    for (String name : names) {
      voters.put(member(name).node(), member(name).incarnation());
    }
    return new Membership("cluster", voters);
  }

  private static MemberId member(String name) {
    return new MemberId(name.substring(0, 1), name.substring(1));
  }
}
