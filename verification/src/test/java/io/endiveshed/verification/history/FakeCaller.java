package io.endiveshed.verification.history;

import io.endiveshed.net.http.ResponseSink;
import io.endiveshed.protocol.Header;
import io.endiveshed.verification.history.History.Ending;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A caller that records how its request ended. */
final class FakeCaller implements ResponseSink {
    private static final Pattern OUTCOME = Pattern.compile("\"outcome\":\"([a-z_]+)\"");

    private final VirtualTime time;
    private final VirtualNode entry;
    private final History history;
    private final String request;
    private final Duration readTime;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Runnable disconnect = () -> {};
    private boolean ended;
    private boolean left;

    /** Makes a caller that takes the given time to read each part of the answer. */
    FakeCaller(VirtualTime time, VirtualNode entry, History history, String request, Duration readTime) {
        this.time = time;
        this.entry = entry;
        this.history = history;
        this.request = request;
        this.readTime = readTime;
    }

    /** Closes the connection from the caller's side, or because the entry was killed. */
    void leave() {
        if (!ended) {
            record(Ending.DISCONNECTED, "");
            entry.deliver(disconnect);
        }
    }

    @Override
    public void respond(int status, List<Header> headers, byte[] bytes) {
        body.writeBytes(bytes);
        Matcher outcome = OUTCOME.matcher(text());
        record(Ending.ERROR, outcome.find() ? outcome.group(1) : "");
    }

    @Override
    public void start(int status, List<Header> headers) {}

    @Override
    public void write(byte[] bytes, Runnable whenWritten) {
        body.writeBytes(bytes);
        time.schedule(readTime, () -> entry.deliver(whenWritten));
    }

    @Override
    public void end() {
        record(Ending.WHOLE, "");
    }

    @Override
    public void abort() {
        record(Ending.TRUNCATED, "");
    }

    @Override
    public void onDisconnect(Runnable action) {
        disconnect = action;
    }

    private void record(Ending ending, String outcome) {
        // A response that the entry sends after the caller has gone reaches nobody.
        boolean gone = ended && ending != Ending.DISCONNECTED && left;
        if (!gone) {
            history.add(new History.Answered(time.nanoTime(), request, ending, outcome, text()));
        }
        ended = true;
        left |= ending == Ending.DISCONNECTED;
    }

    private String text() {
        return body.toString(StandardCharsets.UTF_8);
    }
}
