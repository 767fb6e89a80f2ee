package io.endiveshed.sidecar;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.Region;
import io.endiveshed.base.id.TargetKind;
import io.endiveshed.base.time.OpeningHours;
import io.endiveshed.coordination.membership.InstanceLocation;
import io.endiveshed.net.link.LinkSecret;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Settings of a sidecar. */
public final class SidecarSettings {
    /** Default for {@link #stopGrace()}. */
    public static final Duration DEFAULT_STOP_GRACE = Duration.ofSeconds(30);

    /** Default for {@link #maxRunning()}. */
    public static final int DEFAULT_MAX_RUNNING = 256;

    private final InstanceId instance;
    private final Region region;
    private final FailureDomain failureDomain;
    private final TargetKind targetKind;
    private final List<String> serves;
    private final InetSocketAddress targetAddress;
    private final List<InetSocketAddress> entries;
    private final LinkSecret linkSecret;
    private final long kvCapacityTokens;
    private final int maxRunning;
    private final Duration stopGrace;
    private final OpeningHours openingHours;
    private final Optional<InetSocketAddress> platformAddress;
    private final Optional<InetSocketAddress> metricsAddress;

    private SidecarSettings(Builder builder) {
        this.instance = Objects.requireNonNull(builder.instance, "instance");
        this.region = Objects.requireNonNull(builder.region, "region");
        this.failureDomain = Objects.requireNonNull(builder.failureDomain, "failureDomain");
        this.targetKind = Objects.requireNonNull(builder.targetKind, "targetKind");
        this.serves = List.copyOf(builder.serves);
        this.targetAddress = Objects.requireNonNull(builder.targetAddress, "targetAddress");
        this.entries = List.copyOf(builder.entries);
        this.linkSecret = Objects.requireNonNull(builder.linkSecret, "linkSecret");
        this.kvCapacityTokens = builder.kvCapacityTokens;
        this.maxRunning = builder.maxRunning;
        this.stopGrace = builder.stopGrace;
        this.openingHours = builder.openingHours;
        this.platformAddress = Optional.ofNullable(builder.platformAddress);
        this.metricsAddress = Optional.ofNullable(builder.metricsAddress);
    }

    /** Starts settings. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the instance of the target. */
    public InstanceId instance() {
        return instance;
    }

    /** Returns the region of the instance. */
    public Region region() {
        return region;
    }

    /** Returns the failure domain of the instance. */
    public FailureDomain failureDomain() {
        return failureDomain;
    }

    /** Returns what the target is. */
    public TargetKind targetKind() {
        return targetKind;
    }

    /** Returns the names of the models or the service that the target serves. */
    public List<String> serves() {
        return serves;
    }

    /** Returns the HTTP address of the target. */
    public InetSocketAddress targetAddress() {
        return targetAddress;
    }

    /** Returns the link addresses of the entry daemons. */
    public List<InetSocketAddress> entries() {
        return entries;
    }

    /** Returns the secret shared with entry daemons. */
    public LinkSecret linkSecret() {
        return linkSecret;
    }

    /** Returns the KV memory of the engine in tokens; 0 for a plain service. */
    public long kvCapacityTokens() {
        return kvCapacityTokens;
    }

    /** Returns how many requests may run on the target at the same time. */
    public int maxRunning() {
        return maxRunning;
    }

    /** Returns the failure domain and region of the instance. */
    public InstanceLocation location() {
        return new InstanceLocation(region, failureDomain);
    }

    /** Returns the time that running work has to finish when the process stops. */
    public Duration stopGrace() {
        return stopGrace;
    }

    /** Returns when the process serves; outside these hours it drains and stops. */
    public OpeningHours openingHours() {
        return openingHours;
    }

    /** Returns the address of the platform's object API, if the sidecar uses it. */
    public Optional<InetSocketAddress> platformAddress() {
        return platformAddress;
    }

    /** Returns the address on which metrics are read, if any. */
    public Optional<InetSocketAddress> metricsAddress() {
        return metricsAddress;
    }

    /** Returns the same settings with other entries. */
    public SidecarSettings withEntries(List<InetSocketAddress> value) {
        Builder builder = builder()
                .instance(instance)
                .region(region)
                .failureDomain(failureDomain)
                .targetKind(targetKind)
                .serves(serves)
                .targetAddress(targetAddress)
                .entries(value)
                .linkSecret(linkSecret)
                .kvCapacityTokens(kvCapacityTokens)
                .maxRunning(maxRunning)
                .stopGrace(stopGrace)
                .openingHours(openingHours);
        metricsAddress.ifPresent(builder::metricsAddress);
        platformAddress.ifPresent(builder::platformAddress);
        return builder.build();
    }

    /** Builder of settings; every value without a default must be set. */
    public static final class Builder {
        private InstanceId instance;
        private Region region;
        private FailureDomain failureDomain;
        private TargetKind targetKind;
        private List<String> serves = List.of();
        private InetSocketAddress targetAddress;
        private List<InetSocketAddress> entries = List.of();
        private LinkSecret linkSecret;
        private long kvCapacityTokens;
        private int maxRunning = DEFAULT_MAX_RUNNING;
        private Duration stopGrace = DEFAULT_STOP_GRACE;
        private OpeningHours openingHours = OpeningHours.ALWAYS;
        private InetSocketAddress platformAddress;
        private InetSocketAddress metricsAddress;

        private Builder() {}

        /** Sets the instance of the target. */
        public Builder instance(InstanceId value) {
            this.instance = value;
            return this;
        }

        /** Sets the region of the instance. */
        public Builder region(Region value) {
            this.region = value;
            return this;
        }

        /** Sets the failure domain of the instance. */
        public Builder failureDomain(FailureDomain value) {
            this.failureDomain = value;
            return this;
        }

        /** Sets what the target is. */
        public Builder targetKind(TargetKind value) {
            this.targetKind = value;
            return this;
        }

        /** Sets the names of the models or the service that the target serves. */
        public Builder serves(List<String> value) {
            this.serves = value;
            return this;
        }

        /** Sets the HTTP address of the target. */
        public Builder targetAddress(InetSocketAddress value) {
            this.targetAddress = value;
            return this;
        }

        /** Sets the link addresses of the entry daemons. */
        public Builder entries(List<InetSocketAddress> value) {
            this.entries = value;
            return this;
        }

        /** Sets the secret shared with entry daemons. */
        public Builder linkSecret(LinkSecret value) {
            this.linkSecret = value;
            return this;
        }

        /** Sets the KV memory of the engine in tokens. */
        public Builder kvCapacityTokens(long value) {
            this.kvCapacityTokens = value;
            return this;
        }

        /** Sets how many requests may run on the target at the same time. */
        public Builder maxRunning(int value) {
            this.maxRunning = value;
            return this;
        }

        /** Sets the time that running work has to finish when the process stops. */
        public Builder stopGrace(Duration value) {
            this.stopGrace = value;
            return this;
        }

        /** Sets when the process serves. */
        public Builder openingHours(OpeningHours value) {
            this.openingHours = value;
            return this;
        }

        /** Sets the address of the platform's object API. */
        public Builder platformAddress(InetSocketAddress value) {
            this.platformAddress = value;
            return this;
        }

        /** Sets the address on which metrics are read. */
        public Builder metricsAddress(InetSocketAddress value) {
            this.metricsAddress = value;
            return this;
        }

        /** Builds the settings; throws {@link NullPointerException} naming a value that is missing. */
        public SidecarSettings build() {
            return new SidecarSettings(this);
        }
    }
}
