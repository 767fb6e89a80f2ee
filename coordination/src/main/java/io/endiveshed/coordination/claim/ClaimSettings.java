package io.endiveshed.coordination.claim;

import java.time.Duration;

/**
 * Settings of a claim log.
 *
 * <pre>{@code
 * ClaimSettings settings = ClaimSettings.builder().retention(Duration.ofHours(1)).build();
 * }</pre>
 */
public final class ClaimSettings {
    /** Default number of partitions. It must be equal in all processes of a service and must never change. */
    public static final int DEFAULT_PARTITIONS = 16;

    /**
     * Shortest retention of a key; far longer than every deadline, so that a key expires only after its call has ended.
     */
    public static final Duration MIN_RETENTION = Duration.ofMinutes(10);

    /**
     * Longest time between the request for a claim and the start of its call. The difference to {@link #MIN_RETENTION}
     * is the clock difference between processes that the log tolerates.
     */
    public static final Duration MAX_START_DELAY = Duration.ofMinutes(5);

    /**
     * Maximum size of an encoded table in bytes; a snapshot with its header stays below the store's limit of a value.
     */
    public static final int MAX_TABLE_BYTES = 900_000;

    private final int partitions;
    private final int ringSlots;
    private final ClaimTableLimits limits;
    private final int maxEntryBytes;
    private final int maxResponseBytes;
    private final int maxQueued;
    private final Duration commitInterval;
    private final Duration maxStartDelay;

    private ClaimSettings(Builder builder) {
        this.partitions = positive("partitions", builder.partitions);
        this.ringSlots = positive("ringSlots", builder.ringSlots);
        this.limits = builder.limits;
        this.maxEntryBytes = builder.maxEntryBytes;
        this.maxResponseBytes = builder.maxResponseBytes;
        this.maxQueued = positive("maxQueued", builder.maxQueued);
        this.commitInterval = builder.commitInterval;
        this.maxStartDelay = builder.maxStartDelay;
        if (limits.retentionMillis() < MIN_RETENTION.toMillis()) {
            throw new IllegalArgumentException("retention must be at least " + MIN_RETENTION);
        }
        if (maxStartDelay.compareTo(MAX_START_DELAY) > 0) {
            throw new IllegalArgumentException("maxStartDelay must be at most " + MAX_START_DELAY);
        }
        if (limits.maxTableBytes() > MAX_TABLE_BYTES) {
            throw new IllegalArgumentException("maxTableBytes must be at most " + MAX_TABLE_BYTES);
        }
    }

    /** Returns a builder with the default settings. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the number of partitions over which the keys of a service are spread. */
    public int partitions() {
        return partitions;
    }

    /** Returns the number of slot objects of a partition. */
    int ringSlots() {
        return ringSlots;
    }

    /** Returns the number of entries between two snapshots: half of the ring, but at least one. */
    int snapshotInterval() {
        return Math.max(1, ringSlots / 2);
    }

    /** Returns the limits of the claim table of a partition. */
    ClaimTableLimits limits() {
        return limits;
    }

    /** Returns the size of an entry in bytes from which no further record is added to it. */
    int maxEntryBytes() {
        return maxEntryBytes;
    }

    /** Returns the maximum encoded size of a stored response in bytes. */
    int maxResponseBytes() {
        return maxResponseBytes;
    }

    /** Returns the number of queued records of a partition at which claims are refused. */
    int maxQueued() {
        return maxQueued;
    }

    /** Returns the minimum time between two entries of this process in a partition. */
    Duration commitInterval() {
        return commitInterval;
    }

    /** Returns the longest time between the request for a claim and the start of its call. */
    Duration maxStartDelay() {
        return maxStartDelay;
    }

    private static int positive(String name, int value) {
        if (value < 1) {
            throw new IllegalArgumentException(name + " must be at least 1, but was " + value);
        }
        return value;
    }

    /** Builder of {@link ClaimSettings}. */
    public static final class Builder {
        private int partitions = DEFAULT_PARTITIONS;
        private int ringSlots = 256;
        private ClaimTableLimits limits = ClaimTableLimits.DEFAULT;
        private int maxEntryBytes = 64 * 1024;
        private int maxResponseBytes = 16 * 1024;
        private int maxQueued = 4_096;
        private Duration commitInterval = Duration.ofMillis(200);
        private Duration maxStartDelay = MAX_START_DELAY;

        private Builder() {}

        /** Sets the number of partitions. */
        public Builder partitions(int value) {
            partitions = value;
            return this;
        }

        /** Sets the number of slot objects of a partition. It must be equal in all processes and must never change. */
        public Builder ringSlots(int value) {
            ringSlots = value;
            return this;
        }

        /** Sets the retention of a key after its claim. */
        public Builder retention(Duration value) {
            limits = new ClaimTableLimits(value.toMillis(), limits.maxKeys(), limits.maxTableBytes());
            return this;
        }

        /** Sets the maximum number of keys of a partition. */
        public Builder maxKeys(int value) {
            limits = new ClaimTableLimits(limits.retentionMillis(), value, limits.maxTableBytes());
            return this;
        }

        /** Sets the maximum size of the encoded table of a partition in bytes. */
        public Builder maxTableBytes(int value) {
            limits = new ClaimTableLimits(limits.retentionMillis(), limits.maxKeys(), value);
            return this;
        }

        /**
         * Sets the maximum encoded size of a stored response in bytes; of a longer response only the status is stored.
         */
        public Builder maxResponseBytes(int value) {
            maxResponseBytes = value;
            return this;
        }

        /** Sets the number of queued records of a partition at which claims are refused. */
        public Builder maxQueued(int value) {
            maxQueued = value;
            return this;
        }

        /** Sets the minimum time between two entries of this process in a partition. */
        public Builder commitInterval(Duration value) {
            commitInterval = value;
            return this;
        }

        /** Sets the longest time between the request for a claim and the start of its call. */
        public Builder maxStartDelay(Duration value) {
            maxStartDelay = value;
            return this;
        }

        /** Builds the settings; throws {@link IllegalArgumentException} naming a value that is out of range. */
        public ClaimSettings build() {
            return new ClaimSettings(this);
        }
    }
}
