import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP/1.1 client and server helpers. */
final class Http {

  static final ObjectMapper JSON = new ObjectMapper();

  /** Response; status 0 means that none came in time. */
  record Response(int status, String body) {
    JsonNode json() throws IOException {
      return JSON.readTree(body);
    }
  }

  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(1_000))
          .executor(THREADS)
          .build();

  private Http() {}

  /** Sends a request; headers are pairs of a name and a value. */
  static Response send(
      String method, String address, String path, String body, long timeoutMillis, String... headers) {
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
      return new Response(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Response(0, "");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Response(0, "");
    }
  }

  static HttpServer serve(String host, int port, HttpHandler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 64);
    server.setExecutor(THREADS);
    server.createContext(
        "/",
        exchange -> {
          try {
            handler.handle(exchange);
          } catch (IOException | RuntimeException e) {
            exchange.close();
          }
        });
    server.start();
    return server;
  }

  static JsonNode readJson(HttpExchange exchange) throws IOException {
    return JSON.readTree(exchange.getRequestBody().readAllBytes());
  }

  static void reply(HttpExchange exchange, int status, String json) throws IOException {
    byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }
}
