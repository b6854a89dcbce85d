package org.plantainknot.core.job;

import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;

/** Set of numbers from 0 that takes little memory if they are added roughly in order. */
final class NumberSet {

  private int below;
  private final NavigableSet<Integer> others = new TreeSet<>();

  void add(int number) {
    if (number >= below) {
      others.add(number);
      while (!others.isEmpty() && others.first() == below) {
        others.pollFirst();
        below++;
      }
    }
  }

  boolean contains(int number) {
    return number < below || others.contains(number);
  }

  int size() {
    return below + others.size();
  }

  /** Returns the smallest number that is not in the set. */
  int below() {
    return below;
  }

  /** Returns the numbers above {@link #below()}. */
  List<Integer> others() {
    return List.copyOf(others);
  }

  void restore(int newBelow, List<Integer> newOthers) {
    below = newBelow;
    others.clear();
    newOthers.forEach(this::add);
  }
}
