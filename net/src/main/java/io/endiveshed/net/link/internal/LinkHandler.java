package io.endiveshed.net.link.internal;

import io.endiveshed.net.link.Link;
import io.endiveshed.net.link.LinkListener;
import io.endiveshed.protocol.MalformedMessageException;
import io.endiveshed.protocol.Message;
import io.endiveshed.protocol.MessageCodec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.ReadTimeoutException;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.tinylog.Logger;

/** Turns frames into messages and a channel into a {@link Link}. */
final class LinkHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final LinkListener listener;
    private ChannelLink link;
    private boolean flushPending;

    LinkHandler(LinkListener listener) {
        this.listener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        link = new ChannelLink(ctx.channel());
        listener.opened(link);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        listener.received(link, MessageCodec.decode(ByteBufUtil.getBytes(frame)));
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        ctx.flush();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (link != null) {
            listener.closed(link);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (isPeerFault(cause)) {
            Logger.info("link to {} closed: {}", ctx.channel().remoteAddress(), String.valueOf(cause.getMessage()));
        } else {
            Logger.error(
                    cause,
                    "link to {} closed by an unexpected error",
                    ctx.channel().remoteAddress());
        }
        ctx.close();
    }

    private static boolean isPeerFault(Throwable cause) {
        return cause instanceof MalformedMessageException
                || cause instanceof TooLongFrameException
                || cause instanceof ReadTimeoutException
                || cause instanceof IOException
                || cause.getCause() instanceof MalformedMessageException;
    }

    /** Link over one channel. Messages sent within one event-loop turn share one flush. */
    private final class ChannelLink implements Link {
        private final Channel channel;
        private final AtomicInteger waiting = new AtomicInteger();

        ChannelLink(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void send(Message message) {
            ByteBuf frame = Unpooled.wrappedBuffer(MessageCodec.encode(message));
            onEventLoop(() -> {
                channel.write(frame, channel.voidPromise());
                scheduleFlush();
            });
        }

        @Override
        public void send(Message message, Runnable whenWritten) {
            ByteBuf frame = Unpooled.wrappedBuffer(MessageCodec.encode(message));
            onEventLoop(() -> {
                channel.write(frame).addListener(future -> whenWritten.run());
                scheduleFlush();
            });
        }

        @Override
        public void close() {
            channel.close();
        }

        @Override
        public String remoteAddress() {
            return String.valueOf(channel.remoteAddress());
        }

        @Override
        public String toString() {
            return remoteAddress();
        }

        /** Runs a task at once only if none waits, because messages must be written in the order of their sending. */
        private void onEventLoop(Runnable task) {
            if (channel.eventLoop().inEventLoop() && waiting.get() == 0) {
                task.run();
                return;
            }
            waiting.incrementAndGet();
            channel.eventLoop().execute(() -> {
                waiting.decrementAndGet();
                task.run();
            });
        }

        private void scheduleFlush() {
            if (flushPending) {
                return;
            }
            flushPending = true;
            channel.eventLoop().execute(() -> {
                flushPending = false;
                channel.flush();
            });
        }
    }
}
