package io.endiveshed.cli;

/** Exit codes of the commands. */
public final class ExitCode {
    /** The command succeeded. */
    public static final int OK = 0;

    /** The command failed, for example because the platform cannot be reached. */
    public static final int FAILED = 1;

    /** The command line is invalid. */
    public static final int USAGE = 2;

    /** A settings or configuration file is invalid. */
    public static final int INVALID_FILE = 3;

    /** Nothing was applied, because another operator's configuration was applied first or is the current one. */
    public static final int LOST_RACE = 4;

    /** It is unknown whether the configuration was applied. */
    public static final int UNCERTAIN = 5;

    private ExitCode() {}
}
