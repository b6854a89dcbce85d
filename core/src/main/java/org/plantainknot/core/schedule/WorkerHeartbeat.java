package org.plantainknot.core.schedule;

import java.util.List;
import org.plantainknot.core.job.WorkerIncarnation;
import org.plantainknot.core.placement.Resources;

/**
 * Heartbeat of a worker.
 *
 * @param life identifier of the worker and its start time
 * @param sequence number that increases with each heartbeat of this incarnation
 * @param service name of the service that the worker belongs to
 * @param address address of its listener, {@code host:port}
 * @param dataCenter name of its data centre
 * @param phase whether it accepts work
 * @param remainingMillis while draining, minimum time before it leaves
 * @param capacity its total resources
 * @param labels labels of its machine type, followed by its rack
 * @param machine machine that the worker runs on, or an empty string
 */
public record WorkerHeartbeat(
    WorkerIncarnation life,
    long sequence,
    String service,
    String address,
    String dataCenter,
    WorkerPhase phase,
    long remainingMillis,
    Resources capacity,
    List<String> labels,
    String machine) {

  /** Copies the labels. */
  public WorkerHeartbeat {
    labels = List.copyOf(labels);
  }

  /** Returns the rack, or an empty string. */
  public String rack() {
    return labels.isEmpty() ? "" : labels.get(labels.size() - 1);
  }

  /** Returns whether this heartbeat was sent after another heartbeat of the same worker. */
  public boolean isNewerThan(WorkerHeartbeat other) {
    if (life.bornMillis() != other.life.bornMillis()) {
      return life.bornMillis() > other.life.bornMillis();
    }
    return sequence > other.sequence;
  }

  /** Returns whether this heartbeat tells the same as another one of its worker. */
  boolean isSameButForSequence(WorkerHeartbeat other) {
    return copy(life, other.sequence, phase).equals(other);
  }

  /** Returns a copy with another phase. */
  public WorkerHeartbeat withPhase(WorkerPhase changed) {
    return copy(life, sequence, changed);
  }

  /** Returns a copy for a later incarnation that is known to run but has sent no heartbeat yet. */
  WorkerHeartbeat restartedAs(WorkerIncarnation later) {
    return copy(later, Long.MIN_VALUE, WorkerPhase.RESTARTED);
  }

  private WorkerHeartbeat copy(WorkerIncarnation newLife, long newSequence, WorkerPhase newPhase) {
    return new WorkerHeartbeat(
        newLife,
        newSequence,
        service,
        address,
        dataCenter,
        newPhase,
        remainingMillis,
        capacity,
        labels,
        machine);
  }
}
