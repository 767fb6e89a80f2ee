/** The case could not run; says nothing about the rule. */
final class NotRunnable extends Exception {
    private static final long serialVersionUID = 1;

    NotRunnable(String message) {
        super(message);
    }
}
