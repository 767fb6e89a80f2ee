package io.endiveshed.net.http;

import io.endiveshed.protocol.Header;
import java.util.List;

/** Writes one HTTP response. Safe for use by several threads if calls are ordered by the caller. */
public interface ResponseSink {
    /** Sends a whole response. */
    void respond(int status, List<Header> headers, byte[] body);

    /** Sends status and header fields of a response whose body follows in parts. */
    void start(int status, List<Header> headers);

    /** Sends a part of the body and runs the action when it was written to the socket, or when that failed. */
    void write(byte[] bytes, Runnable whenWritten);

    /** Ends the body. */
    void end();

    /** Closes the connection without ending the body, so that the caller sees a truncated response. */
    void abort();

    /** Runs the action once when the caller closes the connection before the response has ended. */
    void onDisconnect(Runnable action);
}
