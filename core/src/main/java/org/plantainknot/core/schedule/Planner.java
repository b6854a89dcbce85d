package org.plantainknot.core.schedule;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongUnaryOperator;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.Job;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.QueueConfig;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.StepId;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.core.job.Task;
import org.plantainknot.core.job.TaskId;
import org.plantainknot.core.job.WorkerIncarnation;

/**
 * Assigns waiting tasks to workers.
 *
 * <p>Designed for loads in which each queue at its demand peak needs several times the capacity of
 * its pool. Persistent tasks are placed first, the others by {@link Urgency}, priority and
 * deadline.
 */
public final class Planner {

  private static final int MAX_ASSIGNMENTS = 200;

  private final JobLedger ledger;
  private final WorkerDirectory directory;
  private final Dispatcher dispatcher;
  private final Set<String> reservedWorkers = new HashSet<>();
  private final Map<String, Shortage> shortages = new HashMap<>();
  private final Map<TaskId, Proposal> proposals = new HashMap<>();

  /** Assignment that is in the log of this term, and is applied unless the leader loses office. */
  private record Proposal(Assignment assignment, StepSpec step) {}

  /** Creates a planner for one leader's term. */
  public Planner(JobLedger ledger, WorkerDirectory directory, Dispatcher dispatcher) {
    this.ledger = ledger;
    this.directory = directory;
    this.dispatcher = dispatcher;
  }

  /**
   * Replaces the set of workers that get no new work, because their machines are about to be
   * maintained or moved.
   */
  void reserve(Set<String> workers) {
    reservedWorkers.clear();
    reservedWorkers.addAll(workers);
  }

  /** Returns the workers that get no new work. */
  Set<String> reserved() {
    return Collections.unmodifiableSet(reservedWorkers);
  }

  /**
   * Removes the proposals for assignments whose command was applied, whether or not they took
   * effect.
   */
  public void assignmentsApplied(List<Assignment> assignments) {
    assignments.forEach(assignment -> proposals.remove(assignment.run().task()));
  }

  /**
   * Returns the assignments to propose now.
   *
   * @param nowMillis monotonic time
   * @param wallMillis wall-clock time, which the schedules of jobs refer to
   */
  public List<Assignment> plan(long nowMillis, long wallMillis) {
    shortages.clear();
    dispatcher.advisor().startPlanningRound();
    List<Group> groups = waitingGroups(wallMillis);
    if (groups.isEmpty()) {
      return List.of();
    }
    Set<String> services = new HashSet<>();
    groups.forEach(group -> services.add(group.job().service()));
    Map<String, List<Slot>> slotsByService = slots(services, nowMillis);
    List<Assignment> planned = new ArrayList<>();
    for (Group group : groups) {
      List<Slot> slots = slotsByService.getOrDefault(group.job().service(), List.of());
      int placed = 0;
      if (planned.size() < MAX_ASSIGNMENTS) {
        int maxTasks = MAX_ASSIGNMENTS - planned.size();
        List<Assignment> assignments = place(group, slots, maxTasks, nowMillis);
        placed = assignments.size();
        planned.addAll(assignments);
        requestAdvice(group, slots, placed, nowMillis);
      }
      recordShortage(group, placed);
    }
    return planned;
  }

  /** Returns the capacity that waiting tasks lacked in the latest planning round, by service. */
  Map<String, Shortage> shortages() {
    return shortages;
  }

  /** Returns whether a worker has neither runs nor proposed assignments. */
  boolean isIdle(WorkerHeartbeat worker) {
    WorkerIncarnation incarnation = worker.life();
    return !dispatcher.hasRunsOn(incarnation)
        && proposals.values().stream().noneMatch(p -> p.assignment().worker().equals(incarnation));
  }

  /**
   * Adds the tasks of a group that were not placed to the shortage of its service. A persistent
   * task keeps its capacity indefinitely, so it counts as a whole worker.
   */
  private void recordShortage(Group group, int placed) {
    long unplaced = group.waiting() - placed;
    StepSpec step = group.spec();
    long milliCoresEach =
        step.persistent() ? largestWorkerMilliCores() : step.reserved().milliCores();
    if (unplaced > 0) {
      Shortage shortage = shortages.getOrDefault(group.job().service(), Shortage.NONE);
      shortages.put(
          group.job().service(), shortage.plus(group.rank().urgency(), unplaced * milliCoresEach));
    }
  }

