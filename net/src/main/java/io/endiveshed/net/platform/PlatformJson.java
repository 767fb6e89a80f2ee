package io.endiveshed.net.platform;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.Region;
import io.endiveshed.ports.platform.ListedInstance;
import io.endiveshed.ports.platform.ObjectKey;
import io.endiveshed.ports.platform.ObjectVersion;
import io.endiveshed.ports.platform.StoredObject;
import io.endiveshed.ports.platform.WatchBatch;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;

/**
 * Converts between the values of the object API and their JSON. The methods that parse JSON throw a
 * {@link RuntimeException} if it is malformed.
 */
public final class PlatformJson {
    private static final Gson GSON = new Gson();

    private PlatformJson() {}

    /** Returns the JSON body of a PUT request. */
    public static byte[] value(byte[] value) {
        JsonObject root = new JsonObject();
        root.addProperty("value", Base64.getEncoder().encodeToString(value));
        return toBytes(root);
    }

    /** Parses the JSON body of a PUT request. */
    public static byte[] readValue(byte[] json) {
        return Base64.getDecoder().decode(parse(json).get("value").getAsString());
    }

    /** Returns the JSON of a version. */
    public static byte[] version(ObjectVersion version) {
        JsonObject root = new JsonObject();
        root.addProperty("version", version.value());
        return toBytes(root);
    }

    /** Parses the JSON of a version. */
    public static ObjectVersion readVersion(byte[] json) {
        return new ObjectVersion(parse(json).get("version").getAsLong());
    }

    /** Returns the JSON of an object. */
    public static byte[] object(StoredObject object) {
        return toBytes(toJson(object));
    }

    /** Parses the JSON of an object. */
    public static StoredObject readObject(byte[] json) {
        return toObject(parse(json));
    }

    /** Returns the JSON of a list of objects. */
    public static byte[] objects(List<StoredObject> objects) {
        return toBytes(toJsonArray("objects", objects, PlatformJson::toJson));
    }

    /** Parses the JSON of a list of objects. */
    public static List<StoredObject> readObjects(byte[] json) {
        return readArray(parse(json), "objects", PlatformJson::toObject);
    }

    /** Returns the JSON of the result of a watch. */
    public static byte[] batch(WatchBatch batch) {
        JsonObject root = toJsonArray("objects", batch.changed(), PlatformJson::toJson);
        root.addProperty("upTo", batch.upTo().value());
        return toBytes(root);
    }

    /** Parses the JSON of the result of a watch. */
    public static WatchBatch readBatch(byte[] json) {
        JsonObject root = parse(json);
        return new WatchBatch(
                readArray(root, "objects", PlatformJson::toObject),
                new ObjectVersion(root.get("upTo").getAsLong()));
    }

    /** Returns the JSON of a list of instances. */
    public static byte[] instances(List<ListedInstance> instances) {
        return toBytes(toJsonArray("instances", instances, PlatformJson::toJson));
    }

    /** Parses the JSON of a list of instances. */
    public static List<ListedInstance> readInstances(byte[] json) {
        return readArray(parse(json), "instances", PlatformJson::toInstance);
    }

    private static JsonObject toJson(StoredObject object) {
        JsonObject tree = new JsonObject();
        tree.addProperty("kind", object.key().kind());
        tree.addProperty("name", object.key().name());
        tree.addProperty("version", object.version().value());
        tree.addProperty("value", Base64.getEncoder().encodeToString(object.value()));
        return tree;
    }

    private static StoredObject toObject(JsonObject tree) {
        return new StoredObject(
                new ObjectKey(tree.get("kind").getAsString(), tree.get("name").getAsString()),
                new ObjectVersion(tree.get("version").getAsLong()),
                Base64.getDecoder().decode(tree.get("value").getAsString()));
    }

    private static JsonObject toJson(ListedInstance instance) {
        JsonObject tree = new JsonObject();
        tree.addProperty("id", instance.id().value());
        tree.addProperty("role", instance.role().name().toLowerCase(Locale.ROOT));
        tree.addProperty("region", instance.region().value());
        tree.addProperty("failureDomain", instance.failureDomain().value());
        tree.addProperty("host", instance.host());
        tree.addProperty("port", instance.port());
        tree.addProperty("leaving", instance.leaving());
        return tree;
    }

    private static ListedInstance toInstance(JsonObject tree) {
        return new ListedInstance(
                new InstanceId(tree.get("id").getAsString()),
                ListedInstance.Role.valueOf(tree.get("role").getAsString().toUpperCase(Locale.ROOT)),
                new Region(tree.get("region").getAsString()),
                new FailureDomain(tree.get("failureDomain").getAsString()),
                tree.get("host").getAsString(),
                tree.get("port").getAsInt(),
                tree.get("leaving").getAsBoolean());
    }

    private static <T> JsonObject toJsonArray(String field, List<T> items, Function<T, JsonObject> converter) {
        JsonArray array = new JsonArray();
        items.forEach(item -> array.add(converter.apply(item)));
        JsonObject root = new JsonObject();
        root.add(field, array);
        return root;
    }

    private static <T> List<T> readArray(JsonObject root, String field, Function<JsonObject, T> converter) {
        List<T> items = new ArrayList<>();
        for (JsonElement element : root.getAsJsonArray(field)) {
            items.add(converter.apply(element.getAsJsonObject()));
        }
        return items;
    }

    private static JsonObject parse(byte[] json) {
        return JsonParser.parseString(new String(json, StandardCharsets.UTF_8)).getAsJsonObject();
    }

    private static byte[] toBytes(JsonObject tree) {
        return GSON.toJson(tree).getBytes(StandardCharsets.UTF_8);
    }
}
