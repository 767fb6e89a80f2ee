package io.endiveshed.net.http;

import io.endiveshed.net.http.internal.ClientConnection;
import io.endiveshed.protocol.Header;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** Request in progress of an {@link HttpClient}. Safe for use by several threads. */
public final class HttpExchange implements TargetExchange {
    private final HttpClient client;
    private final HttpResponseListener listener;
    private final ExchangeOptions options;
    private final String method;
    private final String path;
    private final String host;
    private final List<Header> headers;
    private final byte[] body;
    private ClientConnection connection;
    private boolean cancelled;
    private boolean paused;
    private volatile int connectionRequests;

    HttpExchange(
            HttpClient client,
            HttpResponseListener listener,
            ExchangeOptions options,
            String method,
            String path,
            String host,
            List<Header> headers,
            byte[] body) {
        this.client = client;
        this.listener = listener;
        this.options = options;
        this.method = method;
        this.path = path;
        this.host = host;
        this.headers = headers;
        this.body = body;
    }

    @Override
    public void cancel() {
        ClientConnection current;
        synchronized (this) {
            cancelled = true;
            current = connection;
        }
        if (current != null) {
            current.execute(() -> closeIfStillInUse(current));
        }
    }

    @Override
    public void setPaused(boolean newPaused) {
        synchronized (this) {
            paused = newPaused;
            if (connection != null) {
                connection.setAutoRead(!newPaused);
            }
        }
    }

    /** Returns the number of requests that had used the connection when this one was sent, with this one; 0 before. */
    public int connectionRequests() {
        return connectionRequests;
    }

    boolean needsNewConnection() {
        return options.isOnNewConnection();
    }

    void begin(ClientConnection acquired) {
        acquired.execute(() -> send(acquired));
    }

    void failToConnect(String message) {
        listener.failed(false, message);
    }

    private void send(ClientConnection acquired) {
        if (!acquired.isUsable()) {
            acquired.close();
            client.acquire(this);
            return;
        }
        if (!options.condition().getAsBoolean()) {
            client.release(acquired);
            listener.failed(false, "the request may no longer be sent");
            return;
        }
        synchronized (this) {
            if (!cancelled) {
                connection = acquired;
                acquired.setAutoRead(!paused);
            }
        }
        if (connection == null) {
            client.release(acquired);
            listener.failed(false, "the request was cancelled before it was sent");
            return;
        }
        connectionRequests = acquired.requests() + 1;
        acquired.begin(
                listener,
                options.label(),
                options.responseOwner(),
                options.embeddedResponseCheck(),
                reusable -> release(acquired, reusable));
        acquired.write(buildRequest());
    }

    private void release(ClientConnection finished, boolean reusable) {
        synchronized (this) {
            connection = null;
        }
        finished.setAutoRead(true);
        if (reusable) {
            client.release(finished);
        } else {
            finished.close();
        }
    }

    private synchronized void closeIfStillInUse(ClientConnection current) {
        if (connection == current) {
            current.close();
        }
    }

    private FullHttpRequest buildRequest() {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), path, Unpooled.wrappedBuffer(body));
        headers.forEach(header -> request.headers().add(header.name(), header.value()));
        if (!request.headers().contains(HttpHeaderNames.HOST)) {
            request.headers().set(HttpHeaderNames.HOST, host);
        }
        if (body.length > 0 || !method.equals("GET")) {
            HttpUtil.setContentLength(request, body.length);
        }
        return request;
    }
}
