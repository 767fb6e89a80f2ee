package io.endiveshed.net.http.internal;

import io.endiveshed.net.http.DiscardedResponse;
import io.endiveshed.net.http.ResponseOwner;
import io.endiveshed.protocol.Header;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.List;
import java.util.Optional;

/**
 * What becomes of a response whose head has arrived.
 *
 * @param action what is done
 * @param reason why the response is discarded; empty if it is passed on, and for interim responses
 * @param message error of the exchange; empty unless it fails
 */
record HeadDecision(Action action, Optional<DiscardedResponse.Reason> reason, String message) {
    private static final int FIRST_FINAL_STATUS = 200;

    /** What is done with a response. */
    enum Action {
        /** The response is passed to the listener of the request. */
        PASS_ON,

        /** The response is interim; its request still waits for the final one. */
        SKIP_INTERIM,

        /** The response belongs to another request; the current one still waits for its own. */
        SKIP,

        /** The exchange has failed. */
        FAIL
    }

    /**
     * Decides on a response.
     *
     * @param response head of the response
     * @param headers its header fields
     * @param owner request to which the response belongs
     * @param requests number of requests that have used the connection, with the current one
     */
    static HeadDecision of(HttpResponse response, List<Header> headers, ResponseOwner owner, int requests) {
        if (ResponseHeads.isJoined(response, headers)) {
            return fail(
                    DiscardedResponse.Reason.INCOMPLETE, "a response broke off in its head and another one followed");
        }
        if (response.status().codeClass() == HttpStatusClass.UNKNOWN) {
            return fail(
                    DiscardedResponse.Reason.MALFORMED,
                    "HTTP does not define the status " + response.status().code());
        }
        if (response.status().code() < FIRST_FINAL_STATUS) {
            return new HeadDecision(Action.SKIP_INTERIM, Optional.empty(), "");
        }
        if (owner == ResponseOwner.OTHER_REQUEST) {
            return skip(DiscardedResponse.Reason.OTHER_REQUEST);
        }
        if (owner == ResponseOwner.UNKNOWN && !HttpResponseStatus.BAD_REQUEST.equals(response.status())) {
            return skip(DiscardedResponse.Reason.NAMES_NO_REQUEST);
        }
        if (owner == ResponseOwner.UNKNOWN && requests > 1) {
            return fail(
                    DiscardedResponse.Reason.NAMES_NO_REQUEST,
                    "a response that names no request arrived on a connection that other requests have used");
        }
        return new HeadDecision(Action.PASS_ON, Optional.empty(), "");
    }

    private static HeadDecision skip(DiscardedResponse.Reason reason) {
        return new HeadDecision(Action.SKIP, Optional.of(reason), "");
    }

    private static HeadDecision fail(DiscardedResponse.Reason reason, String message) {
        return new HeadDecision(Action.FAIL, Optional.of(reason), message);
    }
}
