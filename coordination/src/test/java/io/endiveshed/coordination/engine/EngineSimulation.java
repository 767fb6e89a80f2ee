package io.endiveshed.coordination.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * An engine in virtual time that works in passes as {@link EngineProfile} describes: what is to be read goes first, up
 * to the chunk of each step, and all that write get one event at the end of a pass.
 */
final class EngineSimulation {
    private final EngineProfile profile;
    private final List<Stream> streams = new ArrayList<>();
    private final List<Part> parts = new ArrayList<>();
    private double nowMillis;

    EngineSimulation(EngineProfile profile) {
        this.profile = profile;
    }

    /**
     * Adds what must be read for a stream. A part of a divided prompt is read ahead of all else, also of parts that came
     * earlier; whole prompts are read in the order of their arrival.
     */
    void read(Stream stream, long tokens, double millis, boolean divided) {
        stream.partsLeft++;
        parts.add(divided ? 0 : parts.size(), new Part(stream, tokens, millis));
    }

    /** Adds a stream that this engine writes. */
    void write(Stream stream) {
        streams.add(stream);
    }

    /** Forgets a stream whose caller has left. */
    void cancel(Stream stream) {
        parts.removeIf(part -> part.stream == stream);
        streams.remove(stream);
    }

    /** Runs passes until the given time in milliseconds. */
    void runTo(double untilMillis) {
        while (nowMillis < untilMillis) {
            List<Stream> writing = new ArrayList<>();
            for (Stream stream : streams) {
                if (stream.partsLeft == 0 && writing.size() < profile.slots()) {
                    writing.add(stream);
                }
            }
            if (writing.isEmpty() && parts.isEmpty()) {
                nowMillis = untilMillis;
                return;
            }
            nowMillis += readOnePass() + (writing.isEmpty() ? 0 : profile.passMillis(writing.size()));
            for (Stream stream : writing) {
                stream.event(nowMillis);
            }
            streams.removeIf(stream -> stream.eventsLeft <= 0);
        }
    }

    private double readOnePass() {
        long budget = (long) profile.chunkTokens() * profile.stride();
        double spent = 0;
        while (budget > 0 && !parts.isEmpty()) {
            Part part = parts.get(0);
            long tokens = Math.min(budget, part.tokens);
            double millis = part.millis * tokens / part.tokens;
            budget -= tokens;
            spent += millis;
            part.tokens -= tokens;
            part.millis -= millis;
            if (part.tokens == 0) {
                parts.remove(0);
                part.stream.partsLeft--;
            }
        }
        return spent;
    }

    /** A stream and what its caller sees of it. */
    static final class Stream {
        final double arrivedMillis;
        final double firstEventLimit;
        final double abandonMillis;
        final double maxPause;
        final double weight;
        private int eventsLeft;
        private int partsLeft;
        private double lastEvent = -1;
        private boolean late;

        Stream(double arrivedMillis, PromptRequest request, int events) {
            this.arrivedMillis = arrivedMillis;
            this.firstEventLimit = request.firstEventMillis();
            this.abandonMillis = request.abandonMillis();
            this.maxPause = request.maxPauseMillis();
            this.weight = request.weight();
            this.eventsLeft = events;
        }

        /** Tells whether the caller got the first event and all pauses in time. */
        boolean isOnTime() {
            return !late && eventsLeft <= 0;
        }

        /** Tells whether the caller has left for want of a first event. */
        boolean isAbandoned(double now) {
            return lastEvent < 0 && now > arrivedMillis + abandonMillis;
        }

        int eventsLeft() {
            return eventsLeft;
        }

        private void event(double now) {
            double limit = lastEvent < 0 ? arrivedMillis + firstEventLimit : lastEvent + maxPause;
            late |= now > limit;
            lastEvent = now;
            eventsLeft--;
        }
    }

    private static final class Part {
        private final Stream stream;
        private long tokens;
        private double millis;

        private Part(Stream stream, long tokens, double millis) {
            this.stream = stream;
            this.tokens = Math.max(1, tokens);
            this.millis = millis;
        }
    }
}
