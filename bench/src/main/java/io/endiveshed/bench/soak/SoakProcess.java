package io.endiveshed.bench.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** One process of the product in a JVM of its own; it is restarted with the same settings. */
final class SoakProcess {
    private static final long STOP_SECONDS = 40;
    private static final long KILL_SECONDS = 10;
    private static final List<String> JVM = List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    private final String name;
    private final List<String> command = new ArrayList<>();
    private final Path log;
    private final AtomicLong pausedNanos = new AtomicLong();
    private volatile Process process;
    private volatile long pausedSince;
    private volatile int generation;
    private boolean over;

    SoakProcess(String name, Path log, List<String> mainAndArguments) {
        this.name = name;
        this.log = log;
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.addAll(mainAndArguments);
    }

    String name() {
        return name;
    }

    /** Number of starts so far; a change shows that the process was replaced. */
    int generation() {
        return generation;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Total time for which the process was paused, including a pause that lasts. */
    long pausedNanos() {
        long since = pausedSince;
        return pausedNanos.get() + (since == 0 ? 0 : System.nanoTime() - since);
    }

    synchronized void start() throws IOException {
        if (over) {
            return;
        }
        generation++;
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(KILL_SECONDS, TimeUnit.SECONDS);
    }

    /** Ends the process, which is not started again. */
    synchronized void killForGood() {
        over = true;
        process.destroyForcibly();
    }

    /** Sends SIGTERM; returns the exit code, or -1 if the process had to be killed. */
    int terminate() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
            kill();
            return -1;
        }
        return process.exitValue();
    }

    /** Stops the process with SIGSTOP for a time and continues it. */
    void pause(long millis) throws IOException, InterruptedException {
        pausedSince = System.nanoTime();
        try {
            signal("STOP");
            Thread.sleep(millis);
        } finally {
            signal("CONT");
            pausedNanos.addAndGet(System.nanoTime() - pausedSince);
            pausedSince = 0;
        }
    }

    private void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }
}
