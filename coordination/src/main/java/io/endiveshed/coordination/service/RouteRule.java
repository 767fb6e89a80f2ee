package io.endiveshed.coordination.service;

import io.endiveshed.base.id.ServiceName;
import java.util.List;
import java.util.Objects;

/**
 * A route of the desired state: which requests it matches, and how they are forwarded. Immutable.
 *
 * <pre>{@code
 * RouteRule route = RouteRule.builder("r-1").host("a.example").pathPrefix("/chat/").kind(RouteKind.STREAMING).build();
 * }</pre>
 */
public final class RouteRule {
    private final String name;
    private final String host;
    private final String pathPrefix;
    private final RouteKind kind;
    private final long timeoutMillis;
    private final long latencyObjectiveMillis;
    private final int priority;
    private final List<WeightedService> weightedServices;
    private final int maxAttempts;
    private final boolean publicAccess;
    private final boolean resumable;
    private final long maxPauseMillis;
    private final HomeRegions homeRegions;

    private RouteRule(Builder builder) {
        this.name = builder.name;
        this.host = Objects.requireNonNull(builder.host);
        this.pathPrefix = Objects.requireNonNull(builder.pathPrefix);
        this.kind = Objects.requireNonNull(builder.kind);
        this.timeoutMillis = builder.timeoutMillis;
        this.latencyObjectiveMillis = builder.latencyObjectiveMillis;
        this.priority = builder.priority;
        this.weightedServices = List.copyOf(builder.weightedServices);
        this.maxAttempts = builder.maxAttempts;
        this.publicAccess = builder.publicAccess;
        this.resumable = builder.resumable;
        this.maxPauseMillis = builder.maxPauseMillis;
        this.homeRegions = Objects.requireNonNull(builder.homeRegions);
    }

    /** Creates a builder of a route with the given name. */
    public static Builder builder(String name) {
        return new Builder(name);
    }

    /** Returns the name, as logs show it. */
    public String name() {
        return name;
    }

    /** Returns the host of the requests, in lower case. */
    public String host() {
        return host;
    }

    /** Returns the path prefix of the requests, which begins and ends with a slash. */
    public String pathPrefix() {
        return pathPrefix;
    }

    /** Returns the kind, which determines whether a request may be sent again. */
    public RouteKind kind() {
        return kind;
    }

    /** Returns the time in milliseconds after which a request without an answer fails. */
    public long timeoutMillis() {
        return timeoutMillis;
    }

    /** Returns the latency objective of an answer, or of a stream's first event, in milliseconds. */
    public long latencyObjectiveMillis() {
        return latencyObjectiveMillis;
    }

    /** Returns the priority of the route; 0 is the most urgent. */
    public int priority() {
        return priority;
    }

    /** Returns the services of the route with their weights; never empty. */
    public List<WeightedService> weightedServices() {
        return weightedServices;
    }

    /** Returns the maximum number of targets to which a request is sent, at least 1. */
    public int maxAttempts() {
        return maxAttempts;
    }

    /** Returns whether requests need no key. */
    public boolean isPublic() {
        return publicAccess;
    }

    /** Returns whether a broken stream may be resumed on another target. */
    public boolean isResumable() {
        return resumable;
    }

    /** Returns the longest pause between the events of a stream that is on time, in milliseconds. */
    public long maxPauseMillis() {
        return maxPauseMillis;
    }

    /** Returns the regions that requests may reach. */
    public HomeRegions homeRegions() {
        return homeRegions;
    }

    /** Returns whether a request may be sent again although a target may have executed it. */
    public boolean isRetryable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable);
    }

    /**
     * Returns the service for a request. Equal fractions select the same service as long as the weights do not change.
     *
     * @param fraction position of the request in the range of the weights, at least 0 and below 1
     */
    public ServiceName selectService(double fraction) {
        long total =
                weightedServices.stream().mapToLong(WeightedService::weight).sum();
        double remaining = fraction * total;
        for (WeightedService candidate : weightedServices) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        return weightedServices.get(weightedServices.size() - 1).service();
    }

    /** Builds a {@link RouteRule}. */
    public static final class Builder {
        private final String name;
        private String host;
        private String pathPrefix;
        private RouteKind kind;
        private long timeoutMillis;
        private long latencyObjectiveMillis;
        private int priority;
        private List<WeightedService> weightedServices = List.of();
        private int maxAttempts = 1;
        private boolean publicAccess;
        private boolean resumable;
        private long maxPauseMillis;
        private HomeRegions homeRegions = HomeRegions.UNRESTRICTED;

        private Builder(String name) {
            this.name = Objects.requireNonNull(name);
        }

        /** Sets the host, in lower case; required. */
        public Builder host(String value) {
            host = value;
            return this;
        }

        /** Sets the path prefix, which begins and ends with a slash; required. */
        public Builder pathPrefix(String value) {
            pathPrefix = value;
            return this;
        }

        /** Sets the kind; required. */
        public Builder kind(RouteKind value) {
            kind = value;
            return this;
        }

        /** Sets the time after which a request without an answer fails, in milliseconds. */
        public Builder timeoutMillis(long value) {
            timeoutMillis = value;
            return this;
        }

        /** Sets the latency objective in milliseconds. */
        public Builder latencyObjectiveMillis(long value) {
            latencyObjectiveMillis = value;
            return this;
        }

        /** Sets the priority; 0, the default, is the most urgent. */
        public Builder priority(int value) {
            priority = value;
            return this;
        }

        /** Sets the services with their weights; at least one is required. */
        public Builder weightedServices(List<WeightedService> value) {
            weightedServices = value;
            return this;
        }

        /** Sets the maximum number of targets to which a request is sent; the default is 1. */
        public Builder maxAttempts(int value) {
            maxAttempts = value;
            return this;
        }

        /** Sets whether requests need no key; the default is that they need one. */
        public Builder publicAccess(boolean value) {
            publicAccess = value;
            return this;
        }

        /** Sets whether a broken stream may be resumed on another target; the default is that it may not. */
        public Builder resumable(boolean value) {
            resumable = value;
            return this;
        }

        /** Sets the longest pause between the events of a stream that is on time, in milliseconds. */
        public Builder maxPauseMillis(long value) {
            maxPauseMillis = value;
            return this;
        }

        /** Sets the regions that requests may reach; the default is every region. */
        public Builder homeRegions(HomeRegions value) {
            homeRegions = value;
            return this;
        }

        /**
         * Creates the route.
         *
         * @throws IllegalArgumentException if the route has no service
         */
        public RouteRule build() {
            if (weightedServices.isEmpty()) {
                throw new IllegalArgumentException("route " + name + " has no service; name at least one");
            }
            return new RouteRule(this);
        }
    }
}
