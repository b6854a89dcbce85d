package review;

/** Tells that a case couldn't run. */
final class CaseFailure extends Exception {

  private static final long serialVersionUID = 1;

  CaseFailure(String message) {
    super(message);
  }
}
