package io.endiveshed.cli.internal;

import io.endiveshed.cli.Command;
import io.endiveshed.cli.CommandOptions;
import io.endiveshed.cli.ExitCode;
import io.endiveshed.coordination.config.ConfigurationHead;
import io.endiveshed.entry.EntryStatus;
import io.endiveshed.ports.platform.StoreError;
import io.endiveshed.ports.platform.StoredObject;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.kohsuke.args4j.Option;

/** Command that shows the current revision, and the revision and problem of every entry daemon. */
public final class StatusCommand implements Command {
    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "show the revision of every entry daemon and what is wrong";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        Options options = new Options();
        OptionalInt exitCode = options.parse("endiveshed status --platform URL", """
                        Shows the current revision of the configuration and every entry daemon that reported within a
                        day, those with a problem first. Entries report about once a minute. Exit code 0 if nothing is
                        wrong, else 1.""", arguments, out, err);
        if (exitCode.isPresent()) {
            return exitCode.getAsInt();
        }
        try (PlatformConnection connection = new PlatformConnection(options.platformUrl)) {
            return printStatus(connection, out, err);
        } catch (IllegalArgumentException e) {
            err.println("error: " + e.getMessage());
            return ExitCode.USAGE;
        }
    }

    private static int printStatus(PlatformConnection connection, PrintStream out, PrintStream err) {
        Either<StoreError, Optional<StoredObject>> head =
                PlatformConnection.await(connection.platform().get(ConfigurationHead.KEY));
        Either<StoreError, List<StoredObject>> entryStatuses =
                PlatformConnection.await(connection.platform().list(EntryStatus.KIND, ""));
        if (head.isLeft() || entryStatuses.isLeft()) {
            err.println("error: the platform cannot be reached or refuses the calls");
            err.println(
                    "remedy: check --platform and the platform's object API; entries go on with their configuration");
            return ExitCode.FAILED;
        }
        long revision = head.get()
                .map(object ->
                        ConfigurationHead.decode(object.value()).revision().value())
                .orElse(0L);
        StatusReport report = StatusReport.of(
                revision,
                entryStatuses.get().stream()
                        .map(object -> EntryStatus.fromJson(object.value()))
                        .toList(),
                System.currentTimeMillis());
        report.lines().forEach(out::println);
        return report.isHealthy() ? ExitCode.OK : ExitCode.FAILED;
    }

    private static final class Options extends CommandOptions {
        @Option(name = "--platform", metaVar = "URL", required = true, usage = "URL of the platform's object API")
        private String platformUrl;
    }
}
