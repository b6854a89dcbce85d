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
import org.plantainknot.bench.standin.PlatformStandIn;
import org.plantainknot.bench.standin.RunLog;
import org.plantainknot.bench.standin.TargetLocation;
import org.plantainknot.bench.standin.TargetStandIn;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.core.ticket.Ticket.VmState;
import org.plantainknot.core.ticket.Ticket.Wave;

/**
 * Runs a site on this machine through a flood, VM moves, a maintenance wave and the loss of the
 * leader, and reports which guarantees held.
 */
public final class Demo {

  private static final String HOST = "127.0.0.1";
  private static final SiteLayout SITE = SiteLayout.HOWRAH;
  private static final long MEAN_SERVICE_MILLIS = 200;
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
  private final RunLog runLog = new RunLog();
  private final List<TargetStandIn> targets = new ArrayList<>();
  private final CallerLoad load;
  private final DemoLoad demoLoad;
  private final BudgetMonitor budgetMonitor;
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
    this.demoLoad = new DemoLoad(load, SITE.services(), options.seed());
    this.budgetMonitor = new BudgetMonitor(operator);
    startStandIns(platformPort);
  }

  /** Runs the demo and exits with 0 if every guarantee held. */
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
        return demo.runScenario();
      } finally {
        demo.cluster.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private boolean runScenario() {
    DemoReport report = new DemoReport(load, runLog, budgetMonitor);
    printStep("starting 6 daemons; logs are in " + folder);
    cluster.start();
    report.check("cluster formed", formCluster());
    enactWithCtl(report, SITE.initialTicket(1001));
    report.check("all services up", OperatorClient.await(10_000, budgetMonitor::allAboveBudget));
    budgetMonitor.start();
    printStep("sending steady load to 5 services");
    demoLoad.start();
    OperatorClient.sleep(4_000);
    printStep("flooding licensing with bulk requests, at five times its mean rate");
    demoLoad.setFlooded("licensing", true);
    printStep("ticket 1002 moves two VMs from office-pool to gate-certificates-pool");
    Ticket move = moveTicket();
    enactWithCtl(report, move);
    OperatorClient.sleep(4_000);
    demoLoad.setFlooded("licensing", false);
    printStep("ticket 1003 orders a maintenance wave over the whole fleet");
    enactWithCtl(report, waveTicket());
    OperatorClient.sleep(2_500);
    killLeader(report);
    report.check("moves complete", awaitStatus(1002, "COMPLETE", 25_000));
    report.check("wave complete", awaitStatus(1003, "COMPLETE", 30_000));
    demoLoad.stop();
    report.check("all callers answered", OperatorClient.await(5_000, () -> load.open() == 0));
    report.checkMoves(move.vms().size(), movedVms(move));
    report.checkReboots(SITE.vms(), platform.reboots());
    return report.print(System.out);
  }

  private void startStandIns(int platformPort) {
    List<TargetLocation> locations = SITE.targetLocations(HOST, platformPort + 1);
    long seed = options.seed();
    for (TargetLocation location : locations) {
      targets.add(
          new TargetStandIn(
              vertx, location, cluster.callerAddresses(), runLog, MEAN_SERVICE_MILLIS, seed++));
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
  private void enactWithCtl(DemoReport report, Ticket ticket) {
    CtlProcess ctl = new CtlProcess(options.root(), cluster.operatorAddresses());
    Path file = CtlProcess.writeTicket(folder, ticket);
    boolean filed = ctl.run("file", file.toString());
    boolean approved = ctl.run("approve", Long.toString(ticket.number()));
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
                report.checkInForceTime(
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
    report.check("leader found before the kill", !leader.isEmpty());
    printStep("killing the leader, " + leader);
    long killedAt = System.nanoTime();
    cluster.process(leader).kill();
    boolean elected =
        OperatorClient.await(
            8_000, () -> !operator.leader().isEmpty() && !operator.leader().equals(leader));
    report.check("new leader elected", elected);
    report.checkFailover((System.nanoTime() - killedAt) / 1_000_000);
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
                for (JsonNode dumpedVm : dump.path("vms")) {
                  boolean inDesiredPool =
                      dumpedVm.path("name").asText().equals(vm.name())
                          && dumpedVm.path("pool").asText().equals(vm.pool());
                  moved += inDesiredPool ? 1 : 0;
                }
              }
              return moved;
            })
        .orElse(-1L);
  }

  private static void printStep(String text) {
    System.out.println(text);
  }
}
