package io.endiveshed.sidecar.internal;

import io.endiveshed.net.http.HttpResponseListener;

/**
 * Decides whether a call may be sent to the target, and observes its response. A guard belongs to one call.
 */
interface ExecutionGuard {
    /** Guard of a call without an idempotency key, which permits everything because the call may be repeated. */
    ExecutionGuard PERMIT_ALL = new ExecutionGuard() {
        @Override
        public boolean tryStart() {
            return true;
        }

        @Override
        public boolean tryDrop() {
            return true;
        }

        @Override
        public boolean mustFinishWithoutEntry() {
            return false;
        }

        @Override
        public HttpResponseListener recordResponse(HttpResponseListener listener) {
            return listener;
        }
    };

    /** Returns whether the call may be sent to the target now. A guard that depends on a claim returns true at most once. */
    boolean tryStart();

    /** Prevents the call from being sent to the target, and returns whether it was not sent and never will be. */
    boolean tryDrop();

    /** Returns whether a call that was sent must run to completion even if no entry waits for it any more. */
    boolean mustFinishWithoutEntry();

    /** Returns a listener that observes the response and passes it on to the given listener. */
    HttpResponseListener recordResponse(HttpResponseListener listener);
}
