package io.endiveshed.coordination.config;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.base.id.Revision;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Converts a configuration to and from canonical records: one line of JSON for each, sorted by a key such as {@code
 * account/ferry}.
 */
final class ConfigurationRecords {
    private static final String ACCOUNT_PREFIX = "account/";
    private static final String MODEL_PREFIX = "model/";
    private static final String SERVICE_PREFIX = "service/";

    private ConfigurationRecords() {}

    static SortedMap<String, String> of(Configuration configuration) {
        SortedMap<String, String> records = new TreeMap<>();
        configuration
                .accounts()
                .forEach(account -> records.put(
                        ACCOUNT_PREFIX + account.id().value(),
                        ConfigurationJson.writeAccount(account).toString()));
        configuration
                .models()
                .forEach(model -> records.put(
                        MODEL_PREFIX + model.name().value(),
                        ConfigurationJson.writeModel(model).toString()));
        configuration
                .services()
                .forEach(service -> records.put(
                        SERVICE_PREFIX + service.name().value(),
                        ConfigurationJson.writeService(service).toString()));
        return records;
    }

    /**
     * Returns the configuration that the records describe. A client account whose line equals the one in the earlier
     * records is taken from the earlier configuration. Comparing unchanged lines is cheap, because they are the same
     * objects.
     */
    static Configuration toConfiguration(
            Revision revision, Map<String, String> records, Map<String, String> earlierRecords, Configuration earlier) {
        Configuration.Builder builder = Configuration.builder(revision);
        records.forEach((key, line) -> {
            boolean unchanged = line.equals(earlierRecords.get(key));
            if (!unchanged || !reuseAccount(builder, key, earlier)) {
                addRecord(builder, key, JsonParser.parseString(line).getAsJsonObject());
            }
        });
        return builder.build();
    }

    private static boolean reuseAccount(Configuration.Builder builder, String key, Configuration earlier) {
        if (!key.startsWith(ACCOUNT_PREFIX)) {
            return false;
        }
        Optional<AccountConfig> account = earlier.account(new ClientAccountId(key.substring(ACCOUNT_PREFIX.length())));
        account.ifPresent(builder::account);
        return account.isPresent();
    }

    private static void addRecord(Configuration.Builder builder, String key, JsonObject tree) {
        if (key.startsWith(ACCOUNT_PREFIX)) {
            builder.account(ConfigurationJson.readAccount(tree));
        } else if (key.startsWith(MODEL_PREFIX)) {
            builder.model(ConfigurationJson.readModel(tree));
        } else if (key.startsWith(SERVICE_PREFIX)) {
            builder.service(ConfigurationJson.readService(tree));
        } else {
            throw new IllegalArgumentException("unknown kind of configuration record: " + key);
        }
    }

    /**
     * Returns the encoded records, one {@code key TAB json} per line. JSON escapes line breaks, and keys have none.
     */
    static byte[] encode(Map<String, String> records) {
        StringBuilder text = new StringBuilder();
        records.forEach(
                (key, line) -> text.append(key).append('\t').append(line).append('\n'));
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    static Map<String, String> decode(byte[] bytes) {
        Map<String, String> records = new TreeMap<>();
        new String(bytes, StandardCharsets.UTF_8).lines().forEach(line -> {
            int tab = line.indexOf('\t');
            if (tab < 0) {
                throw new IllegalArgumentException("a configuration record has no tab between key and JSON");
            }
            records.put(line.substring(0, tab), line.substring(tab + 1));
        });
        return records;
    }
}
