package io.endiveshed.net.http.internal;

import io.netty.channel.ChannelHandlerContext;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** The one timeout of a connection that is running. Confined to the event loop of the connection. */
final class ConnectionTimer {
    private ScheduledFuture<?> timeout;

    boolean isRunning() {
        return timeout != null;
    }

    /** Runs the action after a time, in place of the action that was to run before. */
    void start(ChannelHandlerContext ctx, Duration after, Runnable action) {
        cancel();
        timeout = ctx.executor()
                .schedule(
                        () -> {
                            timeout = null;
                            action.run();
                        },
                        after.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    void cancel() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }
}
