package io.endiveshed.sidecar.internal;

import io.endiveshed.net.http.HttpResponseListener;

/** Decides whether a call may be sent to the target, and hears what became of it. */
interface CallFence {
    /** Fence of a call that may be repeated; it permits everything. */
    CallFence NONE = new CallFence() {
        @Override
        public boolean start() {
            return true;
        }

        @Override
        public boolean drop() {
            return true;
        }

        @Override
        public boolean finishesWithoutEntry() {
            return false;
        }

        @Override
        public HttpResponseListener record(HttpResponseListener listener) {
            return listener;
        }
    };

    /** Tells whether the call may be sent to the target now; true at most once. */
    boolean start();

    /** Makes sure that the call is not sent; returns true if it was not and never will be. */
    boolean drop();

    /** Tells whether a call that was sent must run to its end although no entry waits for it. */
    boolean finishesWithoutEntry();

    /** Returns the listener to use for the response instead of the given one. */
    HttpResponseListener record(HttpResponseListener listener);
}
