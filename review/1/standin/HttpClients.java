package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Sends HTTP/1.1 requests; a failed or late one has status 0. */
final class HttpClients {

  static final ObjectMapper JSON = new ObjectMapper();

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();

  /** Response to a call; the status is 0 if none arrived in time. */
  record Response(int status, String body) {

    JsonNode json() {
      try {
        return JSON.readTree(body);
      } catch (IOException e) {
        return JSON.nullNode();
      }
    }
  }

  Response call(
      String method, String address, String path, String host, String body, long timeoutMillis) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofMillis(timeoutMillis))
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body));
    if (!host.isEmpty()) {
      request.header("Host", host);
      request.header("X-Deadline-Ms", Long.toString(timeoutMillis));
    }
    if (body != null) {
      request.header("Content-Type", "application/json");
    }
    try {
      HttpResponse<String> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Response(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Response(0, "");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Response(0, "");
    }
  }
}
