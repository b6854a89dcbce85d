package org.plantainknot.core.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.StepId;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.core.job.WorkerIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the advisor with a queue whose policy permits only some workers to run a step. */
public class AdvisorTest {

  private static final long VALID_MILLIS = 3_000;
  private static final StepSpec ONE_TASK = LeaderFixture.step(1, 1_000).build();

  private LeaderFixture leader;

  @BeforeMethod
  void createPoolOfTwoWorkers() {
    leader = new LeaderFixture("advised");
    leader.requireAdvice("advised", VALID_MILLIS);
    leader.addWorker("w1", "advised");
    leader.addWorker("w2", "advised");
  }

  @Test
  void taskIsAssignedOnlyToAWorkerWithATicketThatTheStartCarries() {
    leader.submit("j", "advised", ONE_TASK);
    assertEquals(leader.planAndAssign(), List.of());
    Action.Advise call = next().orElseThrow();
    assertEquals(call.step(), new StepId("j", 0, 0));
    answer(call, Map.of("w2", "ticket-2"));
    List<Assignment> planned = leader.planAndAssign();
    assertEquals(planned.get(0).worker().worker(), "w2");
    assertEquals(startedTickets(), List.of("ticket-2"));
  }

  @Test
  void workersDeniedByThePolicyAreNotQueriedAgain() {
    leader.submit("j", "advised", ONE_TASK);
    leader.planAndAssign();
    answer(next().orElseThrow(), Map.of());
    leader.planAndAssign();
    assertEquals(next(), Optional.empty());
    leader.addWorker("w3", "advised");
    leader.planAndAssign();
    assertEquals(next().orElseThrow().workers(), List.of(new WorkerIncarnation("w3", 1)));
  }

  @Test
  void ticketThatExpiresBeforeTheStartIsRequestedAgain() {
    leader.submit("j", "advised", ONE_TASK);
    leader.planAndAssign();
    answer(next().orElseThrow(), Map.of("w1", "old"));
    leader.nowMillis += VALID_MILLIS;
    leader.reportFromAllWorkers();
    assertEquals(leader.planAndAssign(), List.of());
    assertEquals(next().orElseThrow().workers(), List.of(new WorkerIncarnation("w1", 1)));
  }

  @Test
  void onlyOneCallIsInProgressAndAFailedCallIsRetriedAfterADelay() {
    leader.submit("j", "advised", ONE_TASK);
    leader.submit("k", "advised", ONE_TASK);
    leader.planAndAssign();
    assertTrue(next().isPresent());
    assertEquals(next(), Optional.empty());
    leader.dispatcher.advisor().failed(leader.nowMillis);
    leader.planAndAssign();
    assertEquals(next(), Optional.empty());
    leader.nowMillis += 500;
    assertTrue(next().isPresent());
  }

  @Test
  void refusedTicketIsDiscardedAndItsWorkerStaysUsable() {
    leader.submit("j", "advised", ONE_TASK);
    leader.planAndAssign();
    answer(next().orElseThrow(), Map.of("w1", "void"));
    Assignment refused = leader.planAndAssign().get(0);
    leader.dispatcher.started(
        new WorkerTarget(refused.worker(), "w1:1"),
        refused.run(),
        new OrderAnswer(CallOutcome.NO_TICKET, leader.nowMillis),
        leader.nowMillis);
    assertTrue(
        leader.dispatcher.isUsable(leader.directory.find("w1").orElseThrow(), leader.nowMillis));
    assertEquals(
        leader.dispatcher.advisor().ticket(new StepId("j", 0, 0), refused.worker(), 0), "");
  }

  private Optional<Action.Advise> next() {
    return leader.dispatcher.advisor().next(leader.nowMillis);
  }

  private void answer(Action.Advise call, Map<String, String> tickets) {
    leader.dispatcher.advisor().answered(call, new Advice(tickets, VALID_MILLIS), leader.nowMillis);
  }

  private List<String> startedTickets() {
    return leader.dispatcher.drain().stream()
        .filter(Action.Start.class::isInstance)
        .map(action -> ((Action.Start) action).ticket())
        .toList();
  }
}
