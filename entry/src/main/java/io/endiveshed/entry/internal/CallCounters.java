package io.endiveshed.entry.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.error.ErrorKind;
import java.util.EnumMap;
import java.util.Map;

/** Counters of the data path of an entry. */
public final class CallCounters {
    private final Map<ErrorKind, Counter> errors = new EnumMap<>(ErrorKind.class);
    private final Counter droppedFrames;
    private final Counter retries;
    private final Counter cancels;
    private final Counter resumes;

    /** Registers the counters. */
    public CallCounters(MetricRegistry registry) {
        for (ErrorKind kind : ErrorKind.values()) {
            errors.put(kind, registry.counter("entry.errors." + kind.code()));
        }
        droppedFrames = registry.counter("entry.dropped_frames");
        retries = registry.counter("entry.retries");
        cancels = registry.counter("entry.cancels");
        resumes = registry.counter("entry.resumes");
    }

    void countError(ErrorKind kind) {
        errors.get(kind).inc();
    }

    void countDroppedFrame() {
        droppedFrames.inc();
    }

    void countRetry() {
        retries.inc();
    }

    void countCancel() {
        cancels.inc();
    }

    void countResume() {
        resumes.inc();
    }
}
