package io.endiveshed.net.http;

/** One call of a {@link TargetClient}. Safe for use by several threads. */
public interface TargetExchange {
    /** Gives up the call and closes its connection; the listener hears of it as a failure, unless it has ended. */
    void cancel();

    /** Stops or continues to read the response, which holds back the server. */
    void setPaused(boolean value);
}
