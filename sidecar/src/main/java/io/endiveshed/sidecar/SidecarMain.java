package io.endiveshed.sidecar;

import io.endiveshed.base.process.StopSignal;
import io.endiveshed.settings.SettingsError;
import io.vavr.control.Either;
import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.OptionHandlerFilter;
import org.kohsuke.args4j.ParserProperties;

/** Entry point of the {@code endiveshed-sidecar} binary. */
public final class SidecarMain {
    private static final int USAGE_ERROR = 2;
    private static final int INVALID_FILE = 3;
    private static final int CANNOT_LISTEN = 1;
    private static final String USAGE = "usage: endiveshed-sidecar --settings FILE";
    private static final String DESCRIPTION = """

            Runs the sidecar of one target until SIGTERM or SIGINT, then stops cleanly with exit code 0. A second
            signal ends the process at once. Exit code 3 if the settings have faults; nothing is opened then.

            options:""";

    private SidecarMain() {}

    /** Runs the sidecar and exits with its code. */
    public static void main(String[] arguments) throws InterruptedException {
        System.exit(run(Arrays.asList(arguments), System.out, System.err));
    }

    static int run(List<String> arguments, PrintStream out, PrintStream err) throws InterruptedException {
        Options options = new Options();
        CmdLineParser parser =
                new CmdLineParser(options, ParserProperties.defaults().withShowDefaults(false));
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            err.println("error: " + e.getMessage());
            err.println(USAGE);
            return USAGE_ERROR;
        }
        if (options.help) {
            out.println(USAGE + "\n" + DESCRIPTION);
            parser.printUsage(new OutputStreamWriter(out, StandardCharsets.UTF_8), null, OptionHandlerFilter.PUBLIC);
            return 0;
        }
        if (options.version) {
            out.println("endiveshed-sidecar 0.1.0");
            return 0;
        }
        return start(options.settings, out, err);
    }

    private static int start(Path file, PrintStream out, PrintStream err) throws InterruptedException {
        Either<List<SettingsError>, SidecarSettings> settings = SidecarSettingsFile.read(file);
        if (settings.isLeft()) {
            settings.getLeft().forEach(error -> err.println("error: " + error));
            int faults = settings.getLeft().size();
            err.println(faults + (faults == 1 ? " fault" : " faults") + "; the sidecar was not started");
            return INVALID_FILE;
        }
        return serve(settings.get(), out, err);
    }

    private static int serve(SidecarSettings settings, PrintStream out, PrintStream err) throws InterruptedException {
        StopSignal signal = StopSignal.install();
        SidecarDaemon daemon = new SidecarDaemon(settings);
        if (!start(daemon, err)) {
            daemon.stop();
            return CANNOT_LISTEN;
        }
        out.println("sidecar of " + settings.instance() + " ready: target " + settings.targetAddress());
        signal.awaitOrStopped(daemon::isStopped);
        daemon.stop();
        return 0;
    }

    /** The transport throws checked exceptions such as BindException without declaring them. */
    private static boolean start(SidecarDaemon daemon, PrintStream err) {
        try {
            daemon.start();
            return true;
        } catch (Exception e) {
            err.println("error: the sidecar cannot listen: " + e.getMessage());
            err.println("remedy: choose a free port and an address of this instance in \"metrics\"");
            return false;
        }
    }

    private static final class Options {
        @Option(name = "--settings", metaVar = "FILE", required = true, usage = "settings of this sidecar in YAML")
        private Path settings;

        @Option(name = "--help", aliases = "-h", help = true, usage = "show this help")
        private boolean help;

        @Option(name = "--version", help = true, usage = "show the version")
        private boolean version;
    }
}
