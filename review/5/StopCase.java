package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A gateway gets SIGTERM while 200 requesters hold connections to it. Each asks once for the state
 * of a submission, spread over the 5 s after the signal. Without the trouble no signal is sent.
 */
final class StopCase implements Cases.Case {

  private static final String WORK = "0000000000000071";
  private static final String GATEWAY = "g0";
  private static final int REQUESTERS = 200;
  private static final long SPREAD_MILLIS = 5_000;
  private static final long LOSS_SLACK_MILLIS = 200;
  private static final int BUDGET_MILLIS = 3_000;

  /** A request whose connection ended without an answer. */
  private record Cut(long sentMillis, long lastedMillis) {}

  @Override
  public List<String> run(Site site, Recorder recorder, boolean trouble) throws Exception {
    site.start((task, run) -> new Work.Plan(500, "done", 500, 1, false), 2, 16_000);
    site.submit(WORK, Submissions.of(1, 500, 500).toString(), 10_000);
    String address = site.deployment().callerAddress(GATEWAY);
    int colon = address.lastIndexOf(':');
    long signalMillis = recorder.nowMillis() + 3_000;
    List<Cut> cuts = new ArrayList<>();
    List<Thread> requesters = new ArrayList<>();
    for (int i = 0; i < REQUESTERS; i++) {
      Socket socket =
          new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
      long sendMillis = signalMillis + SPREAD_MILLIS * i / REQUESTERS;
      Thread requester =
          new Thread(
              () -> {
                Site.pause(Math.max(1, sendMillis - recorder.nowMillis()));
                ask(socket, recorder, cuts);
              });
      requester.start();
      requesters.add(requester);
    }
    Site.pause(signalMillis - recorder.nowMillis());
    if (trouble) {
      site.deployment().signal(GATEWAY, "TERM");
    }
    for (Thread requester : requesters) {
      requester.join();
    }
    List<String> breaks = new ArrayList<>();
    for (Cut cut : cuts) {
      if (cut.lastedMillis() > LOSS_SLACK_MILLIS) {
        breaks.add(
            "LOST: a request that was sent " + (cut.sentMillis() - signalMillis)
                + " ms after the SIGTERM got no answer; its connection ended "
                + cut.lastedMillis() + " ms after its last byte");
      }
    }
    return breaks;
  }

  /** Sends one request over a connection that was idle, and waits for the whole answer. */
  private static void ask(Socket socket, Recorder recorder, List<Cut> cuts) {
    String request =
        "GET " + Site.PREFIX + WORK + " HTTP/1.1\r\nHost: " + Site.HOST + "\r\nX-Deadline-Ms: "
            + BUDGET_MILLIS + "\r\n\r\n";
    String answer;
    long sentMillis;
    try (socket) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(BUDGET_MILLIS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      sentMillis = recorder.nowMillis();
      answer = readAnswer(socket);
    } catch (IOException e) {
      recorder.event("requester", "connection was closed before the request: " + e.getMessage());
      return;
    }
    long lastedMillis = recorder.nowMillis() - sentMillis;
    recorder.event("requester", "GET -> " + answer + " after " + lastedMillis + " ms");
    if (answer.equals("no answer")) {
      synchronized (cuts) {
        cuts.add(new Cut(sentMillis, lastedMillis));
      }
    }
  }

  /** Returns the status of an answer whose body is whole, or that there was none. */
  private static String readAnswer(Socket socket) {
    StringBuilder received = new StringBuilder();
    byte[] buffer = new byte[4_096];
    try {
      while (received.indexOf("}") < 0) {
        int count = socket.getInputStream().read(buffer);
        if (count < 0) {
          return "no answer";
        }
        received.append(new String(buffer, 0, count, StandardCharsets.US_ASCII));
      }
    } catch (IOException e) {
      return "no answer";
    }
    return received.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length());
  }
}
