package org.plantainknot.bench.standin;

/** How a target treats requests. */
public enum Manner {
  /** Runs and answers. */
  GOOD,
  /** Runs, and answers only after the deadline. */
  LATE,
  /** Gives the answer of the request before. */
  CROSSED,
  /** Runs, and breaks off in the middle of the answer. */
  CUT_SHORT,
  /** Neither runs nor answers. */
  NEVER,
  /** Answers with an error of its own. */
  FAIL,
  /** Runs, and breaks the connection without an answer. */
  RUN_AND_BREAK
}
