package io.endiveshed.net.http;

import io.endiveshed.protocol.Header;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/**
 * Options for one exchange of an {@link HttpClient}.
 *
 * <pre>{@code
 * ExchangeOptions options = ExchangeOptions.builder()
 *         .responseOwner(headers -> ownerOf(headers))
 *         .condition(() -> isStillPermitted())
 *         .build();
 * }</pre>
 */
public final class ExchangeOptions {
    private static final ExchangeOptions DEFAULTS = builder().build();

    private final String label;
    private final Function<List<Header>, ResponseOwner> responseOwner;
    private final EmbeddedResponseCheck embeddedResponseCheck;
    private final BooleanSupplier condition;
    private final boolean isOnNewConnection;

    private ExchangeOptions(Builder builder) {
        label = builder.label;
        responseOwner = builder.responseOwner;
        embeddedResponseCheck = builder.embeddedResponseCheck;
        condition = builder.condition;
        isOnNewConnection = builder.isOnNewConnection;
    }

    /** Returns options by which each response of a connection belongs to the request that uses it. */
    public static ExchangeOptions defaults() {
        return DEFAULTS;
    }

    public static Builder builder() {
        return new Builder();
    }

    String label() {
        return label;
    }

    Function<List<Header>, ResponseOwner> responseOwner() {
        return responseOwner;
    }

    EmbeddedResponseCheck embeddedResponseCheck() {
        return embeddedResponseCheck;
    }

    BooleanSupplier condition() {
        return condition;
    }

    boolean isOnNewConnection() {
        return isOnNewConnection;
    }

    /** Builds options. */
    public static final class Builder {
        private String label = "";
        private Function<List<Header>, ResponseOwner> responseOwner = headers -> ResponseOwner.CURRENT_REQUEST;
        private EmbeddedResponseCheck embeddedResponseCheck = (response, embedded) -> false;
        private BooleanSupplier condition = () -> true;
        private boolean isOnNewConnection;

        private Builder() {}

        /** Sets the name of the request in reports on discarded responses of its connection. */
        public Builder label(String value) {
            label = value;
            return this;
        }

        /** Sets how to find out from its header fields to which request a response belongs. */
        public Builder responseOwner(Function<List<Header>, ResponseOwner> value) {
            responseOwner = value;
            return this;
        }

        /** Sets how to recognize another response within the body of a response; by default, none is recognized. */
        public Builder embeddedResponseCheck(EmbeddedResponseCheck value) {
            embeddedResponseCheck = value;
            return this;
        }

        /**
         * Sets a condition that is checked when the connection is open. If it does not hold, nothing is sent, and the
         * listener is told so.
         */
        public Builder condition(BooleanSupplier value) {
            condition = value;
            return this;
        }

        /** Sets whether the request needs a connection that no request has used before. */
        public Builder onNewConnection(boolean value) {
            isOnNewConnection = value;
            return this;
        }

        public ExchangeOptions build() {
            return new ExchangeOptions(this);
        }
    }
}
