package io.endiveshed.cli.internal;

import io.endiveshed.base.process.StopSignal;
import io.endiveshed.cli.Command;
import io.endiveshed.cli.CommandOptions;
import io.endiveshed.cli.ExitCode;
import io.endiveshed.coordination.blackboard.Blackboard;
import io.endiveshed.entry.EntryDaemon;
import io.endiveshed.entry.EntrySettings;
import io.endiveshed.entry.EntrySettingsFile;
import io.endiveshed.settings.SettingsError;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalInt;
import org.kohsuke.args4j.Option;

/** Command that runs an entry daemon until the process receives SIGTERM or SIGINT. */
public final class EntryCommand implements Command {
    @Override
    public String name() {
        return "entry";
    }

    @Override
    public String summary() {
        return "run an entry daemon";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) throws InterruptedException {
        Options options = new Options();
        OptionalInt exitCode = options.parse("endiveshed entry --settings FILE", """
                        Runs an entry daemon until SIGTERM or SIGINT, then stops cleanly with exit code 0. A second
                        signal ends the process at once. Exit code 3 if the settings have faults; nothing is opened
                        then.""", arguments, out, err);
        if (exitCode.isPresent()) {
            return exitCode.getAsInt();
        }
        Either<List<SettingsError>, EntrySettings> settings = EntrySettingsFile.read(options.settingsFile);
        if (settings.isLeft()) {
            return SettingsErrors.print(settings.getLeft(), "the entry daemon was not started", err);
        }
        return serve(settings.get(), out, err);
    }

    private static int serve(EntrySettings settings, PrintStream out, PrintStream err) throws InterruptedException {
        StopSignal stopSignal = StopSignal.install();
        EntryDaemon daemon = new EntryDaemon(settings, new Blackboard());
        if (!startOrPrintError(daemon, err)) {
            return ExitCode.FAILED;
        }
        out.println("entry " + settings.instance() + " ready: callers on port " + daemon.callerPort()
                + ", links on port " + daemon.linkPort());
        stopSignal.awaitOrStopped(daemon::isStopped);
        daemon.stop();
        return ExitCode.OK;
    }

    /**
     * Starts the daemon and returns whether it listens; otherwise prints the error. Catches {@link Exception}, because the
     * transport throws checked exceptions such as BindException without declaring them.
     */
    private static boolean startOrPrintError(EntryDaemon daemon, PrintStream err) {
        try {
            daemon.start();
            return true;
        } catch (Exception e) {
            err.println("error: the entry daemon cannot listen: " + e.getMessage());
            err.println("remedy: choose free ports and addresses of this instance in \"callers\" and \"links\"");
            return false;
        }
    }

    private static final class Options extends CommandOptions {
        @Option(name = "--settings", metaVar = "FILE", required = true, usage = "settings of this daemon in YAML")
        private Path settingsFile;
    }
}
