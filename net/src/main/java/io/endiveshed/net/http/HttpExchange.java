package io.endiveshed.net.http;

import io.endiveshed.net.http.internal.ClientConnection;
import io.endiveshed.protocol.Header;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.pool.SimpleChannelPool;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** One call of an {@link HttpClient}. Safe for use by several threads. */
public final class HttpExchange implements TargetExchange {
    private final SimpleChannelPool pool;
    private final HttpResponseListener listener;
    private Channel channel;
    private boolean cancelled;
    private boolean paused;

    HttpExchange(SimpleChannelPool pool, HttpResponseListener listener) {
        this.pool = pool;
        this.listener = listener;
    }

    @Override
    public void cancel() {
        Channel current;
        synchronized (this) {
            cancelled = true;
            current = channel;
        }
        if (current != null) {
            current.eventLoop().execute(() -> closeIfStillOurs(current));
        }
    }

    @Override
    public void pause(boolean value) {
        synchronized (this) {
            paused = value;
            if (channel != null) {
                channel.config().setAutoRead(!value);
            }
        }
    }

    void begin(Channel acquired, String method, String path, String host, List<Header> headers, byte[] body) {
        synchronized (this) {
            if (!cancelled) {
                channel = acquired;
                acquired.config().setAutoRead(!paused);
            }
        }
        if (channel == null) {
            pool.release(acquired);
            listener.failed(false, "cancelled before it was sent");
            return;
        }
        ClientConnection connection = acquired.pipeline().get(ClientConnection.class);
        acquired.eventLoop().execute(() -> {
            connection.begin(listener, () -> release(acquired));
            acquired.writeAndFlush(request(method, path, host, headers, body));
        });
    }

    private void release(Channel finished) {
        synchronized (this) {
            channel = null;
        }
        finished.config().setAutoRead(true);
        pool.release(finished);
    }

    private synchronized void closeIfStillOurs(Channel current) {
        if (channel == current) {
            current.close();
        }
    }

    private static FullHttpRequest request(String method, String path, String host, List<Header> headers, byte[] body) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), path, Unpooled.wrappedBuffer(body));
        headers.forEach(header -> request.headers().add(header.name(), header.value()));
        request.headers().set(HttpHeaderNames.HOST, host);
        HttpUtil.setContentLength(request, body.length);
        return request;
    }
}
