package io.endiveshed.entry;

import com.google.gson.Gson;
import io.endiveshed.ports.platform.ObjectKey;
import java.nio.charset.StandardCharsets;

/**
 * State of an entry daemon that operators see.
 *
 * @param instance instance id
 * @param incarnation incarnation in hexadecimal digits
 * @param region region
 * @param failureDomain failure domain
 * @param revision configuration revision in effect
 * @param followsStore whether the configuration is read from the store; false while it comes from sidecars only
 * @param targets targets linked to this entry
 * @param writtenAtMillis time of this report in milliseconds since 1970, by the clock of the instance
 */
public record EntryStatus(
        String instance,
        String incarnation,
        String region,
        String failureDomain,
        long revision,
        boolean followsStore,
        int targets,
        long writtenAtMillis) {
    /** Kind of the objects in the store; their names are the instances. */
    public static final String KIND = "entry-status";

    private static final Gson GSON = new Gson();

    /** Returns the key of the object. */
    public ObjectKey key() {
        return new ObjectKey(KIND, instance);
    }

    /** Writes the status as JSON. */
    public byte[] toJson() {
        return GSON.toJson(this).getBytes(StandardCharsets.UTF_8);
    }

    /** Reads a status; throws a {@link RuntimeException} for another form. */
    public static EntryStatus fromJson(byte[] json) {
        return GSON.fromJson(new String(json, StandardCharsets.UTF_8), EntryStatus.class);
    }
}
