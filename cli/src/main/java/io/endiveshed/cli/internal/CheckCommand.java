package io.endiveshed.cli.internal;

import io.endiveshed.cli.Command;
import io.endiveshed.cli.CommandOptions;
import io.endiveshed.cli.ExitCode;
import io.endiveshed.coordination.config.Configuration;
import io.endiveshed.coordination.config.ConfigurationContent;
import io.endiveshed.settings.SettingsError;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.kohsuke.args4j.Argument;

/** Command that validates configuration files without calling the platform. */
public final class CheckCommand implements Command {
    @Override
    public String name() {
        return "check";
    }

    @Override
    public String summary() {
        return "check configuration files offline";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        Options options = new Options();
        OptionalInt exitCode = options.parse("endiveshed check FILE...", """
                        Checks the files as one configuration, as "apply" would, and reports every fault with its line
                        and remedy. Exit code 0 if there is none, else 3.""", arguments, out, err);
        if (exitCode.isPresent()) {
            return exitCode.getAsInt();
        }
        Either<List<SettingsError>, Configuration> read = ConfigurationFiles.read(options.files);
        if (read.isLeft()) {
            return SettingsErrors.print(read.getLeft(), "the configuration cannot be applied", err);
        }
        out.println("valid: " + summary(read.get()));
        return ExitCode.OK;
    }

    /** Returns the counts of models, services and accounts, and the start of the digest. */
    static String summary(Configuration configuration) {
        return configuration.models().size() + " models, "
                + configuration.services().size() + " services, "
                + configuration.accounts().size() + " accounts, digest "
                + ConfigurationContent.of(configuration).digest().substring(0, 12);
    }

    private static final class Options extends CommandOptions {
        @Argument(metaVar = "FILE", required = true, multiValued = true, usage = "configuration file in YAML")
        private List<Path> files = new ArrayList<>();
    }
}
