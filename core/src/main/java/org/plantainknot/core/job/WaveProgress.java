package org.plantainknot.core.job;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/** Progress of a maintenance wave. */
public final class WaveProgress {

  /** Phase of a machine of the wave. */
  public enum MachinePhase {
    /** The maintenance has not been ordered yet. */
    DUE,
    /** The order was committed and may have been sent. */
    ORDERED,
    /** The platform has accepted the order, or the machine no longer exists. */
    BEGUN
  }

  /**
   * Copy of the progress for snapshots.
   *
   * @param wave the wave
   * @param startedAtMillis start time of the wave on the replicated log's clock
   * @param phases phase of each machine by its name
   */
  public record Image(
      MaintenanceWave wave, long startedAtMillis, SortedMap<String, MachinePhase> phases) {}

  private final MaintenanceWave wave;
  private final long startedAtMillis;
  private final SortedMap<String, MachinePhase> phases = new TreeMap<>();

  WaveProgress(MaintenanceWave wave, long startedAtMillis) {
    this.wave = wave;
    this.startedAtMillis = startedAtMillis;
    wave.machines().forEach(machine -> phases.put(machine, MachinePhase.DUE));
  }

  static WaveProgress restore(Image image) {
    WaveProgress progress = new WaveProgress(image.wave(), image.startedAtMillis());
    progress.phases.putAll(image.phases());
    return progress;
  }

  /** Returns the wave. */
  public MaintenanceWave wave() {
    return wave;
  }

  /** Returns the start time of the wave on the replicated log's clock. */
  public long startedAtMillis() {
    return startedAtMillis;
  }

  /** Returns the names of the machines in the given phase. */
  public List<String> machines(MachinePhase phase) {
    return phases.keySet().stream().filter(m -> phases.get(m) == phase).toList();
  }

  /** Returns whether the maintenance of every machine has begun. */
  public boolean isCompleted() {
    return phases.values().stream().allMatch(phase -> phase == MachinePhase.BEGUN);
  }

  boolean transition(String machine, MachinePhase from, MachinePhase to) {
    return phases.replace(machine, from, to);
  }

  Image image() {
    return new Image(wave, startedAtMillis, new TreeMap<>(phases));
  }
}
