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
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tinylog.Logger;

/** Turns frames into messages and a channel into a {@link Link}. */
final class LinkHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final LinkListener listener;
    private final LinkGuard guard;
    private ChannelLink link;
    private ScheduledFuture<?> handshake;

    LinkHandler(LinkListener listener, LinkGuard guard) {
        this.listener = listener;
        this.guard = guard;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        boolean accepted = guard.startHandshake();
        handshake = ctx.executor()
                .schedule(() -> handshakeLate(ctx), LinkGuard.HANDSHAKE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (!accepted) {
            ctx.close();
            return;
        }
        link = new ChannelLink(ctx.channel());
        listener.opened(link);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        listener.received(link, MessageCodec.decode(ByteBufUtil.getBytes(frame)));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        endHandshake();
        if (link != null) {
            listener.closed(link);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException || cause instanceof MalformedMessageException) {
            guard.malformedFrame();
        }
        if (isPeerFault(cause)) {
            Logger.debug("link to {} closed: {}", ctx.channel().remoteAddress(), String.valueOf(cause.getMessage()));
        } else {
            Logger.error(
                    cause,
                    "link to {} closed by an unexpected error",
                    ctx.channel().remoteAddress());
        }
        ctx.close();
    }

    private void handshakeLate(ChannelHandlerContext ctx) {
        guard.handshakeLate();
        ctx.close();
    }

    private void endHandshake() {
        if (handshake != null) {
            handshake.cancel(false);
            handshake = null;
            guard.endHandshake();
        }
    }

    private static boolean isPeerFault(Throwable cause) {
        return cause instanceof MalformedMessageException
                || cause instanceof TooLongFrameException
                || cause instanceof ReadTimeoutException
                || cause instanceof IOException
                || cause.getCause() instanceof MalformedMessageException;
    }

    /**
     * Link over one channel. Messages pass through one queue, so that a message sent by the event loop cannot overtake
     * an earlier one of another thread, and messages that wait together share one flush.
     */
    private final class ChannelLink implements Link {
        private final Channel channel;
        private final Queue<Outgoing> outgoing = new ConcurrentLinkedQueue<>();
        private final AtomicBoolean drainScheduled = new AtomicBoolean();

        ChannelLink(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void send(Message message) {
            send(message, null);
        }

        @Override
        public void send(Message message, Runnable whenWritten) {
            if (!channel.isActive()) {
                return;
            }
            outgoing.add(new Outgoing(MessageCodec.encode(message), whenWritten));
            if (drainScheduled.compareAndSet(false, true)) {
                channel.eventLoop().execute(this::drain);
            }
        }

        @Override
        public boolean isOpen() {
            return channel.isActive();
        }

        @Override
        public void markAuthenticated() {
            if (channel.eventLoop().inEventLoop()) {
                endHandshake();
            } else {
                channel.eventLoop().execute(LinkHandler.this::endHandshake);
            }
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

        private void drain() {
            drainScheduled.set(false);
            for (Outgoing next = outgoing.poll(); next != null; next = outgoing.poll()) {
                write(next);
            }
            channel.flush();
        }

        private void write(Outgoing next) {
            ByteBuf frame = Unpooled.wrappedBuffer(next.frame());
            if (next.whenWritten() == null) {
                channel.write(frame, channel.voidPromise());
                return;
            }
            channel.write(frame).addListener(written -> {
                if (written.isSuccess()) {
                    next.whenWritten().run();
                }
            });
        }
    }

    /** A frame that waits for the event loop; the action may be null. */
    private record Outgoing(byte[] frame, Runnable whenWritten) {}
}
