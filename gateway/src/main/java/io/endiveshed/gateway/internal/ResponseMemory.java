package io.endiveshed.gateway.internal;

import io.endiveshed.gateway.GatewaySettings;

/**
 * Memory that incomplete responses of targets take in this process, with limits that no target can exceed, however many
 * bytes it sends. Confined to one event loop.
 *
 * <pre>{@code
 * ResponseMemory memory = new ResponseMemory(settings.responses());
 * ResponseMemory.Share share = memory.newShare();
 * if (!share.tryResize(bytes)) { ... }
 * share.release();
 * }</pre>
 */
final class ResponseMemory {
    private final GatewaySettings.ResponseLimits limits;
    private long heldBytes;

    ResponseMemory(GatewaySettings.ResponseLimits limits) {
        this.limits = limits;
    }

    GatewaySettings.ResponseLimits limits() {
        return limits;
    }

    /** Returns the number of bytes that all responses hold. */
    long heldBytes() {
        return heldBytes;
    }

    /** Returns the share of one response, which holds nothing yet. */
    Share newShare() {
        return new Share();
    }

    /** Memory of one response. */
    final class Share {
        private long bytes;

        /** Sets the number of bytes that the response holds; returns false if all responses would exceed the limit. */
        boolean tryResize(long newBytes) {
            if (newBytes > bytes && heldBytes - bytes + newBytes > limits.maxHeldBytes()) {
                return false;
            }
            heldBytes += newBytes - bytes;
            bytes = newBytes;
            return true;
        }

        /** Releases all bytes of the response. */
        void release() {
            tryResize(0);
        }
    }
}
