package org.plantainknot.daemon.settings;

/** Keys of the settings file with their allowed values and defaults. */
public enum SettingKey {
  /** Name of the node. */
  NODE_NAME("node", "name", ValueKind.NAME, null, 0, 0, "", "name of this node, as in [members]"),
  /** Data centre of the node. */
  NODE_DATA_CENTER(
      "node", "dataCenter", ValueKind.NAME, null, 0, 0, "", "data centre of this entry VM"),
  /** Data folder. */
  NODE_DATA_FOLDER(
      "node",
      "dataFolder",
      ValueKind.PATH,
      "",
      0,
      0,
      "",
      "folder for the replicated log; a node without one does not vote"),
  /** Address that all listeners bind to. */
  LISTEN_HOST(
      "listen", "host", ValueKind.HOST, null, 0, 0, "", "address that all listeners bind to"),
  /** Port for callers and targets. */
  LISTEN_CALLER_PORT(
      "listen", "callerPort", ValueKind.NUMBER, null, 1, 65_535, "", "port for callers, targets"),
  /** Port for operators. */
  LISTEN_OPERATOR_PORT(
      "listen", "operatorPort", ValueKind.NUMBER, null, 1, 65_535, "", "port for operators"),
  /** Port for the other members. */
  LISTEN_MEMBER_PORT(
      "listen", "memberPort", ValueKind.NUMBER, null, 1, 65_535, "", "port for the other members"),
  /** Event loops for HTTP. */
  LISTEN_THREADS(
      "listen", "threads", ValueKind.NUMBER, "2", 1, 64, "threads", "event loops for HTTP"),
  /** Platform address. */
  PLATFORM_HOST("platform", "host", ValueKind.HOST, "", 0, 0, "", "address of the platform"),
  /** Platform port. */
  PLATFORM_PORT("platform", "port", ValueKind.NUMBER, "80", 1, 65_535, "", "port of the platform"),
  /** Platform poll interval. */
  PLATFORM_POLL_MILLIS(
      "platform", "pollMillis", ValueKind.NUMBER, "500", 10, 60_000, "ms", "interval of polls"),
  /** Largest request body. */
  LIMIT_BODY_BYTES(
      "limits",
      "bodyBytes",
      ValueKind.NUMBER,
      "1048576",
      1_024,
      67_108_864,
      "bytes",
      "largest body of a request"),
  /** Largest answer body. */
  LIMIT_ANSWER_BYTES(
      "limits",
      "answerBytes",
      ValueKind.NUMBER,
      "8388608",
      1_024,
      268_435_456,
      "bytes",
      "largest body of an answer"),
  /** Queue capacity. */
  LIMIT_QUEUE_CAPACITY(
      "limits",
      "queueCapacity",
      ValueKind.NUMBER,
      "512",
      1,
      100_000,
      "requests",
      "most requests that wait, for each service and kind of work"),
  /** Longest time that a request may run. */
  LIMIT_REQUEST_MAX_MILLIS(
      "limits",
      "requestMaxMillis",
      ValueKind.NUMBER,
      "10000",
      100,
      600_000,
      "ms",
      "longest time that a request may run; the same on all nodes"),
  /** Age up to which the claim of a non-idempotent request is kept. */
  LIMIT_CLAIM_WINDOW_MILLIS(
      "limits",
      "claimWindowMillis",
      ValueKind.NUMBER,
      "600000",
      10_000,
      86_400_000,
      "ms",
      "age up to which a non-idempotent request is known; the same on all nodes"),
  /** Entries between snapshots. */
  LOG_SNAPSHOT_ENTRIES(
      "log",
      "snapshotEntries",
      ValueKind.NUMBER,
      "20000",
      10,
      10_000_000,
      "entries",
      "number of log entries after which a snapshot is made"),
  /** Whether entries are sent to the other members concurrently with the local sync. */
  LOG_PARALLEL_SYNC(
      "log",
      "parallelSync",
      ValueKind.FLAG,
      "true",
      0,
      0,
      "",
      "send entries to the other members beside the own sync, not after it"),
  /** Duration of a gateway's lease. */
  LEASE_MILLIS(
      "timing",
      "leaseMillis",
      ValueKind.NUMBER,
      "2000",
      200,
      60_000,
      "ms",
      "time for which a gateway works without hearing from the leader; the same on all nodes"),
  /** Time without an announcement after which a target counts as gone. */
  TARGET_GONE_MILLIS(
      "timing",
      "targetGoneMillis",
      ValueKind.NUMBER,
      "3000",
      200,
      600_000,
      "ms",
      "silence after which a target counts as gone"),
  /** Key store with this node's key. */
  TLS_KEY_STORE(
      "tls",
      "keyStore",
      ValueKind.PATH,
      "",
      0,
      0,
      "",
      "PKCS #12 file with this node's key; switches TLS on for all listeners and links"),
  /** Trust store for the members' certificates. */
  TLS_TRUST_STORE(
      "tls",
      "trustStore",
      ValueKind.PATH,
      "",
      0,
      0,
      "",
      "PKCS #12 file with the certificates that the members' certificates are checked against"),
  /** Password of both stores. */
  TLS_PASSWORD("tls", "password", ValueKind.SECRET, "", 0, 0, "", "password of both stores"),
  /** Delay between the failing health check and the end of new work on a stop. */
  STOP_NOTICE_MILLIS(
      "timing",
      "stopNoticeMillis",
      ValueKind.NUMBER,
      "1000",
      0,
      60_000,
      "ms",
      "time between the failing health check and the end of new work, for the balancer to notice"),
  /** Longest time that a stop may take. */
  STOP_MILLIS(
      "timing", "stopMillis", ValueKind.NUMBER, "15000", 100, 600_000, "ms", "bound of a stop");

  private final String section;
  private final String key;
  private final ValueKind kind;
  private final String defaultValue;
  private final long min;
  private final long max;
  private final String unit;
  private final String description;

  SettingKey(
      String section,
      String key,
      ValueKind kind,
      String defaultValue,
      long min,
      long max,
      String unit,
      String description) {
    this.section = section;
    this.key = key;
    this.kind = kind;
    this.defaultValue = defaultValue;
    this.min = min;
    this.max = max;
    this.unit = unit;
    this.description = description;
  }

  /** Returns the section of the file. */
  public String section() {
    return section;
  }

  /** Returns the key in its section. */
  public String key() {
    return key;
  }

  /** Returns the default, or null if the key must be given. */
  public String defaultValue() {
    return defaultValue;
  }

  /** Returns the unit, or an empty string. */
  public String unit() {
    return unit;
  }

  /** Returns the description of the key, as docs/SETTINGS.md shows it. */
  public String description() {
    return description;
  }

  /** Returns the description of the allowed values, for messages and documentation. */
  public String allowedValues() {
    return kind.describe(min, max);
  }

  /** Returns whether the value is allowed. */
  public boolean allows(String value) {
    return kind.allows(value, min, max);
  }
}
