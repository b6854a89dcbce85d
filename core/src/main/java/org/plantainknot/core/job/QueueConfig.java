package org.plantainknot.core.job;

/**
 * Queue of jobs.
 *
 * @param name name of the queue
 * @param host host name that callers address
 * @param pathPrefix path prefix that callers address
 * @param service service whose workers run the tasks
 * @param priority urgency, the most urgent first from 0
 * @param maxAttempts number of failed runs after which a job has failed
 * @param stretch factor of the longest chain of work that is the latency objective
 * @param targetLatencyMillis time that is added to that objective
 * @param timeoutMillis time that a call of the queue may take
 * @param advice which workers may run its steps
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
