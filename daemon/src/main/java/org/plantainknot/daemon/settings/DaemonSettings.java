package org.plantainknot.daemon.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.plantainknot.core.claim.ClaimLimits;
import org.plantainknot.core.lease.LeaseTiming;
import org.plantainknot.core.rollout.RolloutTiming;

/** Checked settings of a daemon. */
public final class DaemonSettings {

  private final Map<SettingKey, String> values;
  private final SortedMap<String, HostPort> members;
  private final List<OperatorToken> operators;

  private DaemonSettings(Builder builder) {
    this.values = new EnumMap<>(builder.values);
    this.members = new TreeMap<>(builder.members);
    this.operators = List.copyOf(builder.operators);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns a value as text. */
  public String text(SettingKey key) {
    return values.getOrDefault(key, key.defaultValue());
  }

  /** Returns a value as a number. */
  public long number(SettingKey key) {
    return Long.parseLong(text(key));
  }

  /** Returns a value as a boolean. */
  public boolean flag(SettingKey key) {
    return Boolean.parseBoolean(text(key));
  }

  /** Returns the name of this node. */
  public String node() {
    return text(SettingKey.NODE_NAME);
  }

  /** Returns the data folder, or empty on a node that doesn't vote. */
  public Optional<Path> dataFolder() {
    String folder = text(SettingKey.NODE_DATA_FOLDER);
    return folder.isEmpty() ? Optional.empty() : Optional.of(Path.of(folder));
  }

  /** Returns the address at which each member accepts links, by node name. */
  public SortedMap<String, HostPort> members() {
    return members;
  }

  /** Returns the operators with their tokens. */
  public List<OperatorToken> operators() {
    return operators;
  }

  /** Returns the timing of the gateways' leases. */
  public LeaseTiming leaseTiming() {
    long leaseMillis = number(SettingKey.LEASE_MILLIS);
    return new LeaseTiming(leaseMillis, leaseMillis / 7, leaseMillis / 10);
  }

  /** Returns the timing of the leader's rollout duties. */
  public RolloutTiming rolloutTiming() {
    RolloutTiming base = RolloutTiming.DEFAULT;
    return new RolloutTiming(
        number(SettingKey.TARGET_GONE_MILLIS),
        number(SettingKey.LIMIT_REQUEST_MAX_MILLIS),
        base.rebootTimeoutMillis(),
        base.pauseWindowMillis(),
        base.pauseThreshold());
  }

  /** Returns the limits on claims. */
  public ClaimLimits claimLimits() {
    ClaimLimits base = ClaimLimits.DEFAULT;
    return new ClaimLimits(
        number(SettingKey.LIMIT_CLAIM_WINDOW_MILLIS),
        base.futureMillis(),
        base.maxClaims(),
        base.maxAnswerBytes(),
        base.maxStoredBytes());
  }

  /** Collects the values of a settings file. */
  public static final class Builder {

    private final Map<SettingKey, String> values = new EnumMap<>(SettingKey.class);
    private final SortedMap<String, HostPort> members = new TreeMap<>();
    private final List<OperatorToken> operators = new ArrayList<>();

    private Builder() {}

    /** Sets a value. */
    public Builder value(SettingKey key, String value) {
      values.put(key, value);
      return this;
    }

    /** Adds a member. */
    public Builder member(String node, HostPort address) {
      members.put(node, address);
      return this;
    }

    /** Adds an operator. */
    public Builder operator(OperatorToken operator) {
      operators.add(operator);
      return this;
    }

    /** Returns the settings. */
    public DaemonSettings build() {
      return new DaemonSettings(this);
    }
  }
}
