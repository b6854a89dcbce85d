package org.plantainknot.core.job;

/**
 * Configuration of a job queue.
 *
 * @param name name of the queue
 * @param host host name of requests that are routed to the queue
 * @param pathPrefix path prefix of requests that are routed to the queue
 * @param service service whose workers run the tasks
 * @param priority priority of the queue; 0 is the most urgent
 * @param maxAttempts number of failed runs of a task after which its job has failed
 * @param stretch factor by which the duration of the critical path is multiplied; the latency
 *     objective is the product plus {@code targetLatencyMillis}
 * @param targetLatencyMillis constant part of the latency objective
 * @param timeoutMillis timeout of a request to the queue
 * @param advice terms of the policy that tells which workers may run the queue's steps
 */
public record QueueConfig(
    String name,
    String host,
    String pathPrefix,
    String service,
    int priority,
    int maxAttempts,
    double stretch,
    long targetLatencyMillis,
    long timeoutMillis,
    AdviceTerms advice) {}
