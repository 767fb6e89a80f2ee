package io.endiveshed.cli;

import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalInt;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.OptionHandlerFilter;
import org.kohsuke.args4j.ParserProperties;

/**
 * Base class for the options of a command, with the option {@code --help} and the parser. Each command adds its options
 * in a subclass.
 */
public abstract class CommandOptions {
    private static final int HELP_WIDTH_CHARACTERS = 100;

    @Option(name = "--help", aliases = "-h", help = true, usage = "show this help")
    private boolean isHelpRequested;

    /**
     * Parses the arguments into the fields of this object. Returns the exit code if the command must not run, because help
     * was requested and printed or the arguments are invalid.
     *
     * @param usage synopsis of the command, such as {@code endiveshed check FILE...}
     * @param description description of the command, in one or more lines
     */
    public OptionalInt parse(
            String usage, String description, List<String> arguments, PrintStream out, PrintStream err) {
        CmdLineParser parser = new CmdLineParser(
                this,
                ParserProperties.defaults()
                        .withUsageWidth(HELP_WIDTH_CHARACTERS)
                        .withShowDefaults(false));
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            err.println("error: " + e.getMessage());
            err.println("usage: " + usage);
            return OptionalInt.of(ExitCode.USAGE);
        }
        if (!isHelpRequested) {
            return OptionalInt.empty();
        }
        out.println("usage: " + usage + "\n\n" + description + "\n\noptions:");
        parser.printUsage(new OutputStreamWriter(out, StandardCharsets.UTF_8), null, OptionHandlerFilter.PUBLIC);
        return OptionalInt.of(ExitCode.OK);
    }
}
