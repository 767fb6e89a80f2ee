package io.endiveshed.cli;

/** Exit codes of the commands. */
public final class ExitCode {
    /** The command did what it was asked. */
    public static final int OK = 0;

    /** The command failed, for example because the platform cannot be reached. */
    public static final int FAILED = 1;

    /** The command line is wrong. */
    public static final int USAGE = 2;

    /** A file of settings or configuration is wrong. */
    public static final int INVALID_FILE = 3;

    /** Another operator's configuration was applied meanwhile; nothing was changed. */
    public static final int LOST_RACE = 4;

    /** It is not known whether the configuration was applied. */
    public static final int UNCERTAIN = 5;

    private ExitCode() {}
}
