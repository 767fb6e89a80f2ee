package io.endiveshed.bench.placement;

import io.endiveshed.coordination.engine.EngineCostModel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleUnaryOperator;

/**
 * Simulated engine in virtual time that works in passes as {@link EngineCostModel} describes. Each pass first prefills
 * prompts, up to the chunk size of each step; at its end each decoding stream gets one event.
 */
final class SimulatedEngine {
    private final EngineCostModel costModel;
    private final List<SimulatedStream> streams = new ArrayList<>();
    private final List<PrefillPart> parts = new ArrayList<>();
    private final DoubleUnaryOperator slowdown;
    private double nowMillis;

    SimulatedEngine(EngineCostModel costModel) {
        this(costModel, millis -> 1);
    }

    /** Creates an engine whose passes take longer by a factor that depends on the virtual time in milliseconds. */
    SimulatedEngine(EngineCostModel costModel, DoubleUnaryOperator slowdown) {
        this.costModel = costModel;
        this.slowdown = slowdown;
    }

    /**
     * Adds a prompt, or a part of one, to prefill for a stream. A part of a divided prompt goes ahead of everything
     * else, also of parts that were added earlier; whole prompts are prefilled in the order of their arrival.
     */
    void addPrefill(SimulatedStream stream, long tokens, double millis, boolean isDivided) {
        stream.addPrefillPart();
        parts.add(isDivided ? 0 : parts.size(), new PrefillPart(stream, tokens, millis));
    }

    /** Adds a stream that this engine decodes once its prefill is complete. */
    void addDecoding(SimulatedStream stream) {
        streams.add(stream);
    }

    /** Removes a stream whose caller has disconnected. */
    void cancel(SimulatedStream stream) {
        parts.removeIf(part -> part.stream == stream);
        streams.remove(stream);
    }

    /** Runs passes until the given virtual time in milliseconds. */
    void runUntil(double untilMillis) {
        while (nowMillis < untilMillis) {
            List<SimulatedStream> decoding = new ArrayList<>();
            for (SimulatedStream stream : streams) {
                if (stream.isPrefillComplete() && decoding.size() < costModel.slots()) {
                    decoding.add(stream);
                }
            }
            if (decoding.isEmpty() && parts.isEmpty()) {
                nowMillis = untilMillis;
                return;
            }
            double factor = slowdown.applyAsDouble(nowMillis);
            nowMillis += factor * (prefillOnePass() + (decoding.isEmpty() ? 0 : costModel.passMillis(decoding.size())));
            for (SimulatedStream stream : decoding) {
                stream.recordEvent(nowMillis);
            }
            streams.removeIf(SimulatedStream::isComplete);
        }
    }

    private double prefillOnePass() {
        long tokensLeft = (long) costModel.prefillTokensPerStep() * costModel.stepsPerPass();
        double spentMillis = 0;
        while (tokensLeft > 0 && !parts.isEmpty()) {
            PrefillPart part = parts.get(0);
            long tokens = Math.min(tokensLeft, part.tokens);
            double millis = part.millis * tokens / part.tokens;
            tokensLeft -= tokens;
            spentMillis += millis;
            part.tokens -= tokens;
            part.millis -= millis;
            if (part.tokens == 0) {
                parts.remove(0);
                part.stream.completePrefillPart();
            }
        }
        return spentMillis;
    }

    private static final class PrefillPart {
        private final SimulatedStream stream;
        private long tokens;
        private double millis;

        private PrefillPart(SimulatedStream stream, long tokens, double millis) {
            this.stream = stream;
            this.tokens = Math.max(1, tokens);
            this.millis = millis;
        }
    }
}
