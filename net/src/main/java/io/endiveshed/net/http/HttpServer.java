package io.endiveshed.net.http;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.net.http.internal.BytesArrivedHandler;
import io.endiveshed.net.http.internal.ServerConnection;
import io.endiveshed.net.http.internal.ServerConnections;
import io.endiveshed.net.http.internal.ServerContext;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * HTTP server that reads complete requests and passes them to a handler.
 *
 * <pre>{@code
 * HttpServer server = new HttpServer(loops, address, HttpServerLimits.defaults(), (request, response) ->
 *         response.respond(200, List.of(), "ok".getBytes(UTF_8)));
 * server.start();
 * }</pre>
 */
public final class HttpServer {
    /** Maximum number of reads of one connection before the event loop serves the others. */
    private static final int MAX_READS_IN_A_ROW = 4;

    /**
     * Maximum number of decoded requests without a response, above which the codec fails. Reading is paused long before;
     * the shortest requests of one read, and those that waited before it, must fit.
     */
    private static final int MAX_CODEC_PIPELINE_DEPTH = 4 * 1024;

    private final EventLoopGroup loops;
    private final InetSocketAddress address;
    private final HttpServerLimits limits;
    private final ServerContext context;
    private final ServerConnections connections;
    private Channel channel;

    /** Creates a server that listens after {@link #start}. */
    public HttpServer(EventLoopGroup loops, InetSocketAddress address, HttpServerLimits limits, HttpHandler handler) {
        this(loops, address, limits, handler, new MetricRegistry());
    }

    /** Creates a server that counts rejected requests in the registry. */
    public HttpServer(
            EventLoopGroup loops,
            InetSocketAddress address,
            HttpServerLimits limits,
            HttpHandler handler,
            MetricRegistry registry) {
        this(
                loops,
                address,
                limits,
                handler,
                new ClientMemory(
                        ClientMemoryLimits.ofBodies(Math.min(
                                limits.maxBufferedBodyBytes(),
                                ClientMemoryLimits.bodyBytesOfProcess(limits.maxBodyBytes()))),
                        System::nanoTime),
                registry);
    }

    /** Creates a server whose clients share a budget of memory with those of other servers. */
    public HttpServer(
            EventLoopGroup loops,
            InetSocketAddress address,
            HttpServerLimits limits,
            HttpHandler handler,
            ClientMemory memory,
            MetricRegistry registry) {
        this.loops = loops;
        this.address = address;
        this.limits = limits;
        this.context = new ServerContext(limits, handler, memory, registry);
        this.connections = context.connections();
    }

    /** Binds the address and starts to listen; blocks until the address is bound. */
    public void start() {
        channel = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(64, 2 * 1024, ClientMemoryLimits.READ_BYTES)
                                .maxMessagesPerRead(MAX_READS_IN_A_ROW))
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel connection) {
                        ServerConnection connectionHandler = new ServerConnection(context);
                        connection
                                .pipeline()
                                .addLast(new BytesArrivedHandler(connectionHandler::onBytesArrived))
                                .addLast(new HttpServerCodec(
                                        new HttpDecoderConfig()
                                                .setMaxInitialLineLength(limits.maxHeaderBytes())
                                                .setMaxHeaderSize(limits.maxHeaderBytes()),
                                        MAX_CODEC_PIPELINE_DEPTH))
                                .addLast(connectionHandler);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Returns the local port; the operating system chooses it if the address has port 0. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Closes the open connections and aborts their requests. */
    public void closeConnections() {
        connections.closeAll();
    }

    /** Makes each connection close after the response to its current or next request; the response announces this. */
    public void drain() {
        connections.drain();
    }

    /** Closes the connections that have neither run nor received a request for the given time. */
    public void closeIdle(Duration idle) {
        connections.closeIdle(idle);
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections.count();
    }

    /** Stops listening; open connections stay open. */
    public void stop() {
        if (channel == null) {
            return;
        }
        channel.close().syncUninterruptibly();
    }
}
