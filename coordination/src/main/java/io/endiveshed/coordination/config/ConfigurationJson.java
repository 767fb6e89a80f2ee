package io.endiveshed.coordination.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.ModelName;
import io.endiveshed.base.id.Region;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.time.OpeningHours;
import java.time.DayOfWeek;
import java.time.Duration;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/**
 * Converts the records of a configuration to and from JSON. The order of the fields is fixed, so that equal records
 * have equal bytes.
 */
final class ConfigurationJson {
    private ConfigurationJson() {}

    static JsonObject writeAccount(AccountConfig account) {
        JsonObject tree = new JsonObject();
        tree.addProperty("id", account.id().value());
        tree.add("keys", writeStrings(account.keyHashes()));
        tree.addProperty("weight", account.weight());
        tree.addProperty("priority", account.priority());
        tree.addProperty("requestsPerSecond", account.limits().requestsPerSecond());
        tree.addProperty("tokensPerMinute", account.limits().tokensPerMinute());
        tree.addProperty("maxOutstanding", account.limits().maxOutstanding());
        tree.add("allowed", writeStrings(account.allowed()));
        return tree;
    }

    static AccountConfig readAccount(JsonObject tree) {
        return new AccountConfig(
                new ClientAccountId(tree.get("id").getAsString()),
                readStrings(tree, "keys"),
                tree.get("weight").getAsInt(),
                tree.get("priority").getAsInt(),
                new AccountLimits(
                        tree.get("requestsPerSecond").getAsLong(),
                        tree.get("tokensPerMinute").getAsLong(),
                        tree.get("maxOutstanding").getAsLong()),
                readStrings(tree, "allowed"));
    }

    static JsonObject writeModel(ModelConfig model) {
        JsonObject tree = new JsonObject();
        tree.addProperty("name", model.name().value());
        tree.addProperty("deadlineMs", model.defaultDeadline().toMillis());
        tree.add("offerings", writeArray(model.offerings(), ConfigurationJson::writeOffering));
        tree.addProperty("engineChecksTokens", model.engineChecksTokens());
        return tree;
    }

    static ModelConfig readModel(JsonObject tree) {
        return new ModelConfig(
                new ModelName(tree.get("name").getAsString()),
                Duration.ofMillis(tree.get("deadlineMs").getAsLong()),
                readArray(tree, "offerings", ConfigurationJson::readOffering),
                tree.get("engineChecksTokens").getAsBoolean());
    }

    static JsonObject writeService(ServiceConfig service) {
        JsonObject tree = new JsonObject();
        tree.addProperty("name", service.name().value());
        tree.add("nonRepeatableRoutes", writeStrings(service.nonRepeatableRoutes()));
        tree.addProperty("deadlineMs", service.defaultDeadline().toMillis());
        tree.add("offerings", writeArray(service.offerings(), ConfigurationJson::writeOffering));
        tree.addProperty("keyRetentionMs", service.keyRetention().toMillis());
        return tree;
    }

    static ServiceConfig readService(JsonObject tree) {
        return new ServiceConfig(
                new ServiceName(tree.get("name").getAsString()),
                readStrings(tree, "nonRepeatableRoutes"),
                Duration.ofMillis(tree.get("deadlineMs").getAsLong()),
                readArray(tree, "offerings", ConfigurationJson::readOffering),
                Duration.ofMillis(tree.get("keyRetentionMs").getAsLong()));
    }

    static <T> JsonArray writeArray(Collection<T> items, Function<T, JsonObject> writer) {
        JsonArray array = new JsonArray();
        items.forEach(item -> array.add(writer.apply(item)));
        return array;
    }

    static <T> List<T> readArray(JsonObject tree, String field, Function<JsonObject, T> reader) {
        List<T> items = new ArrayList<>();
        for (JsonElement element : tree.getAsJsonArray(field)) {
            items.add(reader.apply(element.getAsJsonObject()));
        }
        return items;
    }

    static JsonArray writeStrings(Collection<String> strings) {
        JsonArray array = new JsonArray();
        strings.forEach(array::add);
        return array;
    }

    static List<String> readStrings(JsonObject tree, String field) {
        List<String> strings = new ArrayList<>();
        tree.getAsJsonArray(field).forEach(element -> strings.add(element.getAsString()));
        return strings;
    }

    private static JsonObject writeOffering(Offering offering) {
        JsonObject tree = new JsonObject();
        tree.addProperty("region", offering.region().value());
        tree.addProperty("failureDomain", offering.failureDomain().value());
        tree.addProperty("zone", offering.hours().zone().getId());
        tree.add("windows", writeArray(offering.hours().windows(), ConfigurationJson::writeWindow));
        return tree;
    }

    private static Offering readOffering(JsonObject tree) {
        return new Offering(
                new Region(tree.get("region").getAsString()),
                new FailureDomain(tree.get("failureDomain").getAsString()),
                new OpeningHours(
                        ZoneId.of(tree.get("zone").getAsString()),
                        readArray(tree, "windows", ConfigurationJson::readWindow)));
    }

    private static JsonObject writeWindow(OpeningHours.Window window) {
        JsonObject tree = new JsonObject();
        tree.add(
                "days",
                writeStrings(
                        window.days().stream().sorted().map(DayOfWeek::name).toList()));
        tree.addProperty("opens", window.open().toString());
        tree.addProperty("closes", window.close().toString());
        return tree;
    }

    private static OpeningHours.Window readWindow(JsonObject tree) {
        Set<DayOfWeek> days = new LinkedHashSet<>();
        readStrings(tree, "days").forEach(day -> days.add(DayOfWeek.valueOf(day)));
        return new OpeningHours.Window(
                days,
                LocalTime.parse(tree.get("opens").getAsString()),
                LocalTime.parse(tree.get("closes").getAsString()));
    }
}
