package io.endiveshed.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.stream.Collectors;

/** Entry point of the {@code endiveshed} binary. */
public final class Main {
    private static final String VERSION = "0.1.0";
    private static final String HELP = """
            endiveshed serves requests from a shared fleet of language models.

            usage: endiveshed COMMAND [OPTIONS]

            commands:
            @commands@

            options:
              --help     show this help; "endiveshed COMMAND --help" explains a command
              --version  show the version

            examples:
              endiveshed check models.yaml accounts.yaml
              endiveshed apply --platform http://127.0.0.1:9000 models.yaml accounts.yaml
              endiveshed status --platform http://127.0.0.1:9000
              endiveshed entry --settings entry.yaml""";

    private Main() {}

    /** Runs the command named by the first argument and exits the process with its exit code. */
    public static void main(String[] arguments) throws Exception {
        System.exit(run(Arrays.asList(arguments), System.out, System.err));
    }

    static int run(List<String> arguments, PrintStream out, PrintStream err) throws Exception {
        List<Command> commands = ServiceLoader.load(Command.class).stream()
                .map(ServiceLoader.Provider::get)
                .toList();
        String first = arguments.isEmpty() ? "--help" : arguments.get(0);
        switch (first) {
            case "--help", "-h", "help" -> {
                out.println(help(commands));
                return ExitCode.OK;
            }
            case "--version" -> {
                out.println("endiveshed " + VERSION);
                return ExitCode.OK;
            }
            default -> {
                return runCommand(commands, first, arguments.subList(1, arguments.size()), out, err);
            }
        }
    }

    private static int runCommand(
            List<Command> commands, String name, List<String> arguments, PrintStream out, PrintStream err)
            throws Exception {
        Optional<Command> command = commands.stream()
                .filter(candidate -> candidate.name().equals(name))
                .findFirst();
        if (command.isEmpty()) {
            err.println("error: unknown command \"" + name + "\"");
            err.println("remedy: use one of "
                    + commands.stream().map(Command::name).sorted().collect(Collectors.joining(", "))
                    + "; \"endiveshed --help\" explains them");
            return ExitCode.USAGE;
        }
        return command.get().run(arguments, out, err);
    }

    private static String help(List<Command> commands) {
        return HELP.replace(
                "@commands@",
                commands.stream()
                        .map(command -> String.format("  %-8s %s", command.name(), command.summary()))
                        .collect(Collectors.joining("\n")));
    }
}
