package org.plantainknot.core.schedule;

import java.util.ArrayList;
import java.util.List;
import org.plantainknot.core.job.AdviceTerms;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.FleetConfig;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.JobSpec;
import org.plantainknot.core.job.MachineOrder;
import org.plantainknot.core.job.QueueConfig;
import org.plantainknot.core.job.Schedule;
import org.plantainknot.core.job.ServiceConfig;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.core.job.WorkerIncarnation;
import org.plantainknot.core.placement.Resources;

/** A leader with its job state and its workers; the test advances the clock. */
final class LeaderFixture {

  static final Resources MACHINE = new Resources(16_000, 32_000, 0);
  static final double STRETCH = 2;
  static final long TARGET_LATENCY_MILLIS = 1_000;

  static final DispatchTiming TIMING =
      new DispatchTiming(6_000, 1_000, 400, 900, 3_000, 2_000, 4_500);

  final JobLedger ledger = new JobLedger();
  final WorkerDirectory directory = new WorkerDirectory();
  final MachineTable machines = new MachineTable();
  final Dispatcher dispatcher;
  final Planner planner;
  long nowMillis = 1_000;

  LeaderFixture(String... services) {
    List<QueueConfig> queues = new ArrayList<>();
    List<ServiceConfig> configs = new ArrayList<>();
    for (String service : services) {
      queues.add(queue(service, AdviceTerms.NONE));
      configs.add(new ServiceConfig(service, false));
    }
    configs.add(new ServiceConfig("spare", true));
    ledger.apply(0, new JobCommand.PutConfig(new FleetConfig(1, queues, configs, "{}")));
    dispatcher = new Dispatcher(ledger, directory, TIMING, 1, nowMillis);
    planner = new Planner(ledger, directory, dispatcher);
  }

  /** Applies a configuration in which starts from a service's only queue require tickets. */
  void requireAdvice(String service, long validMillis) {
    List<QueueConfig> queues = List.of(queue(service, new AdviceTerms(50, 10, validMillis)));
    List<ServiceConfig> services = List.of(new ServiceConfig(service, false));
    ledger.apply(0, new JobCommand.PutConfig(new FleetConfig(2, queues, services, "{}")));
  }

  void addSpareMachine(String name) {
    List<Machine> all = new ArrayList<>(machines.all());
    all.add(new Machine(name, "spare", MachineState.DOWN, List.of("a", "r9"), ""));
    machines.replaceAll(all);
  }

  void addWorker(String name, String service) {
    directory.recordHeartbeat(heartbeat(name, service, 1), nowMillis);
    reportFromAllWorkers();
  }

  /** Returns a heartbeat of the worker of the machine that has its name with a prefix. */
  static WorkerHeartbeat heartbeat(String name, String service, long sequence) {
    return new WorkerHeartbeat(
        new WorkerIncarnation(name, 1),
        sequence,
        service,
        name + ":1",
        "dc",
        WorkerPhase.READY,
        0,
        MACHINE,
        List.of("a", "r1"),
        "m-" + name);
  }

  /** Makes each worker answer a renewal now with an empty report. */
  void reportFromAllWorkers() {
    for (WorkerHeartbeat worker : directory.all()) {
      dispatcher.renewed(
          new WorkerTarget(worker.life(), worker.address()),
          nowMillis,
          WorkerReport.complete(1, nowMillis, List.of(), List.of()),
          nowMillis);
    }
  }

  JobSpec submit(String id, String queue, StepSpec step) {
    JobSpec job = new JobSpec(id, queue, "p", List.of(step), Schedule.NOW);
    ledger.apply(nowMillis, new JobCommand.Submit(job));
    return job;
  }

  static StepSpec.Builder step(int tasks, long milliCores) {
    return StepSpec.builder().count(tasks).size(new Resources(milliCores, 1, 0));
  }

  /** Runs the planner, and commits its assignments. */
  List<Assignment> planAndAssign() {
    List<Assignment> planned = planner.plan(nowMillis, nowMillis);
    JobCommand.Assign assign = new JobCommand.Assign(planned);
    ledger.apply(nowMillis, assign);
    planner.assignmentsApplied(planned);
    dispatcher.applied(assign, nowMillis);
    return planned;
  }

  /** Returns the machine orders that were proposed since the last call. */
  List<MachineOrder> orders() {
    return ordersIn(dispatcher.drain());
  }

  /** Returns the machine orders that a leader proposes. */
  static List<MachineOrder> ordersIn(List<Action> actions) {
    List<MachineOrder> orders = new ArrayList<>();
    for (Action action : actions) {
      if (action instanceof Action.Propose propose
          && propose.command() instanceof JobCommand.OrderMachine order) {
        orders.add(order.order());
      }
    }
    return orders;
  }

  private static QueueConfig queue(String service, AdviceTerms advice) {
    return new QueueConfig(
        service,
        "h",
        "/" + service + "/",
        service,
        0,
        4,
        STRETCH,
        TARGET_LATENCY_MILLIS,
        3_000,
        advice);
  }
}
