package org.plantainknot.daemon.controller;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.math.BigInteger;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.schedule.WorkerDirectory;
import org.plantainknot.core.schedule.WorkerHeartbeat;
import org.plantainknot.daemon.metrics.DecisionMetrics;
import org.plantainknot.wire.member.WorkerHeartbeatProto;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests heartbeats that the leader forwards. They guard against a controller that ends, or stops
 * following the workers, because of one odd heartbeat among them.
 */
public class ForwardedHeartbeatTest {

  private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());
  private static final int VERY_DEEP = 200_000;
  private static final byte ARRAY_OF_ONE = (byte) 0x81;

  private WorkerDirectory directory;
  private CallHandler handler;

  @BeforeMethod
  void createHandler() {
    directory = new WorkerDirectory();
    RequestProcessor processor =
        new RequestProcessor(
            new JobLedger(), command -> 1, new DecisionMetrics(new MetricRegistry()));
    handler = new CallHandler(() -> true, directory, processor, service -> true, "", frame -> {});
  }

  @Test
  void theOthersHoldBesideADeeplyNestedOne() throws IOException {
    byte[] nested = new byte[VERY_DEEP];
    Arrays.fill(nested, ARRAY_OF_ONE);
    forward(nested);
    forwardAndCheckAnother();
  }

  @Test
  void theOthersHoldBesideOneWithANumberTooLarge() throws IOException {
    forward(heartbeat("odd", BigInteger.TEN.pow(500), "10.0.0.9:80"));
    forwardAndCheckAnother();
  }

  @Test
  void theOthersHoldBesideOneWithAPortOutOfRange() throws IOException {
    forward(heartbeat("odd", BigInteger.ONE, "10.0.0.9:65536"));
    forward(heartbeat("w", BigInteger.ONE, "10.0.0.8:80"));
    assertEquals(directory.find("w").map(WorkerHeartbeat::sequence).orElse(0L), 1L);
  }

  private void forwardAndCheckAnother() throws IOException {
    forward(heartbeat("w", BigInteger.ONE, "10.0.0.8:80"));
    List<String> workers = directory.all().stream().map(known -> known.life().worker()).toList();
    assertEquals(workers, List.of("w"));
  }

  private void forward(byte[] body) {
    handler.onForwardedHeartbeat(
        WorkerHeartbeatProto.newBuilder().setBody(ByteString.copyFrom(body)).build());
  }

  private static byte[] heartbeat(String worker, BigInteger sequence, String address)
      throws IOException {
    Map<String, Object> fields = new HashMap<>();
    fields.put("life", Map.of("worker", worker, "bornMillis", 1));
    fields.put("sequence", sequence);
    fields.put("service", "s");
    fields.put("address", address);
    fields.put("dataCenter", "dc");
    fields.put("phase", "READY");
    fields.put("remainingMillis", 0);
    fields.put("capacity", Map.of("milliCores", 1, "memoryMib", 1, "accelerators", 0));
    fields.put("labels", List.of("a", "r1"));
    fields.put("machine", "m");
    return CBOR.writeValueAsBytes(fields);
  }
}
