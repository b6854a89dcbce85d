package org.plantainknot.bench.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.plantainknot.bench.cluster.Cluster;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.daemon.control.StateCodec;
import org.plantainknot.daemon.settings.HostPort;

/** Runs {@code plantainknotctl} in a separate process. */
final class CtlProcess {

  private final Path root;
  private final String entries;

  CtlProcess(Path root, List<HostPort> entries) {
    this.root = root;
    this.entries = entries.stream().map(HostPort::toString).collect(Collectors.joining(","));
  }

  static Path writeTicket(Path folder, Ticket ticket) {
    Path file = folder.resolve("ticket-" + ticket.number() + ".json");
    try {
      return Files.write(file, StateCodec.json().writeValueAsBytes(ticket));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Runs a command and returns whether it succeeded. Its output goes to the console. */
  boolean run(String... arguments) {
    List<String> command = new ArrayList<>();
    command.add(root.resolve("bin/plantainknotctl").toString());
    command.addAll(List.of("--entries", entries));
    command.addAll(List.of(arguments));
    ProcessBuilder builder = new ProcessBuilder(command).inheritIO();
    builder.environment().put("PLANTAINKNOT_TOKEN", Cluster.TOKEN);
    try {
      return builder.start().waitFor() == 0;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
