package org.plantainknot.bench.standin;

/** Behaviour of a stand-in target towards requests, including fault injection. */
public enum TargetBehavior {
  /** Runs the request and answers. */
  GOOD,
  /** Runs the request and answers after the deadline. */
  LATE,
  /** Runs the request and sends the answer of the previous one. */
  CROSSED,
  /** Runs the request and closes the connection in the middle of the answer. */
  CUT_SHORT,
  /** Neither runs the request nor answers. */
  NEVER,
  /** Runs the request and answers with HTTP status 500. */
  FAIL,
  /** Runs the request and closes the connection without an answer. */
  RUN_AND_BREAK
}
