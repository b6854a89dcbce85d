package org.plantainknot.core.job;

import java.util.Collection;
import java.util.Iterator;
import java.util.NoSuchElementException;
import java.util.TreeMap;

/**
 * Tasks of one step of one occurrence. A task is created when it is first needed, so that the
 * memory in use depends on the tasks that were started and not on their number in the
 * specification.
 */
final class StepTasks {

  private final StepId id;
  private final StepSpec spec;
  private final TaskCounts counts;
  private final TreeMap<Integer, Task> created = new TreeMap<>();
  private int firstNotCreated;

  StepTasks(StepId id, StepSpec spec, TaskCounts parentCounts) {
    this.id = id;
    this.spec = spec;
    this.counts = new TaskCounts(parentCounts);
    counts.countNew(spec.count());
  }

  TaskCounts counts() {
    return counts;
  }

  /** Returns the tasks that were created so far, by index. */
  Collection<Task> created() {
    return created.values();
  }

  /** Returns a task, or null if it has not been created or there is none. */
  Task find(int index) {
    return created.get(index);
  }

  /** Returns a task, or null if the step has no such task. */
  Task getOrCreate(int index) {
    boolean exists = index >= 0 && index < spec.count();
    return exists ? created.computeIfAbsent(index, this::create) : null;
  }

  private Task create(int index) {
    return new Task(new TaskId(id.job(), id.occurrence(), id.step(), index), spec, counts);
  }

  /** Marks all tasks as done. */
  void finish() {
    for (int index = 0; index < spec.count(); index++) {
      getOrCreate(index).finish();
    }
  }

  /** Iterates over the tasks that wait for a worker; those that were created come first. */
  Iterator<Task> waiting() {
    Iterator<Task> createdBefore =
        created.values().stream().filter(Task::isWaiting).toList().iterator();
    return new Iterator<>() {
      @Override
      public boolean hasNext() {
        return createdBefore.hasNext() || findNotCreated() < spec.count();
      }

      @Override
      public Task next() {
        if (!hasNext()) {
          throw new NoSuchElementException();
        }
        return createdBefore.hasNext() ? createdBefore.next() : getOrCreate(firstNotCreated);
      }
    };
  }

  private int findNotCreated() {
    while (firstNotCreated < spec.count() && created.containsKey(firstNotCreated)) {
      firstNotCreated++;
    }
    return firstNotCreated;
  }
}
