package io.endiveshed.net.http.internal;

import io.endiveshed.net.http.HttpClientOptions;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Time for which a connection may be idle, which ends before the server's idle timeout. */
final class IdleLimit {
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=([0-9]{1,6})");

    private final HttpClientOptions options;
    private long maxIdleMillis;
    private long idleSinceNanos = System.nanoTime();

    IdleLimit(HttpClientOptions options) {
        this.options = options;
        this.maxIdleMillis = options.maxIdle().toMillis();
    }

    /** Adopts the idle timeout that a server announces; null if its response announces none. */
    void adopt(String keepAliveHeader) {
        if (keepAliveHeader == null) {
            return;
        }
        Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(keepAliveHeader);
        if (matcher.find()) {
            long announced = TimeUnit.SECONDS.toMillis(Long.parseLong(matcher.group(1)));
            long usable = announced - options.keepAliveMargin().toMillis();
            maxIdleMillis = Math.max(0, Math.min(options.maxIdle().toMillis(), usable));
        }
    }

    /** Starts the idle time; returns its limit in milliseconds. */
    long start() {
        idleSinceNanos = System.nanoTime();
        return maxIdleMillis;
    }

    /** Returns whether the connection has been idle for the maximum time, unless it is in use. */
    boolean isReached() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - idleSinceNanos) >= maxIdleMillis;
    }
}
