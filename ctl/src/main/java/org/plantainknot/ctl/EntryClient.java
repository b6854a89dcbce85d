package org.plantainknot.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.TimeoutException;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.PfxOptions;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpRequest;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import org.plantainknot.daemon.control.StateCodec;
import org.plantainknot.daemon.operator.OperatorHeaders;
import org.plantainknot.daemon.settings.HostPort;

/**
 * HTTP client of the operator interface on the entry VMs.
 *
 * <p>If an entry VM doesn't respond or returns a server error, the request is retried at the next
 * one with the same command identifier. A command that took effect although its response was lost
 * then returns its original result.
 */
final class EntryClient implements AutoCloseable {

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long RESPONSE_TIMEOUT_MILLIS = 7_000;
  private static final int SERVER_ERROR = 500;
  private static final int OK = 200;

  private final Vertx vertx = Vertx.vertx();
  private final WebClient client;
  private final List<HostPort> entries;
  private final String token;

  EntryClient(List<HostPort> entries, String token, Optional<PfxOptions> trustOptions) {
    this.entries = entries;
    this.token = token;
    WebClientOptions clientOptions =
        new WebClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    trustOptions.ifPresent(
        trust -> clientOptions.setSsl(true).setTrustOptions(trust).setVerifyHost(false));
    this.client = WebClient.create(vertx, clientOptions);
  }

  JsonNode get(String path) {
    return send(HttpMethod.GET, path, null);
  }

  JsonNode post(String path, Object body) {
    return send(HttpMethod.POST, path, body);
  }

  @Override
  public void close() {
    vertx.close().await().atMost(Duration.ofSeconds(2));
  }

  private JsonNode send(HttpMethod method, String path, Object body) {
    String commandId = UUID.randomUUID().toString();
    StringBuilder failures = new StringBuilder();
    for (HostPort entry : entries) {
      try {
        HttpResponse<Buffer> response = sendTo(entry, method, path, body, commandId);
        if (response.statusCode() < SERVER_ERROR) {
          return result(response);
        }
        failures.append("\n  ").append(entry).append(": ").append(errorMessage(response));
      } catch (CompletionException | TimeoutException e) {
        failures.append("\n  ").append(entry).append(": ").append(e.getMessage());
      }
    }
    throw new CtlException(
        ExitCode.UNREACHABLE, "no entry VM confirmed the command; it is safe to retry" + failures);
  }

  private HttpResponse<Buffer> sendTo(
      HostPort entry, HttpMethod method, String path, Object body, String commandId) {
    HttpRequest<Buffer> request =
        client
            .request(method, entry.port(), entry.host(), path)
            .timeout(RESPONSE_TIMEOUT_MILLIS)
            .putHeader("Authorization", "Bearer " + token)
            .putHeader(OperatorHeaders.COMMAND_ID, commandId);
    return (body == null ? request.send() : request.sendBuffer(encode(body)))
        .await()
        .atMost(Duration.ofMillis(RESPONSE_TIMEOUT_MILLIS + CONNECT_TIMEOUT_MILLIS));
  }

  private static JsonNode result(HttpResponse<Buffer> response) {
    if (response.statusCode() != OK) {
      throw new CtlException(ExitCode.REFUSED, errorMessage(response));
    }
    return parse(response);
  }

  private static String errorMessage(HttpResponse<Buffer> response) {
    JsonNode message = parse(response).path("message");
    return message.isMissingNode() ? "HTTP " + response.statusCode() : message.asText();
  }

  private static JsonNode parse(HttpResponse<Buffer> response) {
    try {
      return StateCodec.json().readTree(response.bodyAsString());
    } catch (JsonProcessingException | IllegalArgumentException e) {
      throw new CtlException(ExitCode.UNREACHABLE, "invalid response: " + e.getMessage());
    }
  }

  private static Buffer encode(Object body) {
    try {
      return Buffer.buffer(StateCodec.json().writeValueAsString(body));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
