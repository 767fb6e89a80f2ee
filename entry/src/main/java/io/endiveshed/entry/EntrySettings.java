package io.endiveshed.entry;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.Region;
import io.endiveshed.base.time.OpeningHours;
import io.endiveshed.coordination.cost.CostModel;
import io.endiveshed.coordination.membership.InstanceLocation;
import io.endiveshed.net.http.HttpServerLimits;
import io.endiveshed.net.link.LinkSecret;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/** Settings of an entry daemon. */
public final class EntrySettings {
    /** Default for {@link #stopGrace()}. */
    public static final Duration DEFAULT_STOP_GRACE = Duration.ofSeconds(30);

    private final InstanceId instance;
    private final Region region;
    private final FailureDomain failureDomain;
    private final InetSocketAddress callerAddress;
    private final InetSocketAddress linkAddress;
    private final LinkSecret linkSecret;
    private final HttpServerLimits limits;
    private final Duration stopGrace;
    private final CostModel.Coefficients engineCost;
    private final OpeningHours openingHours;
    private final Optional<InetSocketAddress> platformAddress;

    private EntrySettings(Builder builder) {
        this.instance = Objects.requireNonNull(builder.instance, "instance");
        this.region = Objects.requireNonNull(builder.region, "region");
        this.failureDomain = Objects.requireNonNull(builder.failureDomain, "failureDomain");
        this.callerAddress = Objects.requireNonNull(builder.callerAddress, "callerAddress");
        this.linkAddress = Objects.requireNonNull(builder.linkAddress, "linkAddress");
        this.linkSecret = Objects.requireNonNull(builder.linkSecret, "linkSecret");
        this.limits = builder.limits;
        this.stopGrace = builder.stopGrace;
        this.engineCost = builder.engineCost;
        this.openingHours = builder.openingHours;
        this.platformAddress = Optional.ofNullable(builder.platformAddress);
    }

    /** Starts settings. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the instance on which the daemon runs. */
    public InstanceId instance() {
        return instance;
    }

    /** Returns the region of the instance. */
    public Region region() {
        return region;
    }

    /** Returns the cost of requests on an engine, by which waits are predicted. */
    public CostModel.Coefficients engineCost() {
        return engineCost;
    }

    /** Returns the failure domain of the instance. */
    public FailureDomain failureDomain() {
        return failureDomain;
    }

    /** Returns the address on which callers are answered. */
    public InetSocketAddress callerAddress() {
        return callerAddress;
    }

    /** Returns the address to which sidecars open links. */
    public InetSocketAddress linkAddress() {
        return linkAddress;
    }

    /** Returns the secret shared with sidecars. */
    public LinkSecret linkSecret() {
        return linkSecret;
    }

    /** Returns the limits on what callers may send. */
    public HttpServerLimits limits() {
        return limits;
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

    /** Returns the address of the platform's object API, if the daemon uses it. */
    public Optional<InetSocketAddress> platformAddress() {
        return platformAddress;
    }

    /** Builder of settings; every value without a default must be set. */
    public static final class Builder {
        private InstanceId instance;
        private Region region;
        private FailureDomain failureDomain;
        private InetSocketAddress callerAddress;
        private InetSocketAddress linkAddress;
        private LinkSecret linkSecret;
        private HttpServerLimits limits = HttpServerLimits.defaults();
        private Duration stopGrace = DEFAULT_STOP_GRACE;
        private CostModel.Coefficients engineCost = CostModel.Coefficients.DEFAULT;
        private OpeningHours openingHours = OpeningHours.ALWAYS;
        private InetSocketAddress platformAddress;

        private Builder() {}

        /** Sets the instance on which the daemon runs. */
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

        /** Sets the address on which callers are answered. */
        public Builder callerAddress(InetSocketAddress value) {
            this.callerAddress = value;
            return this;
        }

        /** Sets the address to which sidecars open links. */
        public Builder linkAddress(InetSocketAddress value) {
            this.linkAddress = value;
            return this;
        }

        /** Sets the secret shared with sidecars. */
        public Builder linkSecret(LinkSecret value) {
            this.linkSecret = value;
            return this;
        }

        /** Sets the limits on what callers may send. */
        public Builder limits(HttpServerLimits value) {
            this.limits = value;
            return this;
        }

        /** Sets the cost of requests on an engine; the default is that of measurements.md. */
        public Builder engineCost(CostModel.Coefficients value) {
            this.engineCost = value;
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

        /** Builds the settings; throws {@link NullPointerException} naming a value that is missing. */
        public EntrySettings build() {
            return new EntrySettings(this);
        }
    }
}
