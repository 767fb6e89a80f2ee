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

/** Keys and last known versions of the store objects of one partition: a snapshot and a ring of entry slots. */
final class PartitionObjects {
    /** Kind of the store objects of claim logs. */
    static final String KIND = "claim";

    private final String prefix;
    private final int slots;
    private final Map<ObjectKey, ObjectVersion> versions = new HashMap<>();

    PartitionObjects(ServiceName service, int partition, int slots) {
        // A service name may contain slashes. It is encoded so that its prefix does not match objects of another
        // service.
        this.prefix = URLEncoder.encode(service.value(), StandardCharsets.UTF_8) + "/" + partition + "/";
        this.slots = slots;
    }

    String prefix() {
        return prefix;
    }

    ObjectKey snapshot() {
        return new ObjectKey(KIND, prefix + "snapshot");
    }

    /**
     * Returns the key of the slot object for an entry; entry numbers that differ by the number of slots share a slot.
     */
    ObjectKey slot(long entryNumber) {
        return new ObjectKey(KIND, prefix + "slot/" + entryNumber % slots);
    }

    /** Records the version of an object that was read or written. */
    void recordVersion(ObjectKey key, ObjectVersion version) {
        versions.put(key, version);
    }

    /** Returns the last known version of an object. */
    Optional<ObjectVersion> version(ObjectKey key) {
        return Optional.ofNullable(versions.get(key));
    }

    /**
     * Writes an object if the store still has its last known version, or creates it if no version is known. Does not
     * record the new version.
     */
    CompletionStage<Either<StoreError, ObjectVersion>> write(ObjectStore store, ObjectKey key, byte[] value) {
        ObjectVersion expected = versions.get(key);
        return expected == null ? store.create(key, value) : store.update(key, expected, value);
    }
}
