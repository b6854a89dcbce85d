import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP/1.1 on loopback addresses: a client with a time limit, and small servers. */
final class Http {

  /** Status that stands for a call without an answer. */
  static final int NO_ANSWER = 0;

  static {
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
  }

  record Answer(int status, String body) {}

  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "standin");
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

  static Answer call(String method, String address, String path, String body, long timeoutMillis) {
    return call(method, address, path, body, timeoutMillis, "");
  }

  /** Sends a request; a host other than the empty string stands in its Host header. */
  static Answer call(
      String method, String address, String path, String body, long timeoutMillis, String host) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofMillis(timeoutMillis))
            .header("Content-Type", "application/json")
            .method(
                method,
                body.isEmpty()
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body));
    if (!host.isEmpty()) {
      request.header("Host", host).header("X-Deadline-Ms", Long.toString(timeoutMillis));
    }
    try {
      HttpResponse<String> response =
          CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Answer(NO_ANSWER, e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(NO_ANSWER, e.toString());
    }
  }

  static HttpServer serve(String host, int port, HttpHandler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 128);
    server.setExecutor(THREADS);
    server.createContext(
        "/",
        exchange -> {
          try {
            handler.handle(exchange);
          } catch (RuntimeException e) {
            e.printStackTrace();
            exchange.close();
          }
        });
    server.start();
    return server;
  }

  static String body(HttpExchange exchange) throws IOException {
    return new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
  }

  static void answer(HttpExchange exchange, int status, Object json) throws IOException {
    byte[] bytes = Json.write(json).getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(bytes);
    }
  }

  /** Runs a task on a thread that doesn't keep the process alive. */
  static void run(Runnable task) {
    THREADS.execute(task);
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
