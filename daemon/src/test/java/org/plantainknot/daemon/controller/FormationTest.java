package org.plantainknot.daemon.controller;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.daemon.settings.HostPort;
import org.testng.annotations.Test;

/** Tests which process forms a new cluster, and when. */
public class FormationTest {

  private static final HostPort A = new HostPort("10.0.0.1", 7);
  private static final HostPort B = new HostPort("10.0.0.2", 7);
  private static final HostPort C = new HostPort("10.0.0.3", 7);
  private static final List<HostPort> SEEDS = List.of(C, A, B);

  @Test
  void theLowestSeedFormsTheClusterOnceItHasSeenAllOthers() {
    Formation formation = new Formation(true, SEEDS, A);
    assertEquals(formation.nodesToForm(member("a")), Optional.empty());
    formation.memberSeen(C.toString(), member("c"));
    assertEquals(formation.nodesToForm(member("a")), Optional.empty());
    formation.memberSeen(B.toString(), member("b"));
    assertEquals(formation.nodesToForm(member("a")), Optional.of(List.of("a", "b", "c")));
  }

  @Test
  void noOtherSeedFormsTheCluster() {
    Formation formation = new Formation(true, SEEDS, B);
    formation.memberSeen(A.toString(), member("a"));
    formation.memberSeen(C.toString(), member("c"));
    assertEquals(formation.nodesToForm(member("b")), Optional.empty());
  }

  @Test
  void anEmptiedDiskWithoutBootstrapNeverFormsACluster() {
    Formation formation = new Formation(false, SEEDS, A);
    formation.memberSeen(B.toString(), member("b"));
    formation.memberSeen(C.toString(), member("c"));
    assertEquals(formation.nodesToForm(member("a")), Optional.empty());
  }

  private static MemberId member(String node) {
    return new MemberId(node, "i");
  }
}
