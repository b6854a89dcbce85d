package org.plantainknot.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.plantainknot.daemon.control.StateCodec;
import org.plantainknot.daemon.operator.FormBody;
import org.plantainknot.daemon.operator.MessageBody;
import org.plantainknot.daemon.settings.SettingsReader;

/** Commands of the tool. */
enum CtlCommand {
  /** Files a ticket. */
  FILE("TICKET-FILE", "file a ticket", true) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      return client.post("/tickets", TicketFile.read(Path.of(arguments.get(0))));
    }
  },
  /** Approves a ticket. */
  APPROVE("NUMBER", "approve a filed ticket; this can't be taken back", true) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      return client.post("/tickets/" + numberOf(arguments) + "/approve", Map.of());
    }
  },
  /** Withdraws a ticket. */
  WITHDRAW("NUMBER", "withdraw a filed ticket that is not approved", true) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      return client.post("/tickets/" + numberOf(arguments) + "/withdraw", Map.of());
    }
  },
  /** Shows a ticket. */
  SHOW("NUMBER", "show a ticket and where it stands", true) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      return client.get("/tickets/" + numberOf(arguments));
    }
  },
  /** Lists the tickets. */
  LIST("", "list all tickets", true) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      return client.get("/tickets");
    }
  },
  /** Shows an overview. */
  STATUS("", "show services, budgets and what is being waited for", true) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      return client.get("/status");
    }
  },
  /** Dumps the state of the first entry VM that answers. */
  DUMP("", "dump the whole state of the first entry VM named", true) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      return client.get("/dump");
    }
  },
  /** Forms a new cluster. */
  FORM("NODE...", "form a new cluster of the voters named; only ever once", true) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      return client.post("/cluster/form", new FormBody(arguments));
    }
  },
  /** Replaces the disk of a voter. */
  REPLACE_VOTER("NODE", "let a voter's new disk take the place of the lost one", true) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      return client.post("/cluster/voters/" + arguments.get(0) + "/replace", Map.of());
    }
  },
  /** Checks a settings file without any daemon. */
  CHECK_SETTINGS("FILE", "check a daemon's settings file", false) {
    @Override
    JsonNode run(EntryClient client, List<String> arguments) {
      SettingsReader.read(Path.of(arguments.get(0)));
      return StateCodec.json().valueToTree(new MessageBody("settings are valid"));
    }
  };

  private final String argument;
  private final String meaning;
  private final boolean remote;

  CtlCommand(String argument, String meaning, boolean remote) {
    this.argument = argument;
    this.meaning = meaning;
    this.remote = remote;
  }

  static Optional<CtlCommand> parse(String name) {
    return Arrays.stream(values()).filter(command -> command.title().equals(name)).findFirst();
  }

  abstract JsonNode run(EntryClient client, List<String> arguments);

  boolean isRemote() {
    return remote;
  }

  String title() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  String usage() {
    return String.format("  %-28s %s", title() + " " + argument, meaning);
  }

  void checkArguments(List<String> arguments) {
    boolean many = argument.endsWith("...");
    int needed = argument.isEmpty() ? 0 : 1;
    if (arguments.size() < needed || (!many && arguments.size() > needed)) {
      throw new CtlException(ExitCode.USAGE, "usage: plantainknotctl " + title() + " " + argument);
    }
  }

  private static long numberOf(List<String> arguments) {
    try {
      return Long.parseLong(arguments.get(0));
    } catch (NumberFormatException e) {
      throw new CtlException(
          ExitCode.USAGE, "'" + arguments.get(0) + "' is not the number of a ticket");
    }
  }
}
