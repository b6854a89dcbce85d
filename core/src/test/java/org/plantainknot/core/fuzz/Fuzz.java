package org.plantainknot.core.fuzz;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;

import java.util.List;
import java.util.function.Consumer;

/** Runs random action sequences, encoded as lists of numbers, against a model. */
public final class Fuzz {

  private static final long SEED = 20_261_204;

  private Fuzz() {}

  /** Runs the examples with a fixed seed, and stops at the first that throws an assertion error. */
  public static void run(
      int examples, int minActions, int maxActions, Consumer<List<Integer>> test) {
    qt().withFixedSeed(SEED)
        .withExamples(examples)
        .withShrinkCycles(0)
        .forAll(
            lists()
                .of(integers().between(0, Integer.MAX_VALUE))
                .ofSizeBetween(minActions, maxActions))
        .checkAssert(test);
  }

  /** Throws an assertion error with the message unless the condition holds. */
  public static void require(boolean condition, String message) {
    if (!condition) {
      throw new AssertionError(message);
    }
  }
}
