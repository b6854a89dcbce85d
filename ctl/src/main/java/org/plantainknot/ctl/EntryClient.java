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
 * Client of the entry VMs' operator interface.
 *
 * <p>Where one doesn't answer or is cut off, the next is asked, with the same command identifier,
 * so that a command that took effect unseen gets its first result.
 */
final class EntryClient implements AutoCloseable {

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long ANSWER_TIMEOUT_MILLIS = 7_000;
  private static final int SERVER_ERROR = 500;
  private static final int OK = 200;

  private final Vertx vertx = Vertx.vertx();
  private final WebClient client;
  private final List<HostPort> entries;
  private final String token;

  EntryClient(List<HostPort> entries, String token, Optional<PfxOptions> trust) {
    this.entries = entries;
    this.token = token;
    WebClientOptions options = new WebClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    trust.ifPresent(store -> options.setSsl(true).setTrustOptions(store).setVerifyHost(false));
    this.client = WebClient.create(vertx, options);
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
    StringBuilder problems = new StringBuilder();
    for (HostPort entry : entries) {
      try {
        HttpResponse<Buffer> response = sendTo(entry, method, path, body, commandId);
        if (response.statusCode() < SERVER_ERROR) {
          return result(response);
        }
        problems.append("\n  ").append(entry).append(": ").append(messageOf(response));
      } catch (CompletionException | TimeoutException e) {
        problems.append("\n  ").append(entry).append(": ").append(e.getMessage());
      }
    }
    throw new CtlException(
        ExitCode.UNREACHABLE,
        "no entry VM carried out the command; it can safely be repeated" + problems);
  }

  private HttpResponse<Buffer> sendTo(
      HostPort entry, HttpMethod method, String path, Object body, String commandId) {
    HttpRequest<Buffer> request =
        client
            .request(method, entry.port(), entry.host(), path)
            .timeout(ANSWER_TIMEOUT_MILLIS)
            .putHeader("Authorization", "Bearer " + token)
            .putHeader(OperatorHeaders.COMMAND_ID, commandId);
    return (body == null ? request.send() : request.sendBuffer(encode(body)))
        .await()
        .atMost(Duration.ofMillis(ANSWER_TIMEOUT_MILLIS + CONNECT_TIMEOUT_MILLIS));
  }

  private static JsonNode result(HttpResponse<Buffer> response) {
    if (response.statusCode() != OK) {
      throw new CtlException(ExitCode.REFUSED, messageOf(response));
    }
    return parse(response);
  }

  private static String messageOf(HttpResponse<Buffer> response) {
    JsonNode message = parse(response).path("message");
    return message.isMissingNode() ? "HTTP " + response.statusCode() : message.asText();
  }

  private static JsonNode parse(HttpResponse<Buffer> response) {
    try {
      return StateCodec.json().readTree(response.bodyAsString());
    } catch (JsonProcessingException | IllegalArgumentException e) {
      throw new CtlException(ExitCode.UNREACHABLE, "unreadable answer: " + e.getMessage());
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