  private long largestWorkerMilliCores() {
    return directory.all().stream()
        .mapToLong(worker -> worker.capacity().milliCores())
        .max()
        .orElse(1);
  }

  /** Waiting tasks of one step, with the number of those that have no proposal. */
  private record Group(
      Job job, int occurrence, int step, long waiting, Rank rank, boolean advised) {

    StepId id() {
      return new StepId(job.spec().id(), occurrence, step);
    }

    StepSpec spec() {
      return job.spec().steps().get(step);
    }
  }

  /** Position of waiting tasks in the planning order. */
  private record Rank(Urgency urgency, int priority, long deadlineMillis)
      implements Comparable<Rank> {

    private static final Comparator<Rank> ORDER =
        Comparator.comparing(Rank::urgency)
            .thenComparing(Rank::priority)
            .thenComparing(Rank::deadlineMillis);

    @Override
    public int compareTo(Rank other) {
      return ORDER.compare(this, other);
    }
  }

  private List<Group> waitingGroups(long wallMillis) {
    List<Group> groups = new ArrayList<>();
    Map<StepId, Integer> proposed = countProposalsByStep();
    for (Job job : ledger.openJobs()) {
      if (!job.status().isEnded() && job.isAnyWaiting()) {
        QueueConfig queue = ledger.queue(job.spec().queue()).orElse(null);
        for (int occurrence : job.dueOccurrences(wallMillis)) {
          Rank rank = rank(job, occurrence, queue, wallMillis);
          addGroups(groups, job, occurrence, rank, isAdvised(queue), proposed);
        }
      }
    }
    groups.sort(Comparator.comparing(Group::rank));
    return groups;
  }

  private static boolean isAdvised(QueueConfig queue) {
    return queue != null && queue.advice().isRequired();
  }

  private Map<StepId, Integer> countProposalsByStep() {
    Map<StepId, Integer> counts = new HashMap<>();
    for (TaskId task : proposals.keySet()) {
      Task known = ledger.task(task);
      if (known != null && known.isWaiting()) {
        counts.merge(task.stepId(), 1, Integer::sum);
      }
    }
    return counts;
  }

  private void addGroups(
      List<Group> groups,
      Job job,
      int occurrence,
      Rank rank,
      boolean advised,
      Map<StepId, Integer> proposed) {
    for (int step = 0; step < job.spec().steps().size(); step++) {
      long waiting = job.countWaiting(occurrence, step);
      if (waiting > 0 && job.isStepReady(occurrence, step)) {
        StepId id = new StepId(job.spec().id(), occurrence, step);
        long unproposed = waiting - proposed.getOrDefault(id, 0);
        if (isPlannable(job.spec().steps().get(step), unproposed)) {
          groups.add(new Group(job, occurrence, step, unproposed, rank, advised));
        }
      }
    }
  }

  /** A gang is planned only as a whole: its members work together under one run number. */
  private static boolean isPlannable(StepSpec step, long waiting) {
    return step.gang() ? waiting == step.count() : waiting > 0;
  }

  private Rank rank(Job job, int occurrence, QueueConfig queue, long wallMillis) {
    LongUnaryOperator expectedMillis =
        estimate -> dispatcher.durationEstimator().expectedMillis(job.spec().queue(), estimate);
    Urgency urgency = Urgency.of(job, occurrence, queue, expectedMillis, wallMillis);
    if (queue == null || urgency == Urgency.PERSISTENT) {
      return new Rank(urgency, 0, job.acceptedAtMillis());
    }
    long deadlineMillis = Urgency.deadlineMillis(job, occurrence, queue, expectedMillis, 1);
    return new Rank(urgency, queue.priority(), deadlineMillis);
  }

