package org.plantainknot.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.plantainknot.bench.cluster.Cluster;
import org.plantainknot.bench.cluster.OperatorClient;
import org.plantainknot.bench.cluster.SiteLayout;
import org.plantainknot.bench.load.Balancer;
import org.plantainknot.bench.load.CallerLoad;
import org.plantainknot.bench.standin.Ledger;
import org.plantainknot.bench.standin.PlatformStandIn;
import org.plantainknot.bench.standin.TargetPlace;
import org.plantainknot.bench.standin.TargetStandIn;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.core.ticket.Ticket.VmState;
import org.plantainknot.core.ticket.Ticket.Wave;

/** Runs the main job of a site on this machine and reports which promises held. */
public final class Demo {

  private static final String HOST = "127.0.0.1";
  private static final SiteLayout SITE = SiteLayout.HOWRAH;
  private static final long SERVICE_MILLIS = 200;
  private static final long DEADLINE_MILLIS = 2_000;
  private static final long REBOOT_MILLIS = 1_000;
  private static final long REQUEST_MAX_MILLIS = 3_000;
  private static final int EXIT_BROKEN = 1;
  private static final int EXIT_USAGE = 2;

  private final DemoOptions options;
  private final Path folder;
  private final Vertx vertx = Vertx.vertx();
  private final Cluster cluster;
  private final OperatorClient operator;
  private final Ledger ledger = new Ledger();
  private final List<TargetStandIn> targets = new ArrayList<>();
  private final CallerLoad load;
  private final DemoLoad demand;
  private final BudgetWatch budgets;
  private PlatformStandIn platform;

  private Demo(DemoOptions options) throws IOException {
    this.options = options;
    this.folder = Files.createTempDirectory("plantainknot-demo");
    int platformPort = options.port() + 40;
    this.cluster =
        new Cluster(
            folder,
            options.port(),
            Map.of(
                "platform.host",
                HOST,
                "platform.port",
                Integer.toString(platformPort),
                "platform.pollMillis",
                "100",
                "limits.requestMaxMillis",
                Long.toString(REQUEST_MAX_MILLIS)));
    this.operator = new OperatorClient(cluster.operatorAddresses());
    Balancer balancer = new Balancer(vertx, cluster.callerAddresses());
    this.load = new CallerLoad(vertx, balancer, DEADLINE_MILLIS, options.seed());
    this.demand = new DemoLoad(load, SITE.services(), options.seed());
    this.budgets = new BudgetWatch(operator);
    startStandIns(platformPort);
  }

  /** Runs the demo and exits with 0 if every promise held. */
  public static void main(String[] args) {
    Logger.getLogger("").setLevel(Level.WARNING);
    DemoOptions options = new DemoOptions();
    try {
      new CmdLineParser(options).parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      System.exit(EXIT_USAGE);
    }
    System.exit(run(options) ? 0 : EXIT_BROKEN);
  }

