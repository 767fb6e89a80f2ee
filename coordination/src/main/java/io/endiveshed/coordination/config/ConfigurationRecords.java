package io.endiveshed.coordination.config;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.endiveshed.base.id.Revision;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A configuration as canonical text: one line of JSON per record, by a key such as {@code account/ferry}, sorted.
 */
final class ConfigurationRecords {
    private static final String ACCOUNT = "account/";
    private static final String MODEL = "model/";
    private static final String SERVICE = "service/";

    private ConfigurationRecords() {}

    static SortedMap<String, String> of(Configuration configuration) {
        SortedMap<String, String> records = new TreeMap<>();
        configuration
                .accounts()
                .forEach(account -> records.put(
                        ACCOUNT + account.id().value(),
                        ConfigurationJson.account(account).toString()));
        configuration
                .models()
                .forEach(model -> records.put(
                        MODEL + model.name().value(),
                        ConfigurationJson.model(model).toString()));
        configuration
                .services()
                .forEach(service -> records.put(
                        SERVICE + service.name().value(),
                        ConfigurationJson.service(service).toString()));
        return records;
    }

    static Configuration read(Revision revision, Map<String, String> records) {
        Configuration.Builder builder = Configuration.builder(revision);
        records.forEach((key, line) -> {
            JsonObject tree = JsonParser.parseString(line).getAsJsonObject();
            if (key.startsWith(ACCOUNT)) {
                builder.account(ConfigurationJson.readAccount(tree));
            } else if (key.startsWith(MODEL)) {
                builder.model(ConfigurationJson.readModel(tree));
            } else if (key.startsWith(SERVICE)) {
                builder.service(ConfigurationJson.readService(tree));
            } else {
                throw new IllegalArgumentException("unknown record " + key);
            }
        });
        return builder.build();
    }

    /** Writes records, one {@code key TAB json} a line; JSON escapes line ends and keys have none. */
    static byte[] write(Map<String, String> records) {
        StringBuilder text = new StringBuilder();
        records.forEach(
                (key, line) -> text.append(key).append('\t').append(line).append('\n'));
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    static Map<String, String> parse(byte[] bytes) {
        Map<String, String> records = new TreeMap<>();
        new String(bytes, StandardCharsets.UTF_8).lines().forEach(line -> {
            int tab = line.indexOf('\t');
            if (tab < 0) {
                throw new IllegalArgumentException("a line has no tab");
            }
            records.put(line.substring(0, tab), line.substring(tab + 1));
        });
        return records;
    }
}
