package io.endiveshed.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.ServiceLoader;
import java.util.stream.Collectors;

/** Entry point of the {@code endiveshed} binary. */
public final class Main {
    private static final int USAGE_ERROR = 2;

    private Main() {}

    /** Runs the command named by the first argument and exits with its code. */
    public static void main(String[] arguments) throws Exception {
        System.exit(run(Arrays.asList(arguments), System.out, System.err));
    }

    static int run(List<String> arguments, PrintStream out, PrintStream err) throws Exception {
        List<Command> commands = ServiceLoader.load(Command.class).stream()
                .map(ServiceLoader.Provider::get)
                .toList();
        if (arguments.isEmpty() || arguments.get(0).equals("--help")) {
            out.println(help(commands));
            return 0;
        }
        String name = arguments.get(0);
        for (Command command : commands) {
            if (command.name().equals(name)) {
                return command.run(arguments.subList(1, arguments.size()), out, err);
            }
        }
        err.println("endiveshed: unknown command \"" + name + "\"; see endiveshed --help");
        return USAGE_ERROR;
    }

    private static String help(List<Command> commands) {
        return commands.stream()
                .map(command -> String.format("  %-8s %s", command.name(), command.summary()))
                .collect(Collectors.joining("\n", "usage: endiveshed <command> [options]\n\ncommands:\n", ""));
    }
}
