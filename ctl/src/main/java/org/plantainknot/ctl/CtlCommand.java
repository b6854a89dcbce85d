package org.plantainknot.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.plantainknot.daemon.control.StateCodec;
import org.plantainknot.daemon.operator.FormClusterBody;
import org.plantainknot.daemon.operator.MessageBody;
import org.plantainknot.daemon.settings.SettingsReader;

/** Subcommands of {@code plantainknotctl}. */
enum CtlCommand {
  /** Files a ticket. */
  FILE("TICKET-FILE", "file a ticket", true) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      return client.post("/tickets", TicketFile.read(Path.of(arguments.get(0))));
    }
  },
  /** Approves a ticket. */
  APPROVE("NUMBER", "approve a filed ticket; this can't be undone", true) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      return client.post("/tickets/" + ticketNumber(arguments) + "/approve", Map.of());
    }
  },
  /** Withdraws a ticket. */
  WITHDRAW("NUMBER", "withdraw a filed ticket that is not approved", true) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      return client.post("/tickets/" + ticketNumber(arguments) + "/withdraw", Map.of());
    }
  },
  /** Shows a ticket. */
  SHOW("NUMBER", "show a ticket and its status", true) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      return client.get("/tickets/" + ticketNumber(arguments));
    }
  },
  /** Lists the tickets. */
  LIST("", "list all tickets", true) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      return client.get("/tickets");
    }
  },
  /** Shows services, their budgets and what the leader waits for. */
  STATUS("", "show services, budgets and what the leader waits for", true) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      return client.get("/status");
    }
  },
  /** Dumps the state of the first entry VM that responds. */
  DUMP("", "dump the full state of the first entry VM that responds", true) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      return client.get("/dump");
    }
  },
  /** Forms a new cluster. */
  FORM("NODE...", "form a new cluster of the named voters; can be done only once", true) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      return client.post("/cluster/form", new FormClusterBody(arguments));
    }
  },
  /** Replaces a voter that lost its disk by the same node with a new disk. */
  REPLACE_VOTER("NODE", "readmit a voter that lost its disk, with its new disk", true) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      return client.post("/cluster/voters/" + arguments.get(0) + "/replace", Map.of());
    }
  },
  /** Checks a daemon's settings file locally, without contacting a daemon. */
  CHECK_SETTINGS("FILE", "check a daemon's settings file", false) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      SettingsReader.read(Path.of(arguments.get(0)));
      return StateCodec.json().valueToTree(new MessageBody("settings are valid"));
    }
  };

  private final String argumentSyntax;
  private final String description;
  private final boolean remote;

  CtlCommand(String argumentSyntax, String description, boolean remote) {
    this.argumentSyntax = argumentSyntax;
    this.description = description;
    this.remote = remote;
  }

  static Optional<CtlCommand> parse(String name) {
    return Arrays.stream(values())
        .filter(command -> command.commandName().equals(name))
        .findFirst();
  }

  abstract JsonNode run(EntryClient client, List<String> arguments);

  boolean isRemote() {
    return remote;
  }

  String commandName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  String usage() {
    return String.format("  %-28s %s", commandName() + " " + argumentSyntax, description);
  }

  void checkArguments(List<String> arguments) {
    boolean variadic = argumentSyntax.endsWith("...");
    int required = argumentSyntax.isEmpty() ? 0 : 1;
    if (arguments.size() < required || (!variadic && arguments.size() > required)) {
      throw new CtlException(
          ExitCode.USAGE, "usage: plantainknotctl " + commandName() + " " + argumentSyntax);
    }
  }

  private static long ticketNumber(List<String> arguments) {
    try {
      return Long.parseLong(arguments.get(0));
    } catch (NumberFormatException e) {
      throw new CtlException(ExitCode.USAGE, "'" + arguments.get(0) + "' is not a ticket number");
    }
  }
}
