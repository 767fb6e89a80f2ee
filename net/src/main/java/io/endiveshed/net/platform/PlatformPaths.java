package io.endiveshed.net.platform;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/**
 * Paths, query parameters and header fields of the platform's object API.
 *
 * <pre>
 * GET /v1/objects/{kind}/{name}                            200 with the object, 404
 * GET /v1/objects/{kind}?prefix=P                          200 with all objects whose name starts with P
 * PUT /v1/objects/{kind}/{name}, If-None-Match: *          200 with the version, 412 if the object exists
 * PUT /v1/objects/{kind}/{name}, If-Match: "V"             200 with the version, 412 if the version differs
 * GET /v1/watch/{kind}?after=V&amp;timeout-ms=T                200 with the changes after version V, 410 if too old
 * GET /v1/instances                                        200 with the list of instances
 * </pre>
 *
 * All calls: 413 if the value is too large, 429 and 503 if the call was refused and had no effect. After any other
 * failure of a PUT it is unknown whether the PUT took effect. Values are Base64 text in JSON.
 */
public final class PlatformPaths {
    /** Path prefix of objects. */
    public static final String OBJECTS = "/v1/objects/";

    /** Path prefix of watches. */
    public static final String WATCH = "/v1/watch/";

    /** Path of the list of instances. */
    public static final String INSTANCES = "/v1/instances";

    /** Header field of a PUT that creates an object. */
    public static final String IF_NONE_MATCH = "if-none-match";

    /** Header field of a PUT that updates an object; its value is the expected version in double quotes. */
    public static final String IF_MATCH = "if-match";

    /** Query parameter of a list: the prefix of the objects' names. */
    public static final String PREFIX = "prefix";

    /** Query parameter of a watch: the version after which changes are returned. */
    public static final String AFTER = "after";

    /** Query parameter of a watch: maximum wait in milliseconds. */
    public static final String TIMEOUT_MS = "timeout-ms";

    private PlatformPaths() {}

    /** Returns the path of an object. */
    public static String object(String kind, String name) {
        return OBJECTS + encode(kind) + "/" + encode(name);
    }

    /** Returns the path and query of a list. */
    public static String list(String kind, String prefix) {
        return OBJECTS + encode(kind) + "?" + PREFIX + "=" + encode(prefix);
    }

    /** Returns the path and query of a watch. */
    public static String watch(String kind, long after, Duration timeout) {
        return WATCH + encode(kind) + "?" + AFTER + "=" + after + "&" + TIMEOUT_MS + "=" + timeout.toMillis();
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
