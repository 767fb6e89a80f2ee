package io.endiveshed.base.error;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * A typed error with its remedy and outcome.
 *
 * <pre>{@code
 * Failure failure = Failure.of(ErrorKind.OVERLOADED)
 *         .message("predicted wait 4.2 s exceeds the deadline 2 s")
 *         .retryAfter(Duration.ofSeconds(3))
 *         .build();
 * }</pre>
 */
public final class Failure {
    private final ErrorKind kind;
    private final String message;
    private final String remedy;
    private final Outcome outcome;
    private final Duration retryAfter;

    private Failure(Builder builder) {
        this.kind = builder.kind;
        this.message = builder.message;
        this.remedy = builder.remedy;
        this.outcome = builder.outcome;
        this.retryAfter = builder.retryAfter;
    }

    /** Starts a failure of the given kind, with outcome {@link Outcome#NOT_RUN}. */
    public static Builder of(ErrorKind kind) {
        return new Builder(kind);
    }

    /** Returns the kind. */
    public ErrorKind kind() {
        return kind;
    }

    /** Returns what was seen and where. */
    public String message() {
        return message;
    }

    /** Returns what the reader can do about it. */
    public String remedy() {
        return remedy;
    }

    /** Returns whether the request ran. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns how long to wait before asking again, if asking again can help. */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }

    @Override
    public String toString() {
        return kind.code() + " (" + outcome.code() + "): " + message + "; remedy: " + remedy;
    }

    /** Builder of failures. */
    public static final class Builder {
        private final ErrorKind kind;
        private String message;
        private String remedy;
        private Outcome outcome = Outcome.NOT_RUN;
        private Duration retryAfter;

        private Builder(ErrorKind kind) {
            this.kind = Objects.requireNonNull(kind);
            this.message = kind.code();
            this.remedy = kind.remedy();
        }

        /** Sets what was seen and where. */
        public Builder message(String value) {
            this.message = Objects.requireNonNull(value);
            return this;
        }

        /** Replaces the default remedy of the kind. */
        public Builder remedy(String value) {
            this.remedy = Objects.requireNonNull(value);
            return this;
        }

        /** Sets whether the request ran. */
        public Builder outcome(Outcome value) {
            this.outcome = Objects.requireNonNull(value);
            return this;
        }

        /** Sets how long to wait before asking again. */
        public Builder retryAfter(Duration value) {
            this.retryAfter = Objects.requireNonNull(value);
            return this;
        }

        /** Builds the failure. */
        public Failure build() {
            return new Failure(this);
        }
    }
}
