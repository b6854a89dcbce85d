package org.plantainknot.core.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Results of the latest operator commands, by command identifier.
 *
 * <p>A command that is sent again gets the result of its first execution.
 */
final class RecentResults {

  /**
   * Recorded result of a command.
   *
   * @param commandId identifier chosen by the sender
   * @param result result of the first execution
   */
  record RecordedResult(String commandId, Result result) {}

  private static final int MAX_RESULTS = 10_000;

  private final Map<String, Result> resultById = new LinkedHashMap<>();

  Optional<Result> find(String commandId) {
    return Optional.ofNullable(resultById.get(commandId));
  }

  void put(String commandId, Result result) {
    resultById.put(commandId, result);
    if (resultById.size() > MAX_RESULTS) {
      resultById.remove(resultById.keySet().iterator().next());
    }
  }

  List<RecordedResult> image() {
    List<RecordedResult> image = new ArrayList<>();
    resultById.forEach((id, result) -> image.add(new RecordedResult(id, result)));
    return image;
  }

  void restore(List<RecordedResult> image) {
    resultById.clear();
    image.forEach(r -> resultById.put(r.commandId(), r.result()));
  }
}
