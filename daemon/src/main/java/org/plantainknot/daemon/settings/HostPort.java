package org.plantainknot.daemon.settings;

import java.util.Optional;

/**
 * IP address and port of a listener.
 *
 * @param host IPv4 or IPv6 address
 * @param port port number
 */
public record HostPort(String host, int port) {

  /** Parses {@code host:port}; returns empty if the text isn't an IP address and a port. */
  public static Optional<HostPort> parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      return Optional.empty();
    }
    String host = text.substring(0, colon);
    String port = text.substring(colon + 1);
    boolean valid = ValueKind.HOST.allows(host, 0, 0) && ValueKind.NUMBER.allows(port, 1, 65_535);
    return valid ? Optional.of(new HostPort(host, Integer.parseInt(port))) : Optional.empty();
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
