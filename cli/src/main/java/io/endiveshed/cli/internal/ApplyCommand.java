package io.endiveshed.cli.internal;

import io.endiveshed.base.id.Revision;
import io.endiveshed.cli.Command;
import io.endiveshed.cli.CommandOptions;
import io.endiveshed.cli.ExitCode;
import io.endiveshed.coordination.config.Configuration;
import io.endiveshed.coordination.config.ConfigurationContent;
import io.endiveshed.coordination.config.ConfigurationPublisher;
import io.endiveshed.coordination.config.PublishError;
import io.endiveshed.settings.SettingsError;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Command that validates configuration files and publishes them as the whole configuration of the deployment. */
public final class ApplyCommand implements Command {
    @Override
    public String name() {
        return "apply";
    }

    @Override
    public String summary() {
        return "check configuration files and make them current, all or none";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        Options options = new Options();
        OptionalInt exitCode =
                options.parse("endiveshed apply --platform URL [--base REVISION] FILE...", """
                        Checks the files and makes them the whole configuration of the deployment. It is in effect
                        everywhere within 16 s; "status" shows where. Exit codes: 0 applied or unchanged, 1 the platform
                        did not accept it, 2 wrong command line, 3 faults in files, 4 another operator was first, 5 not
                        known whether it was applied.""", arguments, out, err);
        if (exitCode.isPresent()) {
            return exitCode.getAsInt();
        }
        Either<List<SettingsError>, Configuration> read = ConfigurationFiles.read(options.files);
        if (read.isLeft()) {
            return SettingsErrors.print(read.getLeft(), "nothing was applied", err);
        }
        try (PlatformConnection connection = new PlatformConnection(options.platformUrl)) {
            return publish(options, read.get(), connection, out, err);
        } catch (IllegalArgumentException e) {
            err.println("error: " + e.getMessage());
            return ExitCode.USAGE;
        }
    }

    private static int publish(
            Options options,
            Configuration configuration,
            PlatformConnection connection,
            PrintStream out,
            PrintStream err) {
        ConfigurationPublisher publisher =
                new ConfigurationPublisher(connection.platform(), connection.scheduler(), new SecureRandom());
        Either<PublishError, Revision> result = PlatformConnection.await(publisher.publish(
                ConfigurationContent.of(configuration),
                Optional.ofNullable(options.baseRevision).map(Revision::new)));
        if (result.isRight()) {
            out.println("revision " + result.get() + " is current: " + CheckCommand.summary(configuration));
            return ExitCode.OK;
        }
        return printError(result.getLeft(), err);
    }

    /** Prints an error with its remedy and returns the exit code. */
    private static int printError(PublishError error, PrintStream err) {
        String rebaseRemedy = "remedy: merge your change into the files of revision " + error.current()
                + " and apply them with --base " + error.current();
        switch (error.kind()) {
            case LOST_RACE -> {
                err.println(
                        "error: revision " + error.current() + " was applied meanwhile; nothing of yours was applied");
                err.println(rebaseRemedy);
                return ExitCode.LOST_RACE;
            }
            case OTHER_BASE -> {
                err.println("error: revision " + error.current()
                        + " is current, not the one in --base; nothing was applied");
                err.println(rebaseRemedy);
                return ExitCode.LOST_RACE;
            }
            case UNCERTAIN -> {
                err.println("error: the platform's last reply was lost; the files may have been applied");
                err.println(
                        "remedy: apply the same files again once \"status\" works; if they were applied, nothing changes");
                return ExitCode.UNCERTAIN;
            }
            case TOO_LARGE -> {
                err.println("error: a part of the configuration exceeds 1 MB; nothing was applied");
                err.println("remedy: shorten lists such as the key hashes of one account");
                return ExitCode.FAILED;
            }
            default -> {
                err.println("error: the platform cannot be reached or refuses the calls; nothing was applied");
                err.println("remedy: check --platform and the platform's object API, then apply again");
                return ExitCode.FAILED;
            }
        }
    }

    private static final class Options extends CommandOptions {
        @Option(name = "--platform", metaVar = "URL", required = true, usage = "URL of the platform's object API")
        private String platformUrl;

        @Option(name = "--base", metaVar = "REVISION", usage = "apply only if this revision is current")
        private Long baseRevision;

        @Argument(metaVar = "FILE", required = true, multiValued = true, usage = "configuration file in YAML")
        private List<Path> files = new ArrayList<>();
    }
}
