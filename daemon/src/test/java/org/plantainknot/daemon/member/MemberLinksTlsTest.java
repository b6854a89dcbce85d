package org.plantainknot.daemon.member;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.daemon.settings.DaemonSettings;
import org.plantainknot.daemon.settings.HostPort;
import org.plantainknot.daemon.settings.SettingKey;
import org.plantainknot.daemon.tls.TlsKeys;
import org.plantainknot.wire.member.FrameProto;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that members are linked only if each end trusts the certificate of the other. */
public class MemberLinksTlsTest {

  private static final String HOST = "127.0.0.1";
  private static final String PASSWORD = "test-password";
  private static int port = 29_500;

  private Path folder;

  @BeforeClass
  void makeKeys() throws IOException, InterruptedException {
    folder = Files.createTempDirectory("plantainknot-tls");
    makeKey("ours");
    makeKey("theirs");
  }

  @DataProvider
  Object[][] keys() {
    return new Object[][] {
      {"ours", "ours", true},
      {"ours", "theirs", false},
      {"ours", null, false},
      {null, null, true},
    };
  }

  @Test(dataProvider = "keys")
  void membersAreLinkedOnlyIfEachTrustsTheOther(String firstKey, String secondKey, boolean linked)
      throws InterruptedException {
    SortedMap<String, HostPort> members = new TreeMap<>();
    members.put("n1", new HostPort(HOST, port++));
    members.put("n2", new HostPort(HOST, port++));
    CountDownLatch linkedEnds = new CountDownLatch(2);
    try (MemberLinks one = createLinks("n1", members, firstKey, linkedEnds);
        MemberLinks two = createLinks("n2", members, secondKey, linkedEnds)) {
      one.start(HOST, members.get("n1").port());
      two.start(HOST, members.get("n2").port());
      assertEquals(linkedEnds.await(linked ? 10 : 2, TimeUnit.SECONDS), linked);
    }
  }

  private MemberLinks createLinks(
      String node, SortedMap<String, HostPort> members, String key, CountDownLatch linkedEnds) {
    FrameListener listener =
        new FrameListener() {
          @Override
          public void onLinked(MemberId peer, String address) {
            linkedEnds.countDown();
          }

          @Override
          public void onFrame(MemberId sender, FrameProto frame) {}
        };
    return new MemberLinks(new MemberId(node, "i"), node + "-p", members, keysOf(key), listener);
  }

  private Optional<TlsKeys> keysOf(String key) {
    DaemonSettings.Builder settings = DaemonSettings.builder();
    if (key != null) {
      String store = folder.resolve(key + ".p12").toString();
      settings.value(SettingKey.TLS_KEY_STORE, store);
      settings.value(SettingKey.TLS_TRUST_STORE, store);
      settings.value(SettingKey.TLS_PASSWORD, PASSWORD);
    }
    return TlsKeys.of(settings.build());
  }

  private void makeKey(String name) throws IOException, InterruptedException {
    Path keytool = Path.of(System.getProperty("java.home"), "bin", "keytool");
    Process process =
        new ProcessBuilder(
                keytool.toString(),
                "-genkeypair",
                "-alias",
                name,
                "-keyalg",
                "EC",
                "-dname",
                "CN=" + name,
                "-validity",
                "3650",
                "-storetype",
                "PKCS12",
                "-keystore",
                folder.resolve(name + ".p12").toString(),
                "-storepass",
                PASSWORD)
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve(name + ".log").toFile())
            .start();
    assertEquals(process.waitFor(), 0);
  }
}
