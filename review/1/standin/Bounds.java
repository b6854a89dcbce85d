package review;

/** Bounds of the small deployment, with the values of the site hmttcb-sched. */
final class Bounds {

  static final long HOLD_MAX_MILLIS = 6_000;
  static final long STOP_MILLIS = 900;
  static final long CANCEL_MILLIS = 3_000;
  static final long GANG_TIMEOUT_MILLIS = 3_000;
  static final long FINISH_MILLIS = 14_000;
  static final long HEARTBEAT_MILLIS = 1_500;

  private Bounds() {}
}
