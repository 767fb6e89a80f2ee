package io.endiveshed.base.log;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes structured lines to standard output from a thread of its own.
 *
 * <p>Neither a slow reader of the output nor a flood of lines delays a request: lines that exceed the rate or do not fit
 * into the queue are dropped, and the next line that is written tells how many.
 *
 * <pre>{@code
 * EventLog log = EventLog.to(System.out);
 * log.start();
 * log.event("request.refused").with("request", id).with("reason", "overloaded").write();
 * }</pre>
 */
public final class EventLog {
    /** Lines that wait for the output; at 300 bytes a line they take less than a megabyte. */
    private static final int QUEUE_LINES = 2_000;

    /** Most lines in a second; a process that logs more spends a noticeable part of its core on it. */
    private static final int MAX_LINES_PER_SECOND = 600;

    /** Part of the queue that lines on requests leave free for those on changes. */
    private static final int RESERVED_LINES = 500;

    private static final long WINDOW_NANOS = 1_000_000_000L;
    private static final long STOP_MILLIS = 300;

    private final PrintStream output;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final Object rateLock = new Object();
    private long windowStartNanos = System.nanoTime();
    private int linesInWindow;
    private Thread writer;
    private volatile boolean stopping;

    private EventLog(PrintStream output) {
        this.output = Objects.requireNonNull(output);
    }

    /** Makes a log that writes to the given stream once started. */
    public static EventLog to(PrintStream output) {
        return new EventLog(output);
    }

    /** Starts the writing thread. */
    public void start() {
        writer = new Thread(this::run, "event-log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Writes what waits, for a short time at most, and ends the writing thread. */
    public void stop() throws InterruptedException {
        stopping = true;
        if (writer != null) {
            writer.join(STOP_MILLIS);
        }
    }

    /** Returns the number of lines that were dropped so far. */
    public long droppedLines() {
        return dropped.get();
    }

    /** Begins a line on one request; lines above the rate are dropped. */
    public Line event(String name) {
        return new Line(this, name, false);
    }

    /** Begins a line on what the process believes, or on its own life; it is not subject to the rate. */
    public Line change(String name) {
        return new Line(this, name, true);
    }

    private void offer(String line, boolean isChange) {
        boolean accepted = isChange || (withinRate() && queue.remainingCapacity() > RESERVED_LINES);
        if (!accepted || !queue.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    private boolean withinRate() {
        synchronized (rateLock) {
            long now = System.nanoTime();
            if (now - windowStartNanos >= WINDOW_NANOS) {
                windowStartNanos = now;
                linesInWindow = 0;
            }
            linesInWindow++;
            return linesInWindow <= MAX_LINES_PER_SECOND;
        }
    }

    private void run() {
        List<String> lines = new ArrayList<>();
        long reportedDrops = 0;
        try {
            while (!stopping || !queue.isEmpty()) {
                String first = queue.poll(STOP_MILLIS, TimeUnit.MILLISECONDS);
                if (first == null) {
                    continue;
                }
                lines.add(first);
                queue.drainTo(lines);
                StringBuilder text = new StringBuilder();
                long drops = dropped.get();
                if (drops > reportedDrops) {
                    text.append("{\"event\":\"log.dropped\",\"lines\":")
                            .append(drops - reportedDrops)
                            .append("}\n");
                    reportedDrops = drops;
                }
                lines.forEach(line -> text.append(line).append('\n'));
                lines.clear();
                output.print(text);
                output.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One line under construction. */
    public static final class Line {
        private final EventLog log;
        private final boolean isChange;
        private final StringBuilder text = new StringBuilder(160);

        private Line(EventLog log, String name, boolean isChange) {
            this.log = log;
            this.isChange = isChange;
            text.append("{\"time\":").append(System.currentTimeMillis()).append(",\"event\":\"");
            text.append(name).append('"');
        }

        /** Adds a number. */
        public Line with(String key, long value) {
            text.append(",\"").append(key).append("\":").append(value);
            return this;
        }

        /** Adds a truth value. */
        public Line with(String key, boolean value) {
            text.append(",\"").append(key).append("\":").append(value);
            return this;
        }

        /** Adds text, or the text form of an object. */
        public Line with(String key, Object value) {
            text.append(",\"").append(key).append("\":\"");
            appendEscaped(String.valueOf(value));
            text.append('"');
            return this;
        }

        /** Hands the line to the log. */
        public void write() {
            log.offer(text.append('}').toString(), isChange);
        }

        private void appendEscaped(String value) {
            for (int i = 0; i < value.length(); i++) {
                char character = value.charAt(i);
                if (character == '"' || character == '\\') {
                    text.append('\\').append(character);
                } else if (character < ' ') {
                    text.append(' ');
                } else {
                    text.append(character);
                }
            }
        }
    }
}
