package io.endiveshed.net.http;

import io.endiveshed.protocol.Header;
import java.util.List;

/** Writes the response to one HTTP request. Safe for use by several threads if the caller orders the calls. */
public interface ResponseSink {
    /** Sends a complete response. */
    void respond(int status, List<Header> headers, byte[] body);

    /** Sends the status and header fields of a response whose body follows in parts. */
    void start(int status, List<Header> headers);

    /** Sends a part of the body; runs the action after the part was written to the socket or the write failed. */
    void write(byte[] bytes, Runnable whenWritten);

    /** Ends the body and with it the response. */
    void end();

    /** Closes the connection without ending the body, so that the caller sees a truncated response. */
    void abort();

    /** Sets an action that runs once if the caller closes the connection before the response has ended. */
    void onDisconnect(Runnable action);
}
