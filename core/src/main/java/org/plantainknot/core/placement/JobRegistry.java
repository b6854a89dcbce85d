package org.plantainknot.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The jobs that have not ended, and a bounded history of ended ones that serves queries and
 * repeated submissions. Not thread-safe.
 */
final class JobRegistry {

  private static final int MAX_ENDED = 10_000;

  private final Map<String, JobState> jobsById = new LinkedHashMap<>();
  private final Set<JobState> openJobs = new LinkedHashSet<>();
  private final Deque<String> endedJobIds = new ArrayDeque<>();
  private long nextSequence;

  /** Adds a queued job whose identifier is not known yet. */
  JobState add(Job job) {
    JobState state = new JobState(job, nextSequence++);
    jobsById.put(job.id(), state);
    openJobs.add(state);
    return state;
  }

  /** Returns a job, or null if it is unknown. */
  JobState find(String jobId) {
    return jobsById.get(jobId);
  }

  /** Returns the job whose latest attempt has the task identifier, or null. */
  JobState findByTask(String taskId) {
    JobState state = jobsById.get(taskId.substring(0, Math.max(0, taskId.lastIndexOf('#'))));
    return state != null && state.taskId().equals(taskId) ? state : null;
  }

  /** Returns the jobs that wait for a worker, in order of submission. */
  Stream<JobState> queued() {
    return openJobs.stream().filter(state -> state.phase() == JobPhase.QUEUED);
  }

  /** Returns the jobs that have not ended and those in the history, in order of submission. */
  Stream<JobState> stream() {
    return jobsById.values().stream();
  }

  /** Moves a job to the history if it has ended; the job that ended first leaves a full history. */
  void retainIfEnded(JobState state) {
    if (state.phase().isEnded() && openJobs.remove(state)) {
      endedJobIds.add(state.job().id());
      if (endedJobIds.size() > MAX_ENDED) {
        jobsById.remove(endedJobIds.remove());
      }
    }
  }
}
