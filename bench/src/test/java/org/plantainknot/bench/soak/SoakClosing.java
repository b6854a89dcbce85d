package org.plantainknot.bench.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/** Final fault of a soak, which strikes right after a configuration was acknowledged. */
enum SoakClosing {
  /** All controllers are killed at once. */
  KILL_CONTROLLERS(false, false),
  /** All processes are killed at once. */
  KILL_ALL(true, false),
  /**
   * All controllers are killed at once, and as many as the cluster tolerates lose their disks: the
   * one that acknowledged the configuration and others.
   */
  WIPE_AFTER_ACKNOWLEDGEMENT(false, true),
  /** The same, and all gateways are killed with them. */
  WIPE_AND_KILL_ALL(true, true);

  private static final long MIN_DOWN_MILLIS = 300;
  private static final long MAX_DOWN_MILLIS = 1_600;

  private final boolean killsGateways;
  private final boolean wipesDisks;

  SoakClosing(boolean killsGateways, boolean wipesDisks) {
    this.killsGateways = killsGateways;
    this.wipesDisks = wipesDisks;
  }

  /**
   * Strikes, and starts all processes again.
   *
   * @param acknowledgedBy controller that acknowledged the latest configuration
   */
  void strike(SoakCluster cluster, String acknowledgedBy, SplittableRandom random) {
    List<String> nodes = new ArrayList<>(cluster.controllers());
    if (killsGateways) {
      nodes.addAll(cluster.gateways());
    }
    nodes.forEach(node -> cluster.process(node).kill());
    if (wipesDisks) {
      wipedNodes(cluster, acknowledgedBy, random).forEach(cluster::wipe);
    }
    SoakCaller.pause(random.nextLong(MIN_DOWN_MILLIS, MAX_DOWN_MILLIS));
    nodes.forEach(cluster::startAgain);
  }

  private static List<String> wipedNodes(
      SoakCluster cluster, String acknowledgedBy, SplittableRandom random) {
    List<String> others = new ArrayList<>(cluster.controllers());
    others.remove(acknowledgedBy);
    Collections.shuffle(others, new java.util.Random(random.nextLong()));
    List<String> wiped = new ArrayList<>(List.of(acknowledgedBy));
    wiped.addAll(others.subList(0, cluster.tolerableLosses() - 1));
    return wiped;
  }
}
