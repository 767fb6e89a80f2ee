package io.endiveshed.coordination.config;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collection;
import java.util.Map;

/**
 * The change from one content to another, as peers send it.
 *
 * @param baseDigest digest of the content to which the change applies
 * @param resultDigest digest of the result
 * @param changed new or changed records by key
 * @param removed keys of removed records
 */
record ConfigurationDelta(
        String baseDigest, String resultDigest, Map<String, String> changed, Collection<String> removed) {

    /** Writes a header line and the changed records. */
    byte[] write() {
        JsonObject header = new JsonObject();
        header.addProperty("base", baseDigest);
        header.addProperty("result", resultDigest);
        header.add("removed", ConfigurationJson.texts(removed));
        byte[] first = (header + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] rest = ConfigurationRecords.write(changed);
        byte[] all = Arrays.copyOf(first, first.length + rest.length);
        System.arraycopy(rest, 0, all, first.length, rest.length);
        return all;
    }

    /** Reads the written form; throws a {@link RuntimeException} for another form. */
    static ConfigurationDelta read(byte[] bytes) {
        int end = 0;
        while (bytes[end] != '\n') {
            end++;
        }
        JsonObject header = JsonParser.parseString(new String(bytes, 0, end, StandardCharsets.UTF_8))
                .getAsJsonObject();
        return new ConfigurationDelta(
                header.get("base").getAsString(),
                header.get("result").getAsString(),
                ConfigurationRecords.parse(Arrays.copyOfRange(bytes, end + 1, bytes.length)),
                ConfigurationJson.readTexts(header, "removed"));
    }
}
