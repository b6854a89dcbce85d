package org.plantainknot.core.schedule;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Fuzz test of the dispatcher with workers that crash, become unresponsive, lose answers or execute
 * orders late, and with leaders that are replaced while their orders are in flight.
 */
public class DispatchFuzzTest {

  private static final int SEEDS = 150;
  private static final int SCHEDULE_SEEDS = 40;
  private static final int FEW_ENDS = 2;

  /** Seeds that failed because a restarted worker executed a start late. */
  private static final List<Integer> LATE_START_SEEDS =
      List.of(826, 1282, 1464, 1586, 1731, 2035, 2878, 2882, 2999);

  /** As before, on a worker that had not announced its restart when the run was given up. */
  private static final List<Integer> UNANNOUNCED_RESTART_SEEDS = List.of(599, 751, 2141, 2165);

  /** As before, with commits that take seconds. */
  private static final List<Integer> UNANNOUNCED_RESTART_SLOW_COMMIT_SEEDS = List.of(240, 338, 659);

  /** Seeds with which a late renewal makes a restarted worker discard ends, with slow commits. */
  private static final List<Integer> LATE_RENEWAL_SEEDS = List.of(471, 1538, 2896);

  private DispatchSimulation simulation;

  @DataProvider
  Object[][] seeds() {
    return Stream.concat(IntStream.rangeClosed(1, SEEDS).boxed(), LATE_START_SEEDS.stream())
        .map(seed -> new Object[] {seed})
        .toArray(Object[][]::new);
  }

  @DataProvider
  Object[][] scheduleSeeds() {
    return IntStream.rangeClosed(1, SCHEDULE_SEEDS)
        .mapToObj(seed -> new Object[] {seed})
        .toArray(Object[][]::new);
  }

  @DataProvider
  Object[][] unannouncedRestartSeeds() {
    Stream<Object[]> seeds =
        UNANNOUNCED_RESTART_SEEDS.stream().map(seed -> new Object[] {seed, false});
    Stream<Object[]> slowCommitSeeds =
        UNANNOUNCED_RESTART_SLOW_COMMIT_SEEDS.stream().map(seed -> new Object[] {seed, true});
    return Stream.concat(seeds, slowCommitSeeds).toArray(Object[][]::new);
  }

  @DataProvider
  Object[][] lateRenewalSeeds() {
    return LATE_RENEWAL_SEEDS.stream().map(seed -> new Object[] {seed}).toArray(Object[][]::new);
  }

  @BeforeMethod
  void createSimulation() {
    simulation = new DispatchSimulation();
  }

  @Test(dataProvider = "lateRenewalSeeds")
  void noEndIsLostBecauseARestartedWorkerExecutesAnEarlierRenewalLate(int seed) {
    simulation.commitsSlowly = true;
    simulation.runToCompletion(seed);
  }

  @Test(dataProvider = "unannouncedRestartSeeds")
  void noTaskRunsTwiceBecauseAnUnannouncedRestartExecutesAStartLate(int seed, boolean slowCommits) {
    simulation.commitsSlowly = slowCommits;
    simulation.runToCompletion(seed);
  }

  @Test(dataProvider = "seeds")
  void eachJobCompletesAndNoTaskRunsTwice(int seed) {
    simulation.commitsSlowly = false;
    simulation.runToCompletion(seed);
  }

  @Test(dataProvider = "seeds")
  void noTaskRunsTwiceWhileCommitsTakeSeconds(int seed) {
    simulation.commitsSlowly = true;
    simulation.runToCompletion(seed);
  }

  /** Guards against done tasks that run again because a report leaves their ends out. */
  @Test(dataProvider = "seeds")
  void noTaskRunsTwiceWhileReportsListOnlyAFewEnds(int seed) {
    simulation.commitsSlowly = seed % 2 == 0;
    simulation.maxListedEnds = FEW_ENDS;
    simulation.runToCompletion(seed);
  }

  /** Guards against occurrences that are lost or run again over snapshots and leaders. */
  @Test(dataProvider = "scheduleSeeds")
  void eachOccurrenceOfAScheduledJobRunsOnceOverSnapshots(int seed) {
    simulation.commitsSlowly = seed % 2 == 0;
    simulation.schedulesJobs = true;
    simulation.runToCompletion(seed);
  }

  /** Guards against work that runs twice because a departure of an earlier life arrives late. */
  @Test(dataProvider = "seeds")
  void noTaskRunsTwiceWhileDeparturesOfEarlierLivesArriveLate(int seed) {
    simulation.commitsSlowly = false;
    simulation.departuresComeLate = true;
    simulation.runToCompletion(seed);
  }
}
