package io.endiveshed.bench.policy;

import io.endiveshed.base.id.AttemptId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Engine with continuous batching in virtual time. Each step decodes one token of every request in the batch and
 * prefills at most one chunk of tokens, of the requests with the best priority first.
 */
final class FakeEngine {
    private final EngineSpec spec;
    private final EventLoop loop;
    private final Listener listener;
    private final Map<AttemptId, Job> jobs = new LinkedHashMap<>();
    private final TreeSet<Job> prefilling = new TreeSet<>();
    private final List<Job> decoding = new ArrayList<>();
    private final Map<Long, Long> cache = new LinkedHashMap<>(16, 0.75f, true);
    private long cachedTokens;
    private long sequence;
    private boolean stepping;
    private boolean stopped;
    private double slowness = 1;

    FakeEngine(EngineSpec spec, EventLoop loop, Listener listener) {
        this.spec = spec;
        this.loop = loop;
        this.listener = listener;
    }

    /** Makes every step take this many times longer. */
    void slowness(double factor) {
        slowness = factor;
    }

    /** Stops for good without telling anyone. */
    void stop() {
        stopped = true;
    }

    void start(AttemptId attempt, SimRequest request, int priority) {
        Job job = new Job(attempt, request, priority, sequence++);
        long hit = cache.getOrDefault(request.prefixKey, 0L);
        job.cached = Math.min(request.promptTokens - 1, Math.min(hit, request.prefixTokens));
        job.done = job.cached;
        job.startedNanos = loop.now();
        job.alone = prefilling.isEmpty();
        prefilling.forEach(other -> other.alone = false);
        jobs.put(attempt, job);
        prefilling.add(job);
        step();
    }

    void cancel(AttemptId attempt) {
        Job job = jobs.remove(attempt);
        if (job != null) {
            prefilling.remove(job);
            decoding.remove(job);
        }
    }

    private void step() {
        if (stepping || stopped || jobs.isEmpty()) {
            return;
        }
        stepping = true;
        List<Job> decoders = List.copyOf(decoding);
        Map<Job, Long> chunks = new LinkedHashMap<>();
        double prefill = 0;
        long budget = spec.chunkTokens();
        for (Job job : prefilling) {
            if (budget <= 0) {
                break;
            }
            long tokens = Math.min(budget, job.request.promptTokens - job.done);
            prefill += spec.prefillNanos(job.done, job.done + tokens);
            chunks.put(job, tokens);
            budget -= tokens;
        }
        double time = Math.max((double) spec.stepNanos(), prefill) + spec.decodeNanos() * decoders.size();
        loop.after(Math.round(time * slowness), () -> endStep(decoders, chunks));
    }

    private void endStep(List<Job> decoders, Map<Job, Long> chunks) {
        if (stopped) {
            return;
        }
        stepping = false;
        decoders.forEach(this::decode);
        chunks.forEach(this::prefill);
        step();
    }

    private void prefill(Job job, long tokens) {
        if (!jobs.containsKey(job.attempt)) {
            return;
        }
        job.done += tokens;
        if (job.done < job.request.promptTokens) {
            return;
        }
        prefilling.remove(job);
        keepPrefix(job.request);
        job.generated = 1;
        long uninterrupted = job.alone ? loop.now() - job.startedNanos : 0;
        listener.firstToken(job.attempt, new Prefill(job.request.promptTokens, job.cached, uninterrupted));
        if (job.generated >= job.request.outputTokens) {
            complete(job);
        } else {
            decoding.add(job);
        }
    }

    private void decode(Job job) {
        if (jobs.containsKey(job.attempt) && ++job.generated >= job.request.outputTokens) {
            decoding.remove(job);
            complete(job);
        }
    }

    private void complete(Job job) {
        jobs.remove(job.attempt);
        listener.completed(job.attempt);
    }

    private void keepPrefix(SimRequest request) {
        if (request.prefixTokens == 0 || request.prefixTokens > spec.cacheTokens()) {
            return;
        }
        Long old = cache.put(request.prefixKey, request.prefixTokens);
        cachedTokens += request.prefixTokens - (old == null ? 0 : old);
        while (cachedTokens > spec.cacheTokens()) {
            Long eldest = cache.keySet().iterator().next();
            cachedTokens -= cache.remove(eldest);
        }
    }

    /** Told of progress. */
    interface Listener {
        void firstToken(AttemptId attempt, Prefill prefill);

        void completed(AttemptId attempt);
    }

    /** A finished prefill; the time is 0 if another prefill was in progress meanwhile. */
    record Prefill(long promptTokens, long cachedTokens, long uninterruptedNanos) {}

    private static final class Job implements Comparable<Job> {
        private final AttemptId attempt;
        private final SimRequest request;
        private final int priority;
        private final long sequence;
        private long cached;
        private long done;
        private int generated;
        private long startedNanos;
        private boolean alone;

        Job(AttemptId attempt, SimRequest request, int priority, long sequence) {
            this.attempt = attempt;
            this.request = request;
            this.priority = priority;
            this.sequence = sequence;
        }

        @Override
        public int compareTo(Job other) {
            int byPriority = Integer.compare(priority, other.priority);
            return byPriority != 0 ? byPriority : Long.compare(sequence, other.sequence);
        }
    }
}
