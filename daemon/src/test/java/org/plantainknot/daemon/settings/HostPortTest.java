package org.plantainknot.daemon.settings;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests addresses of members, which come from their greetings and directories. */
public class HostPortTest {

  @DataProvider
  Object[][] oddAddresses() {
    return new Object[][] {
      {"10.0.0.9:0"},
      {"10.0.0.9:65536"},
      {"10.0.0.9:-1"},
      {"10.0.0.9:1" + "0".repeat(5_000)},
      {"[".repeat(200_000) + ":80"},
      {":80"},
      {"10.0.0.9"},
    };
  }

  /** Guards against a member that ends, or dials nowhere, because of one odd address. */
  @Test(dataProvider = "oddAddresses")
  void anOddAddressIsLeftOut(String text) {
    assertEquals(HostPort.parse(text), Optional.empty());
  }

  @Test
  void anIpAddressAndAPortAreAccepted() {
    assertEquals(HostPort.parse("10.0.0.9:80"), Optional.of(new HostPort("10.0.0.9", 80)));
  }
}
