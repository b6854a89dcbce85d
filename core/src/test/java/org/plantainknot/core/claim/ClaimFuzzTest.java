package org.plantainknot.core.claim;

import static org.plantainknot.core.fuzz.Fuzz.require;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.plantainknot.core.fuzz.Fuzz;
import org.testng.annotations.Test;

/** Fuzzes claims with resends, replayed commands, gateway failures and restored snapshots. */
public class ClaimFuzzTest {

  @Test
  void claimedRequestRunsAtMostOnceAndIsNeverReportedAsNotRunAfterItRan() {
    Fuzz.run(2_000, 50, 400, actions -> new Model().run(actions));
  }

  private static final class Model {

    private static final ClaimLimits LIMITS = new ClaimLimits(10_000, 1_000, 1_000, 100, 100_000);

    private ClaimTable table = new ClaimTable(LIMITS);
    private final Map<String, Claim> granted = new HashMap<>();
    private final Map<String, Integer> runsByKey = new HashMap<>();
    private final Map<String, StoredAnswer> answerByKey = new HashMap<>();
    private final Set<String> deadGateways = new HashSet<>();
    private final List<Claim> openedClaims = new ArrayList<>();
    private long nowMillis = 100_000;
    private int attempts;

    void run(List<Integer> actions) {
      actions.forEach(this::perform);
    }

    private void perform(int action) {
      int argument = action / 16;
      switch (action % 16) {
        case 0, 1, 2, 3, 4 -> open(newClaim(argument));
        case 5 -> replayOpen(argument);
        case 6, 7, 8 -> dispatchAndClose(argument, ClaimOutcome.ANSWERED);
        case 9 -> dispatchAndClose(argument, ClaimOutcome.MAY_HAVE_RUN);
        case 10, 11 -> closeWithoutDispatch(argument);
        case 12 -> deadGateways.add("gateway" + argument % 3);
        case 13 -> deadGateways.clear();
        case 14 -> nowMillis += argument % 500;
        default -> restore();
      }
    }

    private Claim newClaim(int argument) {
      String key = "request" + argument % 7;
      long issued = nowMillis - argument % 3 * 100;
      attempts++;
      return new Claim(
          new ClaimKey("caller", key + "@" + issued / 1_000_000),
          "hash",
          issued,
          "gateway" + argument % 3,
          "attempt" + attempts,
          ClaimOutcome.OPEN,
          null);
    }

    private void open(Claim claim) {
      openedClaims.add(claim);
      ClaimVerdict verdict = table.open(claim, g -> !deadGateways.contains(g), nowMillis);
      String key = claim.key().requestId();
      int runs = runsByKey.getOrDefault(key, 0);
      if (verdict == ClaimVerdict.GRANTED) {
        require(runs == 0, key + " was granted after it had run");
        boolean other =
            granted.values().stream()
                .anyMatch(c -> c.key().equals(claim.key()) && !c.attempt().equals(claim.attempt()));
        require(!other, key + " was granted to two attempts at once");
        granted.put(claim.attempt(), claim);
      } else if (verdict == ClaimVerdict.ANSWERED) {
        StoredAnswer stored = table.find(claim.key()).get().answer();
        require(stored.equals(answerByKey.get(key)), key + " got a wrong stored answer");
      }
    }

    /**
     * Replays an open command. Each command is proposed once, so only the command of the attempt
     * that holds the claim can be applied again, after a snapshot is restored.
     */
    private void replayOpen(int argument) {
      if (openedClaims.isEmpty()) {
        return;
      }
      Claim replayed = openedClaims.get(argument % openedClaims.size());
      boolean held =
          table
              .find(replayed.key())
              .map(Claim::attempt)
              .filter(replayed.attempt()::equals)
              .isPresent();
      if (held) {
        boolean ended = !granted.containsKey(replayed.attempt());
        ClaimVerdict verdict = table.open(replayed, g -> !deadGateways.contains(g), nowMillis);
        require(
            !ended || verdict != ClaimVerdict.GRANTED, "a replayed command granted an ended claim");
      }
    }

    private void dispatchAndClose(int argument, ClaimOutcome outcome) {
      Claim claim = removeGranted(argument);
      if (claim == null) {
        return;
      }
      String key = claim.key().requestId();
      require(runsByKey.merge(key, 1, Integer::sum) == 1, key + " ran twice");
      StoredAnswer answer =
          outcome == ClaimOutcome.ANSWERED
              ? new StoredAnswer(200, null, new byte[argument % 120])
              : null;
      answerByKey.put(key, answer);
      table.close(claim.key(), claim.attempt(), outcome, answer);
      table.close(claim.key(), claim.attempt(), ClaimOutcome.NOT_RUN, null);
    }

    private void closeWithoutDispatch(int argument) {
      Claim claim = removeGranted(argument);
      if (claim != null) {
        table.close(claim.key(), claim.attempt(), ClaimOutcome.NOT_RUN, null);
      }
    }

    private Claim removeGranted(int argument) {
      List<String> attemptsHeld = granted.keySet().stream().sorted().toList();
      return attemptsHeld.isEmpty()
          ? null
          : granted.remove(attemptsHeld.get(argument % attemptsHeld.size()));
    }

    private void restore() {
      ClaimTable restored = new ClaimTable(LIMITS);
      restored.restore(table.image());
      require(restored.storedBytes() == table.storedBytes(), "storedBytes differs after a restore");
      table = restored;
    }
  }
}
