package org.plantainknot.core.fuzz;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;

import java.util.List;
import java.util.function.Consumer;

/** Runs lists of numbers, each of which stands for an action, against a model. */
public final class Fuzz {

  private static final long SEED = 20_261_204;

  private Fuzz() {}

  /** Runs examples with a fixed seed; the first that throws an assertion error ends the run. */
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

  /** Fails with the message unless the condition holds. */
  public static void require(boolean condition, String message) {
    if (!condition) {
      throw new AssertionError(message);
    }
  }
}
