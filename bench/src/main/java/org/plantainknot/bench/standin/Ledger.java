package org.plantainknot.bench.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** What the targets really ran: the oracle for "at most once" and "not run". */
public final class Ledger {

  private final Map<String, AtomicInteger> runsByRequest = new ConcurrentHashMap<>();
  private final AtomicInteger mostInUse = new AtomicInteger();
  private final AtomicInteger cutRequests = new AtomicInteger();

  /** Notes that a target began to run a request. */
  public void ran(String requestId) {
    runsByRequest.computeIfAbsent(requestId, r -> new AtomicInteger()).incrementAndGet();
  }

  /** Returns how often the request was run. */
  public int runs(String requestId) {
    AtomicInteger runs = runsByRequest.get(requestId);
    return runs == null ? 0 : runs.get();
  }

  /** Notes the number of requests that a target runs at the same time. */
  public void inUse(int requests) {
    mostInUse.accumulateAndGet(requests, Math::max);
  }

  /** Returns the largest number of requests that any target ran at the same time. */
  public int mostInUse() {
    return mostInUse.get();
  }

  /** Notes requests that a planned stop has cut. */
  public void cut(int requests) {
    cutRequests.addAndGet(requests);
  }

  /** Returns the number of requests that planned stops have cut. */
  public int cutRequests() {
    return cutRequests.get();
  }
}
