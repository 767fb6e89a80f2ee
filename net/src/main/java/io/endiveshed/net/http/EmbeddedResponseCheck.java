package io.endiveshed.net.http;

import io.endiveshed.protocol.Header;
import java.util.List;

/**
 * Distinguishes the head of another response from quoted text. A server that breaks off in a body and goes on with another
 * response leaves that response's head within the body; a body may also quote such a head rightly.
 */
@FunctionalInterface
public interface EmbeddedResponseCheck {
    /**
     * Returns whether header fields that follow a status line within a body are those of another response; called after
     * each field.
     *
     * @param response header fields of the response whose body it is
     * @param embedded header fields after the status line, as far as they have arrived
     */
    boolean isOtherResponse(List<Header> response, List<Header> embedded);
}
