package io.endiveshed.net.http;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Budget of the memory that clients make a process hold. Each kind of memory and the sum have a bound. When a bound is
 * reached, the clients that hold the most for the longest time without progress are dropped first, the connections of
 * one address counted together. A request that is complete and runs is never dropped, because its client waits for this
 * process; only its unread response can be. Safe for use by several threads.
 *
 * <pre>{@code
 * Optional<ClientMemory.Share> share = memory.open("10.0.0.1", reason -> connection.close());
 * if (!share.get().tryResize(Kind.BODY, 4096)) { refuse(); }
 * share.get().close();
 * }</pre>
 */
public final class ClientMemory {
    /** What clients make a process hold. */
    public enum Kind {
        /** Channel, pipeline and receive buffer of a connection, in any state. */
        CONNECTION,
        /** Decoded header sections of requests that are incomplete or run. */
        HEADERS,
        /** Allocated buffers of request bodies, until the response has ended. */
        BODY,
        /** Decoded parts of requests that arrived while an earlier one runs. */
        PIPELINED,
        /** Parts of responses that the client has not read. */
        RESPONSE
    }

    /** Drops a client; called without a lock, on the thread that needs the memory. */
    public interface DropAction {
        /** Closes the connection of the client; its share is released already. */
        void drop(Kind shortage);
    }

    /** Number of bytes by which a request or response must advance to count as progress. */
    private static final long PROGRESS_BYTES = 16 * 1024;

    private final ClientMemoryLimits limits;
    private final LongSupplier nanoClock;
    private final Set<Share> shares = new HashSet<>();
    private final long[] heldBytes = new long[Kind.values().length];
    private long totalBytes;

    /** Creates a budget; the clock returns monotonic nanoseconds. */
    public ClientMemory(ClientMemoryLimits limits, LongSupplier nanoClock) {
        this.limits = limits;
        this.nanoClock = nanoClock;
    }

    /** Returns the bounds. */
    public ClientMemoryLimits limits() {
        return limits;
    }

    /** Returns the number of bytes that all clients hold. */
    public synchronized long totalBytes() {
        return totalBytes;
    }

    /** Returns the number of bytes of one kind that all clients hold. */
    public synchronized long heldBytes(Kind kind) {
        return heldBytes[index(kind)];
    }

    /**
     * Opens the share of a new connection; drops other clients if there is no room. Empty if the requests that run
     * leave no room.
     */
    public Optional<Share> open(String address, DropAction action) {
        Share share = new Share(address, action);
        synchronized (this) {
            shares.add(share);
        }
        if (share.tryResize(Kind.CONNECTION, ClientMemoryLimits.CONNECTION_BYTES)) {
            return Optional.of(share);
        }
        share.close();
        return Optional.empty();
    }

    /** Returns the place of a kind in the arrays of this class, which have one element for each. */
    @SuppressWarnings("EnumOrdinal")
    private static int index(Kind kind) {
        return kind.ordinal();
    }

    /** Returns whether the growth of a kind would exceed its bound or that of the sum. */
    private boolean isShort(Kind kind, long growth) {
        return heldBytes[index(kind)] + growth > limits.maxBytes(kind) || totalBytes + growth > limits.totalBytes();
    }

    /** Returns the client to be dropped first; null if there is none. */
    private Share worstShare(Kind kind, long growth) {
        boolean ofKind = heldBytes[index(kind)] + growth > limits.maxBytes(kind);
        long now = nanoClock.getAsLong();
        Map<String, Double> scoresByAddress = new HashMap<>();
        for (Share share : shares) {
            scoresByAddress.merge(share.address, share.score(kind, ofKind, now), Double::sum);
        }
        Share worst = null;
        double worstAddressScore = 0;
        double worstScore = 0;
        for (Share share : shares) {
            double score = share.score(kind, ofKind, now);
            double addressScore = scoresByAddress.get(share.address);
            boolean isWorse =
                    addressScore > worstAddressScore || (addressScore == worstAddressScore && score > worstScore);
            if (score > 0 && isWorse) {
                worst = share;
                worstAddressScore = addressScore;
                worstScore = score;
            }
        }
        return worst;
    }

