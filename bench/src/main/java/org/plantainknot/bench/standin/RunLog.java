package org.plantainknot.bench.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Test oracle of the requests that targets ran, to check "at most once" and "not run". */
public final class RunLog {

  private final Map<String, AtomicInteger> runsByRequest = new ConcurrentHashMap<>();
  private final AtomicInteger mostInUse = new AtomicInteger();
  private final AtomicInteger interruptedRequests = new AtomicInteger();

  /** Records that a target started a request. */
  public void recordRun(String requestId) {
    runsByRequest.computeIfAbsent(requestId, r -> new AtomicInteger()).incrementAndGet();
  }

  /** Returns the number of times that a request was started. */
  public int runs(String requestId) {
    AtomicInteger runs = runsByRequest.get(requestId);
    return runs == null ? 0 : runs.get();
  }

  /** Records the number of requests that a target runs concurrently. */
  public void recordInUse(int requests) {
    mostInUse.accumulateAndGet(requests, Math::max);
  }

  /** Returns the largest number of requests that any target ran concurrently. */
  public int mostInUse() {
    return mostInUse.get();
  }

  /** Records requests that were in progress at a planned stop. */
  public void recordInterrupted(int requests) {
    interruptedRequests.addAndGet(requests);
  }

  /** Returns the number of requests that were in progress at planned stops. */
  public int interruptedRequests() {
    return interruptedRequests.get();
  }
}
