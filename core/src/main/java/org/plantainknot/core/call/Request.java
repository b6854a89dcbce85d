package org.plantainknot.core.call;

import org.plantainknot.core.job.FleetConfig;
import org.plantainknot.core.job.MaintenanceWave;
import org.plantainknot.core.schedule.WorkerHeartbeat;

/** Request that is answered by the leader. All requests are idempotent. */
public sealed interface Request {

  /**
   * Submits a job.
   *
   * @param host host name of the request
   * @param path request path: the queue's path prefix followed by the job identifier
   * @param draft job to submit
   */
  record SubmitJob(String host, String path, JobDraft draft) implements Request {}

  /**
   * Gets the status of a job, or the number of waiting jobs if the path names a queue only.
   *
   * @param host host name of the request
   * @param path request path: the queue's path prefix followed by the job identifier
   */
  record GetJob(String host, String path) implements Request {}

  /**
   * Cancels a job.
   *
   * @param host host name of the request
   * @param path request path: the queue's path prefix followed by the job identifier
   */
  record CancelJob(String host, String path) implements Request {}

  /**
   * Replaces the configuration in force.
   *
   * @param config new configuration
   */
  record PutConfig(FleetConfig config) implements Request {}

  /** Gets the configuration in force. */
  record GetConfig() implements Request {}

  /**
   * Starts a maintenance wave.
   *
   * @param wave wave to start
   */
  record StartWave(MaintenanceWave wave) implements Request {}

  /**
   * Gets the progress of a maintenance wave.
   *
   * @param number number that the operators gave the wave
   */
  record GetWave(long number) implements Request {}

  /**
   * Delivers the heartbeat of a worker.
   *
   * @param heartbeat heartbeat as the worker sent it
   */
  record Heartbeat(WorkerHeartbeat heartbeat) implements Request {}

  /**
   * Reports that a worker is leaving the cluster now.
   *
   * @param worker identifier of the worker
   */
  record Leave(String worker) implements Request {}
}
