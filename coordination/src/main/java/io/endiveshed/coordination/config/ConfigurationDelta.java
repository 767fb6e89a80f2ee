package io.endiveshed.coordination.config;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collection;
import java.util.Map;

/**
 * Difference between two configuration contents, as peers send it to each other.
 *
 * @param baseDigest hexadecimal digest of the content to which the delta applies
 * @param resultDigest hexadecimal digest of the content that results
 * @param changed new or changed records by key
 * @param removed keys of removed records
 */
record ConfigurationDelta(
        String baseDigest, String resultDigest, Map<String, String> changed, Collection<String> removed) {

    /** Returns the encoded form: a header line of JSON, then the changed records. */
    byte[] encode() {
        JsonObject header = new JsonObject();
        header.addProperty("base", baseDigest);
        header.addProperty("result", resultDigest);
        header.add("removed", ConfigurationJson.writeStrings(removed));
        byte[] headerLine = (header + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] changedRecords = ConfigurationRecords.encode(changed);
        byte[] all = Arrays.copyOf(headerLine, headerLine.length + changedRecords.length);
        System.arraycopy(changedRecords, 0, all, headerLine.length, changedRecords.length);
        return all;
    }

    /** Decodes a delta; throws a {@link RuntimeException} if the bytes are malformed. */
    static ConfigurationDelta decode(byte[] bytes) {
        int headerEnd = 0;
        while (bytes[headerEnd] != '\n') {
            headerEnd++;
        }
        JsonObject header = JsonParser.parseString(new String(bytes, 0, headerEnd, StandardCharsets.UTF_8))
                .getAsJsonObject();
        return new ConfigurationDelta(
                header.get("base").getAsString(),
                header.get("result").getAsString(),
                ConfigurationRecords.decode(Arrays.copyOfRange(bytes, headerEnd + 1, bytes.length)),
                ConfigurationJson.readStrings(header, "removed"));
    }
}
