package org.plantainknot.bench.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.plantainknot.core.job.JobSpec;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.core.schedule.RandomJobs;

/** Caller that submits jobs and queries their state through random gateways. Not thread-safe. */
final class SoakCaller {

  private static final int MAX_ATTEMPTS = 8;
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final SoakSite site;
  private final int number;
  private final SplittableRandom random;
  private final Map<String, JobSpec> accepted = new LinkedHashMap<>();
  private final List<String> refused = new ArrayList<>();
  private final Map<String, JobSpec> open = new LinkedHashMap<>();
  private final long maxOpenCoreMillis;
  private int submitted;

  /**
   * Creates a caller that has submitted nothing.
   *
   * @param maxOpenCoreMillis open work from which on the caller submits no further job
   */
  SoakCaller(SoakSite site, int number, long seed, long maxOpenCoreMillis) {
    this.site = site;
    this.number = number;
    this.random = new SplittableRandom(seed + number);
    this.maxOpenCoreMillis = maxOpenCoreMillis;
  }

  int accepted() {
    return accepted.size();
  }

  int refused() {
    return refused.size();
  }

  /** Submits one job unless the caller has enough open work. */
  void submitJobIfFewOpen() {
    site.runChecked(
        () -> open.values().removeIf(job -> site.oracle().findTaskNotDone(job).isEmpty()));
    long openCoreMillis = open.values().stream().mapToLong(WorkerServer::expectedCoreMillis).sum();
    if (openCoreMillis < maxOpenCoreMillis) {
      submitJob();
    }
  }

  /** Submits one job, retrying until it is accepted or the caller gives up. */
  private void submitJob() {
    JobSpec job = RandomJobs.next(random, String.format("%02x%014x", number, ++submitted));
    site.runChecked(() -> site.oracle().submitted(job));
    open.put(job.id(), job);
    boolean alwaysRefused = true;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      int status = status(call(HttpMethod.POST, job.id(), encode(job)));
      if (status == OK) {
        accepted.put(job.id(), job);
        return;
      }
      boolean wasRefused = status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
      alwaysRefused &= wasRefused;
      if (wasRefused && random.nextBoolean()) {
        break;
      }
      pause(random.nextLong(50, 400));
    }
    if (alwaysRefused) {
      refused.add(job.id());
      open.remove(job.id());
    }
  }

  /** Queries a random accepted job; the cluster must not report it as unknown. */
  void queryJob() {
    if (!accepted.isEmpty()) {
      List<String> ids = List.copyOf(accepted.keySet());
      String id = ids.get(random.nextInt(ids.size()));
      if (status(call(HttpMethod.GET, id, SoakSite.newJson())) == GONE) {
        site.recordViolation("accepted job is unknown: " + id);
      }
    }
  }

  /** Waits for all accepted jobs to complete; returns those still incomplete at the deadline. */
  List<String> awaitCompletion(long deadlineMillis) {
    List<String> pending = new ArrayList<>(accepted.keySet());
    while (!pending.isEmpty() && site.nowMillis() < deadlineMillis) {
      pending.removeIf(this::isCompleted);
      pause(200);
    }
    return pending;
  }

  /** Checks the answers of the cluster against what the workers ran. */
  void checkAnswers() {
    site.runChecked(() -> accepted.values().forEach(site.oracle()::assertCompleted));
    for (String id : refused) {
      site.runChecked(
          () -> {
            if (site.oracle().hasStarted(id)) {
              site.recordViolation("refused job was started: " + id);
            }
          });
    }
  }

  private boolean isCompleted(String id) {
    return call(HttpMethod.GET, id, SoakSite.newJson())
        .filter(answer -> answer.statusCode() == OK)
        .filter(answer -> "completed".equals(answer.bodyAsJsonObject().getString("state")))
        .isPresent();
  }

  private Optional<HttpResponse<Buffer>> call(HttpMethod method, String id, ObjectNode body) {
    List<String> gateways = site.cluster().gateways();
    String gateway = gateways.get(random.nextInt(gateways.size()));
    return site.call(method, site.cluster().callerAddress(gateway), "/q/" + id, body);
  }

  private static int status(Optional<HttpResponse<Buffer>> answer) {
    return answer.map(HttpResponse::statusCode).orElse(0);
  }

  private static ObjectNode encode(JobSpec job) {
    ObjectNode json = SoakSite.newJson().put("spec", job.payload());
    ArrayNode steps = json.putArray("steps");
    for (StepSpec step : job.steps()) {
      ObjectNode item = steps.addObject();
      item.put("count", step.count()).put("cpu", step.size().milliCores());
      item.put("mem_mb", step.size().memoryMib()).put("estimate_ms", step.estimateMillis());
      step.dependsOn().forEach(item.withArray("depends_on")::add);
    }
    return json;
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
