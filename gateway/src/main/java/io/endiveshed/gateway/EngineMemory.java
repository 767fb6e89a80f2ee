package io.endiveshed.gateway;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.net.http.HttpClient;
import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * Reserves engine memory for prompts that do not fit into the memory of one engine. Stages always complete normally.
 *
 * <p>A reservation expires with its lease, so that memory is freed even if the process that reserved it dies.
 */
public interface EngineMemory {
    /**
     * Reserves memory, or renews the lease of an existing reservation.
     *
     * @param client connections to the engine
     * @param engine incarnation of the engine that may grant the reservation; any other must refuse
     * @param id reservation id, unique among all entries
     * @param tokens memory in tokens
     * @param lease time after which the reservation expires, counted from the arrival of the call
     * @return whether the engine holds the memory; false also if it did not respond
     */
    CompletionStage<Boolean> reserve(HttpClient client, InstanceId engine, String id, long tokens, Duration lease);

    /** Releases a reservation; returns whether the engine confirmed the release. */
    CompletionStage<Boolean> release(HttpClient client, InstanceId engine, String id);

    /** Returns whether a request uses a reservation that the engine holds. */
    CompletionStage<Use> use(HttpClient client, InstanceId engine, String id);

    /**
     * Returns whether an engine responds. An engine that does not may be gone, and then the memory that other engines
     * reserved for its request is unused.
     */
    CompletionStage<Boolean> isResponding(HttpClient client, InstanceId engine);

    /** Whether a request uses a reservation. */
    enum Use {
        USED,
        UNUSED,

        /** The engine did not answer, or holds no such reservation. */
        UNKNOWN
    }
}
