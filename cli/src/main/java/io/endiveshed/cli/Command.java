package io.endiveshed.cli;

import java.io.PrintStream;
import java.util.List;

/** Command of the {@code endiveshed} binary. Implementations are loaded by {@link java.util.ServiceLoader}. */
public interface Command {
    /** Returns the word on the command line that selects the command. */
    String name();

    /** Returns a description of the command in one line, for the help text. */
    String summary();

    /**
     * Runs the command on the calling thread and returns the exit code of the process.
     *
     * @param arguments arguments after the name of the command
     * @param out stream for results
     * @param err stream for errors and their remedies
     */
    int run(List<String> arguments, PrintStream out, PrintStream err) throws Exception;
}