  /** Returns the capacity of the usable workers of some services. */
  private Map<String, List<Slot>> slots(Set<String> services, long nowMillis) {
    Map<String, Slot> slotByWorker = new HashMap<>();
    Map<String, List<Slot>> slotsByService = new HashMap<>();
    for (WorkerHeartbeat worker : directory.all()) {
      boolean usable =
          services.contains(worker.service())
              && dispatcher.isUsable(worker, nowMillis)
              && !reservedWorkers.contains(worker.life().worker());
      if (usable) {
        Slot slot = slotOf(worker, nowMillis);
        slotByWorker.put(worker.life().worker(), slot);
        slotsByService.computeIfAbsent(worker.service(), s -> new ArrayList<>()).add(slot);
      }
    }
    for (Proposal proposal : proposals.values()) {
      Slot slot = slotByWorker.get(proposal.assignment().worker().worker());
      if (slot != null) {
        slot.allocate(proposal.assignment().run().task(), proposal.step());
      }
    }
    return slotsByService;
  }

  private Slot slotOf(WorkerHeartbeat worker, long nowMillis) {
    FailureRecord failures = dispatcher.session(worker.life()).failures();
    Slot slot = new Slot(worker, failures.isOnProbation(nowMillis));
    dispatcher.forEachRunOn(
        worker.life(),
        run -> {
          if (run.isProven(nowMillis)) {
            slot.allocateProven(run.task().id(), run.task().step());
          } else {
            slot.allocate(run.task().id(), run.task().step());
          }
        });
    return slot;
  }

  /**
   * Assigns tasks of a group to workers that have room for them. A gang is assigned as a whole or
   * not at all, and takes no time if there isn't room for all of it.
   *
   * @param maxTasks maximum number of tasks, unless the group is a gang
   */
  private List<Assignment> place(Group group, List<Slot> slots, int maxTasks, long nowMillis) {
    boolean gang = group.spec().gang();
    List<Slot> allowed = slots.stream().filter(slot -> mayRun(group, slot, nowMillis)).toList();
    if (gang && room(group, allowed) < group.waiting()) {
      return List.of();
    }
    int gangRun = gang ? nextGangRun(group) : 0;
    List<Assignment> placed = new ArrayList<>();
    Iterator<Task> waiting = group.job().waitingTasks(group.occurrence(), group.step());
    Slot slot = bestSlot(group, allowed);
    while (slot != null && (gang || placed.size() < maxTasks) && waiting.hasNext()) {
      Task task = waiting.next();
      if (!proposals.containsKey(task.id())) {
        slot.allocate(task.id(), task.step());
        RunId run = new RunId(task.id(), gang ? gangRun : task.run() + 1);
        placed.add(new Assignment(run, slot.worker().life()));
        slot = bestSlot(group, allowed);
      }
    }
    placed.forEach(
        assignment ->
            proposals.put(assignment.run().task(), new Proposal(assignment, group.spec())));
    return placed;
  }

  private static long room(Group group, List<Slot> slots) {
    return slots.stream().mapToLong(slot -> slot.room(group.id(), group.spec())).sum();
  }

  private boolean mayRun(Group group, Slot slot, long nowMillis) {
    return !group.advised()
        || !dispatcher.advisor().ticket(group.id(), slot.worker().life(), nowMillis).isEmpty();
  }

  /**
   * Requests advice on workers that have room for the tasks that could not be placed with the
   * cached tickets.
   */
  private void requestAdvice(Group group, List<Slot> slots, int placed, long nowMillis) {
    if (group.advised() && placed < group.waiting()) {
      List<WorkerIncarnation> candidates =
          slots.stream()
              .filter(slot -> slot.fits(group.id(), group.spec()))
              .sorted(Comparator.comparingDouble(slot -> -slot.score(group.spec())))
              .map(slot -> slot.worker().life())
              .toList();
      dispatcher.advisor().requestAdvice(group.id(), candidates, nowMillis);
    }
  }

  /** Returns the number of a gang's next run, which all of its tasks share. */
  private static int nextGangRun(Group group) {
    return 1
        + group.job().createdTasks(group.occurrence(), group.step()).stream()
            .mapToInt(Task::run)
            .max()
            .orElse(0);
  }

  private static Slot bestSlot(Group group, List<Slot> slots) {
    StepSpec step = group.spec();
    StepId id = group.id();
    Slot best = null;
    double bestScore = Double.NEGATIVE_INFINITY;
    for (Slot slot : slots) {
      if (slot.fits(id, step)) {
        double score = slot.score(step);
        if (score > bestScore) {
          best = slot;
          bestScore = score;
        }
      }
    }
    return best;
  }
}
