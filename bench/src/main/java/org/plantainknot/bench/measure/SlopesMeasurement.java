package org.plantainknot.bench.measure;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.plantainknot.core.claim.Claim;
import org.plantainknot.core.claim.ClaimKey;
import org.plantainknot.core.claim.ClaimOutcome;
import org.plantainknot.core.control.Command;
import org.plantainknot.core.control.ControlState;
import org.plantainknot.core.fleet.Announcement;
import org.plantainknot.core.fleet.FailureDomain;
import org.plantainknot.core.rollout.WavePlanner;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.core.ticket.Ticket.PoolState;
import org.plantainknot.core.ticket.Ticket.ServiceState;
import org.plantainknot.core.ticket.Ticket.VmState;
import org.plantainknot.core.ticket.Ticket.Wave;
import org.plantainknot.daemon.control.StateCodec;
import org.plantainknot.wire.member.LeaseRequestProto;
import org.plantainknot.wire.member.SightingProto;

/** Measures how the state, messages, processor time and planning grow with the number of VMs. */
final class SlopesMeasurement {

  private static final int[] SIZES = {35, 350, 2_400};
  private static final int VMS_PER_POOL = 10;
  private static final int ROUNDS = 30;
  private static final int COMMANDS = 20_000;
  private static final int RENEWALS_PER_VM_AND_SECOND = 1;
  private static final double LEASES_PER_SECOND = 3.5;
  private static final int DUTIES_PER_SECOND = 50;

  private final long seed;

  SlopesMeasurement(long seed) {
    this.seed = seed;
  }

  ObjectNode run() {
    ObjectNode figures = Measurement.figures();
    figures.put("measurement", "slopes").put("seed", seed).put("source", "core, in process");
    ArrayNode sizes = figures.putArray("sizes");
    for (int vms : SIZES) {
      measure(vms);
      sizes.add(measure(vms));
    }
    return figures;
  }

  private static ObjectNode measure(int vms) {
    WaveSimulation simulation = new WaveSimulation(initialTicket(vms), announcementByVm(vms));
    ControlState state = simulation.state();
    ObjectNode figures = Measurement.figures();
    figures.put("vms", vms);
    figures.put("state_bytes", StateCodec.encode(state.image()).length);
    figures.put("snapshot_millis", millisOf(ROUNDS, () -> StateCodec.encode(state.image())));
    figures.put("lease_request_bytes", leaseRequestBytes(vms));
    figures.put("lease_bytes_per_second", Math.round(leaseRequestBytes(vms) * LEASES_PER_SECOND));
    figures.put("announce_command_bytes", StateCodec.encode(announce(0, 1)).length);
    figures.put("apply_announce_micros", microsPerAnnounce(state, vms));
    figures.put("claim_bytes", claimBytes());
    simulation.runUntil(simulation::isComplete, 10_000);
    double idleMillis = millisOf(ROUNDS, simulation::duties);
    figures.put("idle_duties_millis", idleMillis);
    figures.put("processor_micros_per_second", Math.round(idleMillis * 1_000 * DUTIES_PER_SECOND));
    simulation.fileAndApprove(waveTicket(vms));
    figures.put("planning_millis", planningMillis(simulation));
    return figures;
  }

  private static double planningMillis(WaveSimulation simulation) {
    simulation.runUntil(() -> false, 500);
    WavePlanner planner = new WavePlanner(simulation.state().fleet(), vm -> 0);
    return millisOf(ROUNDS, planner::next);
  }

  private static double microsPerAnnounce(ControlState state, int vms) {
    long startNanos = System.nanoTime();
    for (int i = 0; i < COMMANDS; i++) {
      state.apply(state.appliedIndex() + 1, 0, "c" + i, announce(i % vms, i));
    }
    return Math.round((System.nanoTime() - startNanos) / 10.0 / COMMANDS) / 100.0;
  }

  /** Returns the size of the lease request of one of six gateways, with a sixth of the renewals. */
  private static int leaseRequestBytes(int vms) {
    LeaseRequestProto.Builder request =
        LeaseRequestProto.newBuilder()
            .setSequence(100_000)
            .setProcess("n1-12345678")
            .setAppliedIndex(10_000_000)
            .setSharesVersion(1_000);
    int renewals = (int) Math.ceil(vms * RENEWALS_PER_VM_AND_SECOND / LEASES_PER_SECOND / 6);
    for (int i = 0; i < renewals; i++) {
      request.addSightings(SightingProto.newBuilder().setVm(vmName(i)).setInstance("12345678"));
    }
    return request.build().getSerializedSize();
  }

  private static int claimBytes() {
    Claim claim =
        new Claim(
            new ClaimKey("counter-12", "0123456789abcdef"),
            "0".repeat(64),
            1_800_000_000_000L,
            "n1-12345678",
            "0".repeat(36),
            ClaimOutcome.OPEN,
            null);
    return StateCodec.encode(new Command.OpenClaim(claim)).length;
  }

  /** Returns the shortest time of a task, in milliseconds, over a number of rounds. */
  static double millisOf(int rounds, Runnable task) {
    long shortestNanos = Long.MAX_VALUE;
    for (int i = 0; i < rounds; i++) {
      long startNanos = System.nanoTime();
      task.run();
      shortestNanos = Math.min(shortestNanos, System.nanoTime() - startNanos);
    }
    return Math.round(shortestNanos / 1_000.0) / 1_000.0;
  }

  private static Command.Announce announce(int index, int instanceNumber) {
    return new Command.Announce(vmName(index), announcement(index, instanceNumber));
  }

  private static Map<String, Announcement> announcementByVm(int vms) {
    Map<String, Announcement> announcements = new HashMap<>();
    for (int i = 0; i < vms; i++) {
      announcements.put(vmName(i), announcement(i, 0));
    }
    return announcements;
  }

  private static Announcement announcement(int index, int instanceNumber) {
    return new Announcement(
        "instance" + instanceNumber,
        "10.0." + index / 250 + "." + index % 250,
        8_080,
        "dc" + index % 5,
        "r" + index / 20,
        8,
        64);
  }

  private static Ticket initialTicket(int vms) {
    int pools = Math.max(5, vms / VMS_PER_POOL);
    List<PoolState> poolStates = new ArrayList<>();
    List<ServiceState> services = new ArrayList<>();
    List<VmState> vmStates = new ArrayList<>();
    for (int p = 0; p < pools; p++) {
      poolStates.add(new PoolState("pool" + p));
      services.add(new ServiceState("service" + p, "pool" + p, 4, FailureDomain.RACK, null));
    }
    for (int i = 0; i < vms; i++) {
      vmStates.add(new VmState(vmName(i), "pool" + i % pools));
    }
    return new Ticket(1, Ticket.ON_APPROVAL, "site", poolStates, services, vmStates, null);
  }

  private static Ticket waveTicket(int vms) {
    int pools = Math.max(5, vms / VMS_PER_POOL);
    List<Wave> waves = new ArrayList<>();
    for (int p = 0; p < pools; p++) {
      waves.add(new Wave("pool" + p));
    }
    return new Ticket(2, Ticket.ON_APPROVAL, "wave", null, null, null, waves);
  }

  private static String vmName(int index) {
    return String.format("vm%05d", index);
  }
}
