package org.plantainknot.bench.cluster;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.plantainknot.bench.standin.SwitchableLink;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.core.ticket.Ticket.VmState;
import org.plantainknot.daemon.settings.HostPort;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests daemons whose network links drop all traffic without closing the connections. */
public class SilentLinkTest {

  private static int port = 28_000;

  private ClusterFixture fixture;
  private SwitchableLink leaderLink;
  private SwitchableLink gatewayLink;

  @BeforeMethod
  void start() {
    fixture = new ClusterFixture(port);
    leaderLink = linkTo("n1", port + 50);
    gatewayLink = linkTo("n6", port + 51);
    port += 60;
    fixture.start();
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    fixture.close();
  }

  @Test
  void aPartitionedGatewayAcceptsNoWorkAndDoesNotBlockTickets() {
    gatewayLink.dropTraffic(true);
    assertTrue(fixture.operator.fileAndApprove(moveTicket(2)), "ticket 2 approved");
    assertTrue(
        OperatorClient.await(
            5_000,
            () -> List.of("IN_FORCE", "COMPLETE").contains(fixture.operator.ticketStatus(2))),
        "ticket 2 in force within 5 s");
    NodeLayout partitioned = fixture.cluster.nodes().get(5);
    assertTrue(
        OperatorClient.await(2_500, () -> fixture.balancer.healthyCount() == 5),
        "the balancer drops the partitioned gateway");
    assertFalse(
        fixture.operator.get(partitioned.operator(), "/tickets/2").isPresent(),
        "the partitioned gateway must not serve stale state");
    fixture.sendFor(1_000, 100);
    fixture.awaitAnswers();
    fixture.checkGuarantees();
    gatewayLink.dropTraffic(false);
    fixture.awaitGatewaysReady(6);
  }

  @Test
  void connectionsSilentlyDroppedByAnIntermediaryAreReplacedWhileNewOnesWork() {
    leaderLink.dropTrafficOnOpenConnections();
    gatewayLink.dropTrafficOnOpenConnections();
    assertTrue(
        OperatorClient.await(8_000, () -> fixture.operator.fileAndApprove(moveTicket(2))),
        "ticket 2 approved");
    fixture.awaitGatewaysReady(6);
    fixture.sendFor(500, 100);
    fixture.awaitAnswers();
    fixture.checkGuarantees();
  }

  private SwitchableLink linkTo(String node, int linkPort) {
    HostPort linkAddress = new HostPort(ClusterFixture.HOST, linkPort);
    HostPort memberAddress =
        fixture.cluster.nodes().stream()
            .filter(n -> n.name().equals(node))
            .map(NodeLayout::member)
            .findFirst()
            .get();
    fixture.cluster.setMemberAddress(node, linkAddress);
    return new SwitchableLink(fixture.vertx, linkAddress, memberAddress);
  }

  private static Ticket moveTicket(long number) {
    List<VmState> vms = List.of(new VmState(SiteLayout.vmName(1), SiteLayout.poolOf("gate")));
    return new Ticket(number, Ticket.ON_APPROVAL, "move", null, null, vms, null);
  }
}
