package org.plantainknot.daemon.controller;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.daemon.metrics.DecisionMetrics;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the times and counts of the commands that a leader proposes. */
public class CommitTimesTest {

  private static final JobCommand CANCEL = new JobCommand.Cancel("ab");

  private MetricRegistry metrics;
  private CommitTimes times;

  @BeforeMethod
  void createTimes() {
    metrics = new MetricRegistry();
    times = new CommitTimes(new DecisionMetrics(metrics));
  }

  @Test
  void aCommitIsMeasuredFromItsProposal() {
    times.proposed(7, CANCEL, 40, 1_000);
    times.proposed(8, CANCEL, 2, 1_100);
    times.applied(7, 1_750);
    assertEquals(metrics.timer("commands.commit").getCount(), 1);
    long maxMillis =
        TimeUnit.NANOSECONDS.toMillis(metrics.timer("commands.commit").getSnapshot().getMax());
    assertEquals(maxMillis, 750);
    assertEquals(metrics.counter("commands.proposed.cancel").getCount(), 2);
    assertEquals(metrics.counter("commands.proposed.cancel.bytes").getCount(), 42);
  }

  @Test
  void anEntryThatAnotherLeaderWroteAtTheSameIndexIsNotMeasured() {
    times.proposed(7, CANCEL, 40, 1_000);
    times.clear();
    times.applied(7, 1_750);
    assertEquals(metrics.timer("commands.commit").getCount(), 0);
  }
}
