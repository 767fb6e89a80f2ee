package io.endiveshed.bench.soak;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What the stand-ins executed. Safe for use by several threads. */
final class Executions {
    private final Set<Long> calls = ConcurrentHashMap.newKeySet();
    private final Map<String, Collection<Long>> byKey = new ConcurrentHashMap<>();

    /** Notes that an engine began to generate for a prompt, which begins with the number of its call. */
    void prompt(String prompt) {
        calls.add(Long.parseLong(prompt.substring(0, prompt.indexOf(' '))));
    }

    /** Notes that a plain service executed a booking. */
    void booking(String key, long call) {
        calls.add(call);
        byKey.computeIfAbsent(key, none -> new ConcurrentLinkedQueue<>()).add(call);
    }

    boolean contains(long call) {
        return calls.contains(call);
    }

    /** Returns the calls that executed each key. */
    Map<String, Collection<Long>> byKey() {
        return byKey;
    }

    int size() {
        return calls.size();
    }
}
