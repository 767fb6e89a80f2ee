import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** SIGHUP, as after a change of the settings file, to processes that have just been started. */
final class EarlyReload {
    private static final int MACHINES = 2;
    private static final int STARTS = 3;

    /** Time from the start of a process to its SIGHUP. The process has not yet begun to listen then. */
    private static final int SIGNAL_MILLIS = 60;

    /** Delay after which the platform starts a process that has ended. */
    private static final int RESTART_MILLIS = 1_000;

    public static void main(String[] arguments) {
        Kit.main(arguments, EarlyReload::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        failIfSignalIsIgnored();
        StoreStandIn store = new StoreStandIn();
        Kit.Runner runner = new Kit.Runner("i-7f3a91c2", "app", (request, connection) -> {
            connection.respond(request, "done");
        });
        store.write("config", "main", Kit.desiredState(7, 1000, "key"));
        runner.register(store);
        List<Kit.Entry> entries = new ArrayList<>();
        int machinesThatEnd = 0;
        for (int machine = 1; machine <= MACHINES; machine++) {
            Kit.Entry entry = new Kit.Entry("edge-" + machine, store.port(), Kit.Entry.bounds());
            entries.add(entry);
            int ends = 0;
            for (int start = 0; start < STARTS; start++) {
                entry.start();
                Kit.sleep(SIGNAL_MILLIS);
                if (trouble) {
                    if (!entry.process.isAlive()) {
                        throw new Kit.NotRunnable("the process ended before the signal: " + entry.output());
                    }
                    entry.signal("HUP");
                }
                if (!entry.process.waitFor(3, TimeUnit.SECONDS)) {
                    break;
                }
                ends++;
                Kit.Record.line(entry.name + " has ended by itself, exit code " + entry.process.exitValue());
                Kit.sleep(RESTART_MILLIS);
            }
            machinesThatEnd += ends >= STARTS ? 1 : 0;
            Kit.Record.line("* " + entry.name + ": the process ended by itself " + ends + " times");
        }
        for (Kit.Entry entry : entries) {
            if (!entry.process.isAlive()) {
                entry.start();
            }
            entry.awaitReady();
            Kit.Message answer = Kit.call(entry, Kit.request("GET", "/again/x", "r-" + entry.name, "key", 1000, 0), 3000);
            Kit.Record.line("request to " + entry.name + ": " + (answer == null ? "no answer" : answer.status()));
            entry.signal("HUP");
            if (entry.process.waitFor(1, TimeUnit.SECONDS)) {
                Kit.Record.line("* " + entry.name + " has ended by a SIGHUP after its start");
            }
        }
        return machinesThatEnd >= MACHINES;
    }

    /** Processes inherit an ignored SIGHUP, as from nohup; the case shows nothing then. */
    private static void failIfSignalIsIgnored() throws IOException {
        boolean isIgnored = Files.readAllLines(Path.of("/proc/self/status")).stream()
                .filter(line -> line.startsWith("SigIgn:"))
                .anyMatch(line -> (Long.parseUnsignedLong(line.substring(7).trim(), 16) & 1) == 1);
        if (isIgnored) {
            throw new Kit.NotRunnable("SIGHUP is ignored by the caller of the script; run it without nohup");
        }
    }
}
