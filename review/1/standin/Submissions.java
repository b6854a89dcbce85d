package review;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Bodies of submissions with one step. */
final class Submissions {

  private Submissions() {}

  /** Returns a submission with one step of the given work units. */
  static ObjectNode of(int count, long milliCores, long estimateMillis) {
    ObjectNode json = HttpClients.JSON.createObjectNode().put("spec", "review");
    ObjectNode step = json.putArray("steps").addObject();
    step.put("count", count).put("cpu", milliCores).put("mem_mb", 64);
    step.put("estimate_ms", estimateMillis);
    return json;
  }

  /** Returns the only step of a submission. */
  static ObjectNode step(ObjectNode submission) {
    return (ObjectNode) submission.path("steps").get(0);
  }
}
