package io.endiveshed.cli.internal;

import io.endiveshed.cli.ExitCode;
import io.endiveshed.settings.SettingsError;
import java.io.PrintStream;
import java.util.List;

/** Printer for the faults of settings and configuration files. */
final class SettingsErrors {
    private SettingsErrors() {}

    /** Prints the errors, their number and the consequence, and returns {@link ExitCode#INVALID_FILE}. */
    static int print(List<SettingsError> errors, String consequence, PrintStream err) {
        errors.forEach(error -> err.println("error: " + error));
        err.println(errors.size() + (errors.size() == 1 ? " fault; " : " faults; ") + consequence);
        return ExitCode.INVALID_FILE;
    }
}
