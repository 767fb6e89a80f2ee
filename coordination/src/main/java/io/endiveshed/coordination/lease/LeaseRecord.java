package io.endiveshed.coordination.lease;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import io.endiveshed.base.id.FencingToken;
import io.endiveshed.base.id.Incarnation;
import io.endiveshed.base.id.InstanceId;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;

/**
 * Content of a lease object in the store.
 *
 * @param holder process that wrote the record
 * @param token fencing token of the holder
 * @param durationMillis time for which the write keeps the lease, in milliseconds
 * @param released whether the holder has released the lease
 * @param nonce random number of the write, by which the writer finds out after a lost reply whether it took effect
 */
public record LeaseRecord(LeaseHolder holder, FencingToken token, long durationMillis, boolean released, long nonce) {
    private static final Gson GSON = new Gson();

    /** Returns the record as JSON in UTF-8. */
    public byte[] encode() {
        Json json = new Json();
        json.instance = holder.instance().value();
        json.incarnation = holder.incarnation().value();
        json.token = token.value();
        json.durationMillis = durationMillis;
        json.released = released;
        json.nonce = nonce;
        return GSON.toJson(json).getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes a record from JSON in UTF-8, or returns {@link LeaseError#MALFORMED}. */
    public static Either<LeaseError, LeaseRecord> decode(byte[] bytes) {
        try {
            Json json = GSON.fromJson(new String(bytes, StandardCharsets.UTF_8), Json.class);
            if (json == null || json.token < 1 || json.durationMillis < 1) {
                return Either.left(LeaseError.MALFORMED);
            }
            LeaseHolder holder = new LeaseHolder(new InstanceId(json.instance), new Incarnation(json.incarnation));
            return Either.right(new LeaseRecord(
                    holder, new FencingToken(json.token), json.durationMillis, json.released, json.nonce));
        } catch (JsonParseException | IllegalArgumentException e) {
            return Either.left(LeaseError.MALFORMED);
        }
    }

    /** JSON form; the field names are the names in the stored object. */
    private static final class Json {
        private String instance;
        private long incarnation;
        private long token;
        private long durationMillis;
        private boolean released;
        private long nonce;
    }
}
