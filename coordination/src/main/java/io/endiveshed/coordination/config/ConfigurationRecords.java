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

    /**
     * Reads records; a record whose line is the same in the earlier records is taken from the earlier configuration.
     * Unchanged lines are the same objects, so that comparing them costs next to nothing.
     */
    static Configuration read(
            Revision revision, Map<String, String> records, Map<String, String> earlierRecords, Configuration earlier) {
        Configuration.Builder builder = Configuration.builder(revision);
        records.forEach((key, line) -> {
            boolean unchanged = line.equals(earlierRecords.get(key));
            if (!unchanged || !reuse(builder, key, earlier)) {
                add(builder, key, JsonParser.parseString(line).getAsJsonObject());
            }
        });
        return builder.build();
    }

    private static boolean reuse(Configuration.Builder builder, String key, Configuration earlier) {
        if (!key.startsWith(ACCOUNT)) {
            return false;
        }
        Optional<AccountConfig> account = earlier.account(new ClientAccountId(key.substring(ACCOUNT.length())));
        account.ifPresent(builder::account);
        return account.isPresent();
    }

    private static void add(Configuration.Builder builder, String key, JsonObject tree) {
        if (key.startsWith(ACCOUNT)) {
            builder.account(ConfigurationJson.readAccount(tree));
        } else if (key.startsWith(MODEL)) {
            builder.model(ConfigurationJson.readModel(tree));
        } else if (key.startsWith(SERVICE)) {
            builder.service(ConfigurationJson.readService(tree));
        } else {
            throw new IllegalArgumentException("unknown record " + key);
        }
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
