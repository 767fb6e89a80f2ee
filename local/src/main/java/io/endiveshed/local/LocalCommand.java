package io.endiveshed.local;

import io.endiveshed.base.process.StopSignal;
import io.endiveshed.cli.Command;
import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Command that runs a complete deployment in this process until it receives SIGTERM or SIGINT. */
public final class LocalCommand implements Command {
    private static final int USAGE_EXIT_CODE = 2;

    @Override
    public String name() {
        return "local";
    }

    @Override
    public String summary() {
        return "run an entry, sidecars and stand-ins in one process to try endiveshed out";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) throws InterruptedException {
        Options options = new Options();
        try {
            new CmdLineParser(options).parseArgument(arguments);
        } catch (CmdLineException e) {
            err.println("endiveshed local: " + e.getMessage());
            return USAGE_EXIT_CODE;
        }
        serve(options.port, out);
        return 0;
    }

    private static void serve(int port, PrintStream out) throws InterruptedException {
        LocalDeployment deployment = new LocalDeployment(port);
        StopSignal stopSignal = StopSignal.install();
        deployment.start();
        String url = "http://127.0.0.1:" + deployment.port();
        out.println("ready at " + url + " - try: curl " + url + "/v1/completions -H 'Authorization: Bearer "
                + LocalDeployment.API_KEY + "' -d '{\"model\":\"" + LocalDeployment.MODEL
                + "\",\"prompt\":\"hello\",\"max_tokens\":8}'");
        stopSignal.await();
        deployment.stop();
    }

    private static final class Options {
        @Option(name = "--port", metaVar = "PORT", usage = "port on which callers are answered (default 8080)")
        private int port = 8080;
    }
}
