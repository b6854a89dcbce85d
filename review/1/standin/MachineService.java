package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.Executors;

/** The platform's list of machines. The scripts' pools are too small for machines to be moved. */
final class MachineService implements AutoCloseable {

  private final Recorder recorder;
  private final Map<Integer, Runner> runners = new ConcurrentSkipListMap<>();
  private final HttpServer server;

  MachineService(Recorder recorder, String address) throws IOException {
    this.recorder = recorder;
    int colon = address.lastIndexOf(':');
    this.server =
        HttpServer.create(
            new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
            64);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", this::handle);
    server.start();
  }

  void put(int place, Runner runner) {
    runners.put(place, runner);
  }

  private void handle(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    ObjectNode response = HttpClients.JSON.createObjectNode();
    int status = 200;
    if (exchange.getRequestURI().getPath().equals("/machines")) {
      ArrayNode machines = response.putArray("machines");
      for (Runner runner : runners.values()) {
        ObjectNode machine = machines.addObject();
        machine.put("machine", runner.machine()).put("pool", runner.service()).put("state", "up");
        machine.put("zone", "z1").put("id", runner.id());
        machine.putArray("labels").add("a").add(runner.rack());
        machine.putObject("capacity").put("cpu", runner.milliCores()).put("mem_mb", 32768);
      }
    } else {
      recorder.event("platform", "refused as busy: " + exchange.getRequestURI());
      response.put("reason", "busy");
      status = 409;
    }
    byte[] body = response.toString().getBytes();
    exchange.sendResponseHeaders(status, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
