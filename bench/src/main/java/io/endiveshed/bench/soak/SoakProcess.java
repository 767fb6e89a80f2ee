package io.endiveshed.bench.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** One process of the product in a JVM of its own; it is restarted with the same settings. */
final class SoakProcess {
    private static final long STOP_SECONDS = 40;
    private static final long KILL_SECONDS = 10;

    /** Exit code of a Java runtime that handles SIGTERM itself. */
    private static final int TERMINATED = 143;

    /** Part of the line that entries and sidecars print when they have taken over the signals and are started. */
    private static final String READY = " ready: ";

    private static final List<String> JVM = List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    private final String name;
    private final List<String> command = new ArrayList<>();
    private final Path log;
    private final AtomicLong pausedNanos = new AtomicLong();
    private volatile Process process;
    private volatile long pausedSince;
    private volatile int generation;
    private boolean over;
    private long logStart;

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
        logStart = log.toFile().length();
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

    /**
     * Sends SIGTERM; returns what was wrong with the end, empty for exit code 0. A process that was not ready may also
     * end with the code of the signal, because the Java runtime handles signals until the main class has taken them
     * over.
     */
    Optional<String> terminate() throws IOException, InterruptedException {
        boolean ready = isReady();
        int code = exitCodeAfterSignal();
        if (code == 0 || (!ready && code == TERMINATED)) {
            return Optional.empty();
        }
        return Optional.of(name + (ready ? "" : ", not ready,") + " ended with exit code " + code + " after SIGTERM");
    }

    private synchronized boolean isReady() throws IOException {
        byte[] bytes = Files.readAllBytes(log);
        int start = (int) Math.min(logStart, bytes.length);
        return new String(bytes, start, bytes.length - start, StandardCharsets.UTF_8).contains(READY);
    }

    /** Returns -1 if the process had to be killed. */
    private int exitCodeAfterSignal() throws InterruptedException {
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
