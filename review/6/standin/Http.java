package standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.Executors;

/** HTTP calls and servers of the stand-ins. */
public final class Http {

  public static final ObjectMapper JSON = new ObjectMapper();

  static {
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(1_000))
          .build();

  private Http() {}

  /** Response of a call; the status is 0 if there was none. */
  public record Response(int status, JsonNode body, String location) {}

  /** Handler of a stand-in's calls. */
  public interface Handler {
    void handle(HttpExchange exchange, JsonNode body) throws IOException;
  }

  /** Sends a request once and waits for its response. */
  public static Response call(
      String method, String address, String path, String body, long timeoutMillis,
      String... headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofMillis(timeoutMillis))
            .header("Content-Type", "application/json")
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body));
    for (int i = 0; i < headers.length; i += 2) {
      request.header(headers[i], headers[i + 1]);
    }
    try {
      HttpResponse<String> response =
          CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Response(
          response.statusCode(),
          parse(response.body()),
          response.headers().firstValue("Location").orElse(""));
    } catch (IOException e) {
      return new Response(0, JSON.createObjectNode(), "");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Response(0, JSON.createObjectNode(), "");
    }
  }

  /** Starts a server; each request has a thread of its own. */
  public static HttpServer serve(String host, int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 64);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "stand-in");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext(
        "/",
        exchange -> {
          byte[] bytes = exchange.getRequestBody().readAllBytes();
          handler.handle(exchange, parse(new String(bytes, StandardCharsets.UTF_8)));
        });
    server.start();
    return server;
  }

  /** Answers a request. */
  public static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
    byte[] bytes = body == null ? new byte[0] : JSON.writeValueAsBytes(body);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      exchange.getResponseBody().write(bytes);
    }
    exchange.close();
  }

  static JsonNode parse(String text) {
    try {
      JsonNode node = JSON.readTree(text);
      return node == null || node.isMissingNode() ? JSON.createObjectNode() : node;
    } catch (IOException e) {
      return JSON.createObjectNode();
    }
  }
}
