package org.plantainknot.daemon.settings;

import java.util.regex.Pattern;

/** Kinds of values in the settings file, each with its check and its description. */
enum ValueKind {
  /** A name of at most 63 characters. */
  NAME("letters, digits, dots, dashes or underscores, at most 63") {
    @Override
    boolean allows(String value, long min, long max) {
      return NAME_PATTERN.matcher(value).matches();
    }
  },
  /**
   * An IP address; host names are not allowed, since processes address each other by IP address.
   */
  HOST("an IPv4 or IPv6 number") {
    @Override
    boolean allows(String value, long min, long max) {
      return IP_PATTERN.matcher(value).matches();
    }
  },
  /** A path, not blank. */
  PATH("a path") {
    @Override
    boolean allows(String value, long min, long max) {
      return !value.isBlank();
    }
  },
  /** A secret, which must not appear in any message. */
  SECRET("a text") {
    @Override
    boolean allows(String value, long min, long max) {
      return !value.isBlank();
    }
  },
  /** A whole number. */
  NUMBER("a whole number") {
    @Override
    boolean allows(String value, long min, long max) {
      try {
        long number = Long.parseLong(value);
        return number >= min && number <= max;
      } catch (NumberFormatException e) {
        return false;
      }
    }

    @Override
    String describe(long min, long max) {
      return "a whole number from " + min + " to " + max;
    }
  },
  /** A boolean. */
  FLAG("true or false") {
    @Override
    boolean allows(String value, long min, long max) {
      return value.equals("true") || value.equals("false");
    }
  };

  private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
  private static final Pattern IP_PATTERN =
      Pattern.compile("(\\d{1,3}\\.){3}\\d{1,3}|[0-9a-fA-F]*:[0-9a-fA-F:]+");

  private final String description;

  ValueKind(String description) {
    this.description = description;
  }

  abstract boolean allows(String value, long min, long max);

  String describe(long min, long max) {
    return description;
  }
}
