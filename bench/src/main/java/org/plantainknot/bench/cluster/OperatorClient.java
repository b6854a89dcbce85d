package org.plantainknot.bench.cluster;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.daemon.control.StateCodec;
import org.plantainknot.daemon.settings.HostPort;

/** Blocking client of the operator interface of a cluster, for the demo and the tests. */
public final class OperatorClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(6);
  private static final int OK = 200;

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(500))
          .build();
  private final List<HostPort> entries;

  /** Creates a client that calls the given entry VMs. */
  public OperatorClient(List<HostPort> entries) {
    this.entries = List.copyOf(entries);
  }

  /** Polls a condition and returns whether it became true within the timeout. */
  public static boolean await(long timeoutMillis, BooleanSupplier condition) {
    long deadline = System.nanoTime() + timeoutMillis * 1_000_000;
    while (System.nanoTime() < deadline) {
      if (condition.getAsBoolean()) {
        return true;
      }
      sleep(10);
    }
    return condition.getAsBoolean();
  }

  /** Sleeps; an interrupt ends the sleep and sets the interrupt flag again. */
  public static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the body of the response of one entry VM, if its status is 200. */
  public Optional<JsonNode> get(HostPort entry, String path) {
    return send(entry, path, null).filter(r -> r.statusCode() == OK).map(OperatorClient::parse);
  }

  /** Returns the body of the first response with status 200, trying the entry VMs in order. */
  public Optional<JsonNode> getAny(String path) {
    return entries.stream().map(entry -> get(entry, path)).flatMap(Optional::stream).findFirst();
  }

  /** Posts to one entry VM and returns the HTTP status, or 0 if there was no response. */
  public int post(HostPort entry, String path, Object body) {
    return send(entry, path, body).map(HttpResponse::statusCode).orElse(0);
  }

  /**
   * Posts to the entry VMs in order until one responds with a status below 500.
   *
   * @return that status, or 0 if no entry VM gave one
   */
  public int postAny(String path, Object body) {
    for (HostPort entry : entries) {
      int status = post(entry, path, body);
      if (status > 0 && status < 500) {
        return status;
      }
    }
    return 0;
  }

  /** Files and approves a ticket, and returns whether both were accepted. */
  public boolean fileAndApprove(Ticket ticket) {
    return postAny("/tickets", ticket) == OK
        && postAny("/tickets/" + ticket.number() + "/approve", null) == OK;
  }

  /** Returns the status of a ticket, or an empty string if it is unknown. */
  public String ticketStatus(long number) {
    return getAny("/tickets/" + number).map(t -> t.path("status").asText()).orElse("");
  }

  /** Returns the name of the node that reports itself as leader, or an empty string. */
  public String leader() {
    for (HostPort entry : entries) {
      Optional<JsonNode> status = get(entry, "/status");
      if (status.isPresent() && status.get().path("role").asText().equals("LEADER")) {
        return status.get().path("node").asText();
      }
    }
    return "";
  }

  private Optional<HttpResponse<String>> send(HostPort entry, String path, Object body) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + entry + path))
            .timeout(TIMEOUT)
            .header("Authorization", "Bearer " + Cluster.TOKEN);
    try {
      if (body != null || path.endsWith("/approve") || path.endsWith("/replace")) {
        String text = body == null ? "{}" : StateCodec.json().writeValueAsString(body);
        request.POST(BodyPublishers.ofString(text));
      }
      return Optional.of(client.send(request.build(), BodyHandlers.ofString()));
    } catch (IOException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  private static JsonNode parse(HttpResponse<String> response) {
    try {
      return StateCodec.json().readTree(response.body());
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
