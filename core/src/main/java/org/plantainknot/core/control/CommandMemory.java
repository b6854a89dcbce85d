package org.plantainknot.core.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Results of the operators' latest commands, so that a resend gets the first result. */
final class CommandMemory {

  /**
   * Result of a command.
   *
   * @param commandId identifier that the sender chose
   * @param result the first result
   */
  record Remembered(String commandId, Result result) {}

  private static final int CAPACITY = 10_000;

  private final Map<String, Result> resultById = new LinkedHashMap<>();

  Optional<Result> find(String commandId) {
    return Optional.ofNullable(resultById.get(commandId));
  }

  void remember(String commandId, Result result) {
    resultById.put(commandId, result);
    if (resultById.size() > CAPACITY) {
      resultById.remove(resultById.keySet().iterator().next());
    }
  }

  List<Remembered> image() {
    List<Remembered> image = new ArrayList<>();
    resultById.forEach((id, result) -> image.add(new Remembered(id, result)));
    return image;
  }

  void restore(List<Remembered> image) {
    resultById.clear();
    image.forEach(r -> resultById.put(r.commandId(), r.result()));
  }
}
