package org.plantainknot.core.call;

import org.plantainknot.core.job.JobStatus;

/** Reply to a {@link Request}. */
public sealed interface Reply {

  /** The request was carried out and its effect is durable. */
  record Done() implements Reply {}

  /**
   * Status of the requested job.
   *
   * @param status status of the job
   */
  record Status(JobStatus status) implements Reply {}

  /**
   * Number of jobs waiting in a queue.
   *
   * @param count number of accepted jobs of which no task has started
   */
  record Waiting(long count) implements Reply {}

  /**
   * The configuration in force.
   *
   * @param document text of the configuration as the operator sent it
   */
  record Config(String document) implements Reply {}

  /**
   * Progress of a maintenance wave.
   *
   * @param completed whether the maintenance of every machine of the wave has begun
   */
  record Wave(boolean completed) implements Reply {}

  /**
   * The heartbeat was accepted.
   *
   * @param nextAddress address to send further heartbeats to, or an empty string to keep the
   *     current one
   */
  record HeartbeatTaken(String nextAddress) implements Reply {}

  /**
   * The requested queue, wave or route does not exist.
   *
   * @param what description of what was not found
   */
  record NotFound(String what) implements Reply {}

  /** The requested job does not exist. */
  record NoSuchJob() implements Reply {}

  /**
   * The request is invalid and changed nothing.
   *
   * @param problem description of the error
   */
  record Invalid(String problem) implements Reply {}

  /**
   * The backlog is full; the request has not taken effect and never will.
   *
   * @param retryAfterMillis delay after which the caller may retry the request
   */
  record Overloaded(long retryAfterMillis) implements Reply {}

  /**
   * The cluster is temporarily unavailable; the request has not taken effect and never will.
   *
   * @param retryAfterMillis delay after which the caller may retry the request
   */
  record Unavailable(long retryAfterMillis) implements Reply {}

  /** The request timed out; it may have taken effect or may still take effect. */
  record OutcomeUnknown() implements Reply {}
}
