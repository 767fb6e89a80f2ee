package io.endiveshed.coordination.claim;

import io.endiveshed.base.id.ServiceName;
import io.endiveshed.ports.platform.ObjectKey;
import io.endiveshed.ports.platform.ObjectStore;
import io.endiveshed.ports.platform.ObjectVersion;
import io.endiveshed.ports.platform.StoreError;
import io.vavr.control.Either;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Names and last known versions of the objects of one partition. */
final class SlotRing {
    /** Kind of the objects of claim logs. */
    static final String KIND = "claim";

    private final String prefix;
    private final int slots;
    private final Map<ObjectKey, ObjectVersion> versions = new HashMap<>();

    SlotRing(ServiceName service, int partition, int slots) {
        // Encoded, because a service name may contain slashes and one prefix must not match another service's.
        this.prefix = URLEncoder.encode(service.value(), StandardCharsets.UTF_8) + "/" + partition + "/";
        this.slots = slots;
    }

    String prefix() {
        return prefix;
    }

    ObjectKey snapshot() {
        return new ObjectKey(KIND, prefix + "snapshot");
    }

    ObjectKey slot(long entryNumber) {
        return new ObjectKey(KIND, prefix + "slot/" + entryNumber % slots);
    }

    void note(ObjectKey key, ObjectVersion version) {
        versions.put(key, version);
    }

    Optional<ObjectVersion> version(ObjectKey key) {
        return Optional.ofNullable(versions.get(key));
    }

    /** Writes an object under the condition that it still has its last known version. */
    CompletionStage<Either<StoreError, ObjectVersion>> write(ObjectStore store, ObjectKey key, byte[] value) {
        ObjectVersion expected = versions.get(key);
        return expected == null ? store.create(key, value) : store.update(key, expected, value);
    }
}
