package org.plantainknot.daemon.member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.daemon.settings.HostPort;
import org.plantainknot.daemon.storage.StorageCodec;
import org.plantainknot.wire.member.CallProto;
import org.plantainknot.wire.member.FrameProto;
import org.plantainknot.wire.member.HelloProto;
import org.testng.annotations.Test;

/** Tests that frames to a peer that is slow to read are neither lost nor reordered. */
public class SlowPeerTest {

  private static final int FRAMES = 8_000;
  private static final int PAYLOAD_BYTES = 2_000;
  private static final int PAUSE_MILLIS = 300;
  private static final int TIMEOUT_SECONDS = 10;

  @Test
  void noFrameIsLostWhileThePeerDoesNotRead() throws IOException, InterruptedException {
    CountDownLatch linked = new CountDownLatch(1);
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        MemberLinks links = createLinks(server.getLocalPort(), linked)) {
      links.startDialing();
      try (Socket peer = server.accept()) {
        write(peer, helloOf(new MemberId("peer", "i")));
        assertTrue(linked.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        for (int i = 1; i <= FRAMES; i++) {
          assertTrue(links.send("peer", frame(i)), "frame " + i);
        }
        Thread.sleep(PAUSE_MILLIS);
        assertTrue(links.congestions() > 0);
        assertAllArriveInOrder(peer);
      }
    }
  }

  private static void assertAllArriveInOrder(Socket peer) throws IOException {
    DataInputStream input = new DataInputStream(peer.getInputStream());
    for (long next = 1; next <= FRAMES; ) {
      byte[] bytes = new byte[input.readInt()];
      input.readFully(bytes);
      FrameProto frame = FrameProto.parseFrom(bytes);
      if (frame.hasCall()) {
        assertEquals(frame.getCall().getCallId(), next++);
      }
    }
  }

  private static MemberLinks createLinks(int peerPort, CountDownLatch linked) {
    FrameListener listener =
        new FrameListener() {
          @Override
          public void onLinked(MemberId peer, String address) {
            linked.countDown();
          }

          @Override
          public void onFrame(MemberId sender, FrameProto frame) {}
        };
    HostPort peer = new HostPort(InetAddress.getLoopbackAddress().getHostAddress(), peerPort);
    MemberId self = new MemberId("self", "i");
    return new MemberLinks(self, "p", "", List.of(peer), Optional.empty(), listener);
  }

  private static FrameProto helloOf(MemberId member) {
    HelloProto hello =
        HelloProto.newBuilder()
            .setMember(StorageCodec.toProto(member))
            .setProtocolVersion(LinkHandler.PROTOCOL_VERSION)
            .build();
    return FrameProto.newBuilder().setHello(hello).build();
  }

  private static FrameProto frame(long number) {
    ByteString payload = ByteString.copyFrom(new byte[PAYLOAD_BYTES]);
    CallProto call = CallProto.newBuilder().setCallId(number).setBody(payload).build();
    return FrameProto.newBuilder().setCall(call).build();
  }

  private static void write(Socket peer, FrameProto frame) throws IOException {
    byte[] bytes = frame.toByteArray();
    DataOutputStream output = new DataOutputStream(peer.getOutputStream());
    output.writeInt(bytes.length);
    output.write(bytes);
    output.flush();
  }
}
