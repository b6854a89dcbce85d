package org.plantainknot.core.replica;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;
import static org.testng.Assert.assertThrows;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Fuzzes several members with losses, repeats, cuts, crashes and lost disks. */
public class ReplicaFuzzTest {

  private static final long SEED = 20_261_204;
  private static final int EXAMPLES = 2_500;
  private static final int EXAMPLES_WITH_FAULT = 4_000;

  @DataProvider
  Object[][] sizes() {
    return new Object[][] {{3}, {5}};
  }

  @Test(dataProvider = "sizes")
  void whatIsCommittedStaysAndNobodyActsOnAnOutdatedState(int voters) {
    fuzz(voters, Fault.NONE, EXAMPLES);
  }

  @DataProvider
  Object[][] faults() {
    return new Object[][] {
      {Fault.EMPTY_DISK_VOTES_AT_ONCE},
      {Fault.ACKNOWLEDGE_BEFORE_SYNC},
      {Fault.LEASE_FROM_ARRIVAL},
      {Fault.LEASE_WITHOUT_QUORUM},
    };
  }

  @Test(dataProvider = "faults")
  void theOracleFindsEachFaultThatIsPutIn(Fault fault) {
    assertThrows(AssertionError.class, () -> fuzz(3, fault, EXAMPLES_WITH_FAULT));
  }

  private static void fuzz(int voters, Fault fault, int examples) {
    qt().withFixedSeed(SEED)
        .withExamples(examples)
        .withShrinkCycles(0)
        .forAll(lists().of(integers().between(0, Integer.MAX_VALUE)).ofSizeBetween(200, 1_500))
        .checkAssert(actions -> run(voters, fault, actions));
  }

  private static void run(int voters, Fault fault, List<Integer> actions) {
    FakeCluster cluster = new FakeCluster(voters, fault);
    actions.forEach(cluster::act);
    cluster.settle();
  }
}
