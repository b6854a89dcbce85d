package org.plantainknot.core.admission;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.EnumMap;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the weighted shares and the capacity of the queues. */
public class FairQueueTest {

  private static final int CAPACITY = 1_000;

  @DataProvider
  Object[][] floods() {
    return new Object[][] {{WorkKind.BULK}, {WorkKind.URGENT}, {WorkKind.NORMAL}};
  }

  @Test(dataProvider = "floods")
  void eachKindGetsItsWeightedShareWhenAllAreBacklogged(WorkKind overloadedKind) {
    FairQueue queue = new FairQueue(CAPACITY);
    for (WorkKind kind : WorkKind.values()) {
      int count = kind == overloadedKind ? CAPACITY : 100;
      for (int i = 0; i < count; i++) {
        queue.offer(new QueuedRequest("s", kind, 0));
      }
    }
    Map<WorkKind, Integer> taken = new EnumMap<>(WorkKind.class);
    for (int i = 0; i < 100; i++) {
      taken.merge(queue.poll().orElseThrow().kind(), 1, Integer::sum);
    }
    for (WorkKind kind : WorkKind.values()) {
      assertEquals(taken.get(kind), kind.weight() * 10, 1, kind.toString());
    }
  }

  @Test
  void aFullQueueBlocksNeitherOtherServicesNorOtherKinds() {
    FairQueue queue = new FairQueue(2);
    assertTrue(queue.offer(new QueuedRequest("a", WorkKind.BULK, 0)));
    assertTrue(queue.offer(new QueuedRequest("a", WorkKind.BULK, 0)));
    assertFalse(queue.offer(new QueuedRequest("a", WorkKind.BULK, 0)));
    assertTrue(queue.offer(new QueuedRequest("b", WorkKind.BULK, 0)));
    assertTrue(queue.offer(new QueuedRequest("a", WorkKind.URGENT, 0)));
  }

  @Test
  void anIdleKindAccumulatesNoCredit() {
    FairQueue queue = new FairQueue(CAPACITY);
    for (int i = 0; i < 500; i++) {
      queue.offer(new QueuedRequest("s", WorkKind.BULK, 0));
    }
    for (int i = 0; i < 400; i++) {
      queue.poll();
    }
    for (int i = 0; i < 100; i++) {
      queue.offer(new QueuedRequest("s", WorkKind.URGENT, 0));
    }
    int bulk = 0;
    for (int i = 0; i < 70; i++) {
      bulk += queue.poll().orElseThrow().kind() == WorkKind.BULK ? 1 : 0;
    }
    assertEquals(bulk, 20, 2);
  }

  private static void assertEquals(int actual, int expected, int tolerance) {
    assertTrue(Math.abs(actual - expected) <= tolerance, actual + " instead of " + expected);
  }

  private static void assertEquals(Integer actual, int expected, int tolerance, String label) {
    assertTrue(
        actual != null && Math.abs(actual - expected) <= tolerance,
        label + ": " + actual + " instead of " + expected);
  }
}
