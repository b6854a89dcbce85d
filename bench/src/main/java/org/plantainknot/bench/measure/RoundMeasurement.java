package org.plantainknot.bench.measure;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.plantainknot.core.job.AdviceTerms;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.FleetConfig;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.JobSpec;
import org.plantainknot.core.job.QueueConfig;
import org.plantainknot.core.job.Schedule;
import org.plantainknot.core.job.ServiceConfig;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.core.job.WorkerIncarnation;
import org.plantainknot.core.placement.Resources;
import org.plantainknot.core.schedule.DispatchTiming;
import org.plantainknot.core.schedule.Dispatcher;
import org.plantainknot.core.schedule.Machine;
import org.plantainknot.core.schedule.MachineOrderTimes;
import org.plantainknot.core.schedule.MachineState;
import org.plantainknot.core.schedule.Maintainer;
import org.plantainknot.core.schedule.Planner;
import org.plantainknot.core.schedule.WorkerDirectory;
import org.plantainknot.core.schedule.WorkerHeartbeat;
import org.plantainknot.core.schedule.WorkerPhase;
import org.plantainknot.core.schedule.WorkerReport;
import org.plantainknot.core.schedule.WorkerTarget;
import org.plantainknot.daemon.control.StateCodec;

/** Measures a leader's rounds with full pools and a backlog, by the number of workers. */
final class RoundMeasurement {

  private static final int[] SIZES = {35, 250, 1_000};
  private static final int SERVICES = 4;
  private static final int RUNS_PER_WORKER = 11;
  private static final int WAITING_TASKS_PER_WORKER = 8;
  private static final int ENDED_JOBS_PER_WORKER = 20;
  private static final int TASKS_PER_STEP = 8;
  private static final int ROUNDS = 30;
  private static final Resources CAPACITY = new Resources(16_000, 32_000, 0);
  private static final DispatchTiming TIMING =
      new DispatchTiming(6_000, 1_000, 400, 900, 3_000, 2_000, 4_500);

  private final SplittableRandom random;
  private final JobLedger ledger = new JobLedger();
  private final WorkerDirectory directory = new WorkerDirectory();
  private final Dispatcher dispatcher = new Dispatcher(ledger, directory, TIMING, 1, 0);
  private final Planner planner = new Planner(ledger, directory, dispatcher);
  private final Maintainer maintainer =
      new Maintainer(ledger, directory, dispatcher, planner, TIMING, new MachineOrderTimes(), 1, 0);
  private final long nowMillis = 10_000;
  private int jobs;

  private RoundMeasurement(long seed) {
    this.random = new SplittableRandom(seed);
  }

  static ObjectNode run(long seed) {
    ObjectNode figures = Measurement.figures();
    figures.put("measurement", "round").put("seed", seed).put("source", "core, in process");
    ArrayNode sizes = figures.putArray("sizes");
    for (int workers : SIZES) {
      new RoundMeasurement(seed).measure(workers);
      sizes.add(new RoundMeasurement(seed).measure(workers));
    }
    return figures;
  }

  private ObjectNode measure(int workers) {
    configure();
    addWorkers(workers);
    fillPoolsAndBacklog(workers);
    ObjectNode figures = Measurement.figures();
    figures.put("workers", workers).put("jobs", jobs);
    figures.put("runs", ledger.assignedTasks().size());
    figures.put("tick_millis", SlopesMeasurement.millisOf(ROUNDS, this::tick));
    figures.put("plan_millis", SlopesMeasurement.millisOf(ROUNDS, this::plan));
    double renewalMillis = SlopesMeasurement.millisOf(ROUNDS, this::renewAllWorkers);
    figures.put("renewal_micros", Math.round(renewalMillis * 1_000 / workers * 10) / 10.0);
    figures.put("image_millis", SlopesMeasurement.millisOf(ROUNDS, ledger::image));
    figures.put("snapshot_bytes", StateCodec.write(ledger.image()).length);
    figures.put(
        "snapshot_millis",
        SlopesMeasurement.millisOf(ROUNDS, () -> StateCodec.write(ledger.image())));
    return figures;
  }

  private void configure() {
    List<QueueConfig> queues = new ArrayList<>();
    List<ServiceConfig> services = new ArrayList<>();
    for (int i = 0; i < SERVICES; i++) {
      queues.add(
          new QueueConfig(
              "q" + i, "h", "/q" + i + "/", "s" + i, i % 2, 4, 1.6, 600, 3_000, AdviceTerms.NONE));
      services.add(new ServiceConfig("s" + i, false));
    }
    services.add(new ServiceConfig("spare", true));
    ledger.apply(0, new JobCommand.PutConfig(new FleetConfig(1, queues, services, "{}")));
  }

  private void addWorkers(int workers) {
    List<Machine> machines = new ArrayList<>();
    for (int i = 0; i < workers; i++) {
      List<String> labels = List.of("a", "r" + i / 8);
      directory.recordHeartbeat(
          new WorkerHeartbeat(
              new WorkerIncarnation("i-" + i, 1),
              1,
              "s" + i % SERVICES,
              "10.0." + i / 250 + "." + i % 250 + ":8080",
              "dc" + i % 3,
              WorkerPhase.READY,
              0,
              CAPACITY,
              labels,
              "m-" + i),
          nowMillis);
      machines.add(new Machine("m-" + i, "s" + i % SERVICES, MachineState.UP, labels, "i-" + i));
    }
    maintainer.machinesListed(machines);
    renewAllWorkers();
  }

  /** Creates ended jobs, fills the pools with runs, and adds a backlog of waiting tasks. */
  private void fillPoolsAndBacklog(int workers) {
    for (int i = 0; i < workers * ENDED_JOBS_PER_WORKER; i++) {
      ledger.apply(nowMillis, new JobCommand.Cancel(submit().id()));
    }
    for (int tasks = 0; tasks < workers * RUNS_PER_WORKER; tasks += TASKS_PER_STEP) {
      submit();
    }
    for (List<Assignment> planned = plan(); !planned.isEmpty(); planned = plan()) {
      JobCommand.Assign assign = new JobCommand.Assign(planned);
      ledger.apply(nowMillis, assign);
      planner.assignmentsApplied(planned);
      dispatcher.applied(assign, nowMillis);
    }
    for (int tasks = 0; tasks < workers * WAITING_TASKS_PER_WORKER; tasks += TASKS_PER_STEP) {
      submit();
    }
    dispatcher.drain();
  }

  private JobSpec submit() {
    StepSpec.Builder step =
        StepSpec.builder()
            .count(TASKS_PER_STEP)
            .size(new Resources(random.nextLong(800, 2_400), 512, 0))
            .estimateMillis(1_000);
    JobSpec job =
        new JobSpec(
            String.format("%016x", jobs++),
            "q" + random.nextInt(SERVICES),
            "x".repeat(64),
            List.of(step.build(), step.dependsOn(List.of(0)).build()),
            Schedule.NOW);
    ledger.apply(nowMillis, new JobCommand.Submit(job));
    return job;
  }

  private List<Assignment> plan() {
    return planner.plan(nowMillis, nowMillis);
  }

  private void tick() {
    dispatcher.tick(nowMillis);
    maintainer.tick(nowMillis);
    dispatcher.drain();
  }

  private void renewAllWorkers() {
    for (WorkerHeartbeat worker : directory.all()) {
      dispatcher.renewed(
          new WorkerTarget(worker.life(), worker.address()),
          nowMillis - 1,
          WorkerReport.complete(1, nowMillis, List.of(), List.of()),
          nowMillis);
    }
  }
}
