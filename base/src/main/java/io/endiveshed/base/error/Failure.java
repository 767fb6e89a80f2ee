package io.endiveshed.base.error;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * A typed error with its message, remedy and outcome; immutable.
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

    /**
     * Returns a builder of a failure of the given kind. Until they are set, the message is the code of the kind, the
     * remedy is the default one, and the outcome is {@link Outcome#NOT_RUN}.
     */
    public static Builder of(ErrorKind kind) {
        return new Builder(kind);
    }

    /** Returns the kind of error. */
    public ErrorKind kind() {
        return kind;
    }

    /** Returns a description of the error and of where it occurred. */
    public String message() {
        return message;
    }

    /** Returns the advice to the reader on how to resolve the error. */
    public String remedy() {
        return remedy;
    }

    /** Returns whether the request ran. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns how long to wait before a retry; empty if no retry time is known. */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }

    @Override
    public String toString() {
        return kind.code() + " (" + outcome.code() + "): " + message + "; remedy: " + remedy;
    }

    /** Builder of a {@link Failure}. */
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

        /** Sets the description of the error and of where it occurred. */
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

        /** Sets how long to wait before a retry. */
        public Builder retryAfter(Duration value) {
            this.retryAfter = Objects.requireNonNull(value);
            return this;
        }

        /** Returns the failure. */
        public Failure build() {
            return new Failure(this);
        }
    }
}