  private static boolean run(DemoOptions options) {
    try {
      Demo demo = new Demo(options);
      try {
        return demo.perform();
      } finally {
        demo.cluster.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private boolean perform() {
    DemoReport report = new DemoReport(load, ledger, budgets);
    say("starting 6 daemons; logs are in " + folder);
    cluster.start();
    report.check("cluster formed", formCluster());
    enactByTool(report, SITE.initialTicket(1001));
    report.check("all services up", OperatorClient.await(10_000, budgets::allServed));
    budgets.start();
    say("steady demand on 5 services");
    demand.start();
    OperatorClient.sleep(4_000);
    say("flood of bulk work on licensing, at five times its mean");
    demand.flood("licensing", true);
    say("ticket 1002 moves two VMs from the office to the gate");
    Ticket move = moveTicket();
    enactByTool(report, move);
    OperatorClient.sleep(4_000);
    demand.flood("licensing", false);
    say("ticket 1003 orders a maintenance wave over the whole fleet");
    enactByTool(report, waveTicket());
    OperatorClient.sleep(2_500);
    killLeader(report);
    report.check("moves complete", awaitStatus(1002, "COMPLETE", 25_000));
    report.check("wave complete", awaitStatus(1003, "COMPLETE", 30_000));
    demand.stop();
    report.check("callers answered", OperatorClient.await(5_000, () -> load.open() == 0));
    report.moves(move.vms().size(), movedVms(move));
    report.reboots(SITE.vms(), platform.reboots());
    return report.print(System.out);
  }

  private void startStandIns(int platformPort) {
    List<TargetPlace> places = SITE.places(HOST, platformPort + 1);
    long seed = options.seed();
    for (TargetPlace place : places) {
      targets.add(
          new TargetStandIn(
              vertx, place, cluster.callerAddresses(), ledger, SERVICE_MILLIS, seed++));
    }
    targets.forEach(TargetStandIn::start);
    platform = new PlatformStandIn(vertx, targets, REBOOT_MILLIS);
    platform.start(HOST, platformPort);
  }

  private boolean formCluster() {
    Map<String, Object> body = Map.of("voters", cluster.voters());
    return OperatorClient.await(
            10_000,
            () -> operator.post(cluster.nodes().get(0).operator(), "/cluster/form", body) == 200)
        && OperatorClient.await(10_000, () -> !operator.leader().isEmpty());
  }

  /** Files and approves a ticket with the command-line tool, as an operator would. */
  private void enactByTool(DemoReport report, Ticket ticket) {
    CtlProcess tool = new CtlProcess(options.root(), cluster.operatorAddresses());
    Path file = CtlProcess.writeTicket(folder, ticket);
    boolean filed = tool.run("file", file.toString());
    boolean approved = tool.run("approve", Long.toString(ticket.number()));
    report.check("ticket " + ticket.number() + " approved", filed && approved);
    boolean inForce =
        OperatorClient.await(
            5_000,
            () -> List.of("IN_FORCE", "COMPLETE").contains(operator.ticketStatus(ticket.number())));
    report.check("ticket " + ticket.number() + " in force", inForce);
    operator
        .getAny("/tickets/" + ticket.number())
        .ifPresent(
            t ->
                report.inForce(
                    ticket.number(),
                    t.path("inForceAtMillis").asLong() - t.path("approvedAtMillis").asLong()));
  }

  private Ticket moveTicket() {
    String gate = SiteLayout.poolOf("gate-certificates");
    List<VmState> moves =
        List.of(new VmState(SiteLayout.vmName(4), gate), new VmState(SiteLayout.vmName(9), gate));
    return new Ticket(
        1002, Ticket.ON_APPROVAL, "two more VMs for the gate", null, null, moves, null);
  }

  private Ticket waveTicket() {
    List<Wave> waves = SITE.services().stream().map(SiteLayout::poolOf).map(Wave::new).toList();
    return new Ticket(1003, Ticket.ON_APPROVAL, "monthly wave", null, null, null, waves);
  }

  private void killLeader(DemoReport report) {
    String leader = operator.leader();
    report.check("a leader to kill", !leader.isEmpty());
    say("killing the leader, " + leader);
    long killedAt = System.nanoTime();
    cluster.process(leader).kill();
    boolean elected =
        OperatorClient.await(
            8_000, () -> !operator.leader().isEmpty() && !operator.leader().equals(leader));
    report.check("another leader", elected);
    report.failover((System.nanoTime() - killedAt) / 1_000_000);
    cluster.start(leader);
  }

  private boolean awaitStatus(long number, String status, long timeoutMillis) {
    return OperatorClient.await(
        timeoutMillis,
        () -> {
          OperatorClient.sleep(100);
          return operator.ticketStatus(number).equals(status);
        });
  }

  private long movedVms(Ticket move) {
    return operator
        .getAny("/dump")
        .map(
            dump -> {
              long moved = 0;
              for (VmState vm : move.vms()) {
                for (JsonNode held : dump.path("vms")) {
                  boolean arrived =
                      held.path("name").asText().equals(vm.name())
                          && held.path("pool").asText().equals(vm.pool());
                  moved += arrived ? 1 : 0;
                }
              }
              return moved;
            })
        .orElse(-1L);
  }

  private static void say(String text) {
    System.out.println(text);
  }
}