    /** Memory of one connection. */
    public final class Share {
        private final String address;
        private final DropAction action;
        private final long[] bytes = new long[Kind.values().length];
        private long sumBytes;
        private long progressNanos = nanoClock.getAsLong();
        private long progressedBytes;
        private boolean isRunning;
        private boolean isClosed;

        private Share(String address, DropAction action) {
            this.address = address;
            this.action = action;
        }

        /** Returns the address of the client. */
        public String address() {
            return address;
        }

        /** Returns the number of bytes of one kind that the connection holds. */
        public long bytes(Kind kind) {
            synchronized (ClientMemory.this) {
                return bytes[index(kind)];
            }
        }

        /**
         * Sets the number of bytes of one kind. Drops other clients if there is no room; returns false, and changes
         * nothing, if this client is the one to be dropped or was dropped.
         */
        public boolean tryResize(Kind kind, long newBytes) {
            while (true) {
                Share victim;
                synchronized (ClientMemory.this) {
                    long growth = newBytes - bytes[index(kind)];
                    if (isClosed) {
                        return false;
                    }
                    if (growth <= 0 || !isShort(kind, growth)) {
                        add(kind, growth);
                        return true;
                    }
                    victim = worstShare(kind, growth);
                    if (victim == null || victim == this) {
                        return false;
                    }
                    victim.release();
                }
                victim.action.drop(kind);
            }
        }

        /**
         * Sets the number of bytes of one kind for memory that is in use already, and drops clients, possibly this one,
         * until the bounds hold.
         */
        public void resize(Kind kind, long newBytes) {
            synchronized (ClientMemory.this) {
                if (isClosed) {
                    return;
                }
                boolean wasEmpty = bytes[index(kind)] == 0;
                add(kind, newBytes - bytes[index(kind)]);
                if (wasEmpty || newBytes == 0) {
                    recordProgress();
                }
            }
            for (Share victim = takeWorst(kind); victim != null; victim = takeWorst(kind)) {
                victim.action.drop(kind);
            }
        }

        /** Records bytes that arrived from the client or were read by it. */
        public void progressed(long count) {
            synchronized (ClientMemory.this) {
                progressedBytes += count;
                if (progressedBytes >= PROGRESS_BYTES) {
                    recordProgress();
                }
            }
        }

        /** Records that a complete request begins to run, or that its response has ended. */
        public void setRunning(boolean value) {
            synchronized (ClientMemory.this) {
                isRunning = value;
                recordProgress();
            }
        }

        /** Releases all memory. */
        public void close() {
            synchronized (ClientMemory.this) {
                release();
            }
        }

        private Share takeWorst(Kind kind) {
            synchronized (ClientMemory.this) {
                Share victim = isShort(kind, 0) ? worstShare(kind, 0) : null;
                if (victim != null) {
                    victim.release();
                }
                return victim;
            }
        }

        private void recordProgress() {
            progressNanos = nanoClock.getAsLong();
            progressedBytes = 0;
        }

        private void release() {
            isClosed = true;
            shares.remove(this);
            for (Kind kind : Kind.values()) {
                add(kind, -bytes[index(kind)]);
            }
        }

        private void add(Kind kind, long growth) {
            bytes[index(kind)] += growth;
            sumBytes += growth;
            heldBytes[index(kind)] += growth;
            totalBytes += growth;
        }

        /** Returns bytes times milliseconds without progress; 0 if the client waits for this process. */
        private double score(Kind kind, boolean ofKind, long now) {
            boolean isUnread = bytes[index(Kind.RESPONSE)] > 0;
            boolean sendsAhead = ofKind && kind == Kind.PIPELINED;
            if (isRunning && !isUnread && !sendsAhead) {
                return 0;
            }
            long weight = ofKind ? bytes[index(kind)] : sumBytes;
            return (double) weight * (1 + TimeUnit.NANOSECONDS.toMillis(now - progressNanos));
        }
    }
}
