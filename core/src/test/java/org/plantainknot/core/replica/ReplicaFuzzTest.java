package org.plantainknot.core.replica;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;
import static org.testng.Assert.assertThrows;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Fuzzes a cluster with message loss, duplicates, partitions, crashes and lost disks. */
public class ReplicaFuzzTest {

  private static final long SEED = 20_261_204;
  private static final int EXAMPLES = 2_500;
  private static final int EXAMPLES_PER_FAULT = 4_000;

  @DataProvider
  Object[][] clusterSizes() {
    return new Object[][] {{3}, {5}};
  }

  @Test(dataProvider = "clusterSizes")
  void committedEntriesNeverChangeAndLeaseHoldersAreNeverStale(int voters) {
    fuzz(voters, Fault.NONE, EXAMPLES);
  }

  @DataProvider
  Object[][] faults() {
    return new Object[][] {
      {Fault.WIPED_DISK_KEEPS_IDENTITY},
      {Fault.ACKNOWLEDGE_BEFORE_SYNC},
      {Fault.LEASE_STARTS_AT_GRANT_ARRIVAL},
      {Fault.LEASE_WITHOUT_QUORUM},
    };
  }

  @Test(dataProvider = "faults")
  void oracleDetectsEachInjectedFault(Fault fault) {
    assertThrows(AssertionError.class, () -> fuzz(3, fault, EXAMPLES_PER_FAULT));
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
    actions.forEach(cluster::perform);
    cluster.recoverAndCheck();
  }
}
