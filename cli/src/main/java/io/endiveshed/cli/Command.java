package io.endiveshed.cli;

import java.io.PrintStream;
import java.util.List;

/** A command of the {@code endiveshed} binary; implementations are found by {@link java.util.ServiceLoader}. */
public interface Command {
    /** Returns the word that selects the command. */
    String name();

    /** Returns one line that says what the command does. */
    String summary();

    /** Runs the command and returns the exit code. */
    int run(List<String> arguments, PrintStream out, PrintStream err) throws Exception;
}
