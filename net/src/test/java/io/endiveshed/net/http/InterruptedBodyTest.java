package io.endiveshed.net.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.endiveshed.protocol.Header;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Servers that break off in a response and write another one on the same connection. Guards against a body that is
 * completed with bytes of the other response and passed on as whole.
 */
final class InterruptedBodyTest {
    private static final int WAIT_SECONDS = 20;
    private static final int SEGMENT_BYTES = 48;
    private static final String BODY = "The answer to this request.";

    /** Bodies that quote a response, each of them whole. */
    private static final List<String> QUOTES = List.of(
            "HTTP/1.1 200 OK",
            "H",
            "GET / HTTP/1.1\r\nHost: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 200 OK\r\nId: unknown\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok, and more",
            "HTTP/1.1 200 OK\r\nId: second\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\nContent-Length: 5000\r\n\r\n",
            "HTTP/1.1 200 OK\nId: first\nSignature: s\n\nquoted with other line ends",
            "{\"log\":\"HTTP/1.1 200 OK\\r\\nId: first\\r\\n\\r\\n\"}",
            "the server answered HTTP/1.1 200 OK\r\nand then closed the connection");

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** How a body is delimited. */
    private enum Framing {
        LENGTH {
            @Override
            String response(String id, String body) {
                return head(id, "Content-Length: " + body.length()) + body;
            }
        },
        ONE_CHUNK {
            @Override
            String response(String id, String body) {
                return head(id, "Transfer-Encoding: chunked") + chunk(body) + "0\r\n\r\n";
            }
        },
        SEVERAL_CHUNKS {
            @Override
            String response(String id, String body) {
                int half = (body.length() + 1) / 2;
                return head(id, "Transfer-Encoding: chunked") + chunk(body.substring(0, half))
                        + (half < body.length() ? chunk(body.substring(half)) : "")
                        + "0\r\n\r\n";
            }
        },
        UNTIL_CLOSE {
            @Override
            String response(String id, String body) {
                return head(id, "Connection: close") + body;
            }
        };

        abstract String response(String id, String body);

        private static String head(String id, String framing) {
            return "HTTP/1.1 200 OK\r\n" + (id.isEmpty() ? "" : "Id: " + id + "\r\n") + "Signature: s-" + id + "\r\n"
                    + framing + "\r\n\r\n";
        }

        private static String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }
    }

    @ParameterizedTest
    @EnumSource
    void responseCutAtAnyByteIsNotCompletedWithTheResponseToAnotherRequest(Framing framing) throws Exception {
        List<Exchange> exchanges = new ArrayList<>();
        for (Framing copied : List.of(Framing.LENGTH, Framing.ONE_CHUNK)) {
            for (String otherBody : List.of("short", BODY.repeat(8))) {
                addCuts(exchanges, framing.response("second", BODY), copied.response("first", otherBody));
            }
        }
        assertNoneIsCompletedWithAnother(exchanges);
    }

    @ParameterizedTest
    @EnumSource
    void responseCutAtAnyByteIsNotCompletedWithItsOwnCopy(Framing framing) throws Exception {
        List<Exchange> exchanges = new ArrayList<>();
        String response = framing.response("second", BODY);
        addCuts(exchanges, response, response);
        assertNoneIsCompletedWithAnother(exchanges);
    }

    /** Guards against a copy whose head goes on with a head that the body quotes, and counts as a part of it. */
    @Test
    void quoteCutAtAnyByteIsNotCompletedWithACopy() throws Exception {
        List<Exchange> exchanges = new ArrayList<>();
        for (String quote : QUOTES) {
            for (int cut = 0; cut < quote.length(); cut++) {
                String completed = quote.substring(0, cut) + Framing.LENGTH.response("first", BODY);
                String written = Framing.LENGTH.response("second", completed);
                exchanges.add(new Exchange(written, List.of(), Integer.MAX_VALUE));
            }
        }
        assertNoneIsCompletedWithAnother(exchanges);
    }

    /** Guards against a copy on an interface whose responses name no request. */
    @ParameterizedTest
    @EnumSource
    void responseWithoutAnIdIsNotCompletedWithItsOwnCopy(Framing framing) throws Exception {
        List<Exchange> exchanges = new ArrayList<>();
        String response = framing.response("", BODY);
        addCuts(exchanges, response, response);
        for (Exchange exchange : exchanges) {
            assertThat(run(exchange, ExchangeOptions.defaults())).isIn(List.of(Optional.empty(), Optional.of(BODY)));
        }
    }

    /** Guards against a copy that fills exactly what is missing, so that nothing follows the body. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 100})
    void bodyIsNotCompletedWithACopyThatFitsIntoWhatIsMissing(int missingAfterCopy) throws Exception {
        String copy = Framing.LENGTH.response("first", "done");
        String written = Framing.LENGTH.response("second", "part" + copy + "x".repeat(missingAfterCopy));
        String interrupted = written.substring(0, written.length() - missingAfterCopy);
        assertNoneIsCompletedWithAnother(List.of(
                new Exchange(interrupted, List.of(), SEGMENT_BYTES),
                new Exchange(interrupted, List.of(), Integer.MAX_VALUE)));
    }

    /** Guards against a copy whose last chunk ends the chunk and the body of the response that broke off. */
    @Test
    void chunkIsNotCompletedWithACopyThatEndsAsItDoes() throws Exception {
        String end = "\r\n0\r\n\r\n";
        String copy = Framing.ONE_CHUNK.response("first", "done");
        String whole = Framing.ONE_CHUNK.response("second", "part" + copy.substring(0, copy.length() - end.length()));
        assertThat(whole).endsWith(copy);
        assertNoneIsCompletedWithAnother(List.of(
                new Exchange(whole, List.of(), SEGMENT_BYTES), new Exchange(whole, List.of(), Integer.MAX_VALUE)));
    }

    /** Guards against a request that fails because the rest of a copy arrives after it was sent. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7})
    void connectionOfAResponseCutInItsLastChunkIsNotUsedAgain(int missingBytes) throws Exception {
        String response = Framing.ONE_CHUNK.response("second", BODY);
        String copy = Framing.LENGTH.response("first", BODY);
        String interrupted = response.substring(0, response.length() - missingBytes);
        AtomicInteger connections = new AtomicInteger();
        try (RawServer server = new RawServer((socket, input) -> {
            connections.incrementAndGet();
            readHead(input);
            socket.getOutputStream().write(bytes(interrupted + copy.substring(0, copy.length() - BODY.length())));
            readHead(input);
        })) {
            HttpClient client = new HttpClient(loops, server.address());
            Optional<String> body = send(client, options("second"));
            send(client, options("second"));
            client.stop();
            assertThat(body).isIn(List.of(Optional.empty(), Optional.of(BODY)));
            assertThat(connections.get()).isEqualTo(2);
        }
    }

    /** Guards against a copy that breaks off in its head, or begins with an interim response. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nSignature: s-fi", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"})
    void bodyIsNotCompletedWithACopyAfterAnotherHead(String head) throws Exception {
        List<Exchange> exchanges = new ArrayList<>();
        addCuts(exchanges, Framing.LENGTH.response("second", BODY), head + Framing.LENGTH.response("first", BODY));
        assertNoneIsCompletedWithAnother(exchanges);
    }

    /** Guards against a copy that names no request; only the bytes that follow the body show it. */
    @Test
    void bodyIsNotCompletedWithACopyThatNamesNoRequest() throws Exception {
        List<Exchange> exchanges = new ArrayList<>();
        addCuts(exchanges, Framing.LENGTH.response("second", BODY), Framing.LENGTH.response("", BODY.repeat(2)));
        assertNoneIsCompletedWithAnother(exchanges);
    }

    /** Guards against a request that fails because its answer quotes a response. */
    @ParameterizedTest
    @EnumSource
    void quotedResponsesArePassedOn(Framing framing) throws Exception {
        for (String quote : QUOTES) {
            for (int segmentBytes : List.of(1, Integer.MAX_VALUE)) {
                Exchange exchange = new Exchange(framing.response("second", quote), List.of(quote), segmentBytes);
                assertThat(run(exchange)).isEqualTo(Optional.of(quote));
            }
        }
    }

    /** Guards against a request that fails because its answer quotes its own head. */
    @ParameterizedTest
    @EnumSource(names = {"ONE_CHUNK", "SEVERAL_CHUNKS"})
    void responseThatQuotesItsOwnHeadIsPassedOn(Framing framing) throws Exception {
        String quote = Framing.head("second", "Transfer-Encoding: chunked") + BODY;
        assertThat(run(new Exchange(framing.response("second", quote), List.of(quote), SEGMENT_BYTES)))
                .isEqualTo(Optional.of(quote));
    }

    /** Guards against a request that fails because a copy of another response follows its answer, which quotes one. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "UNTIL_CLOSE")
    void quotedResponsesArePassedOnBeforeACopy(Framing framing) throws Exception {
        for (String quote : QUOTES) {
            String written = framing.response("second", quote) + Framing.LENGTH.response("first", "done");
            assertThat(run(new Exchange(written, List.of(quote), Integer.MAX_VALUE)))
                    .isEqualTo(Optional.of(quote));
            assertThat(run(new Exchange(written, List.of(quote), SEGMENT_BYTES)))
                    .isEqualTo(Optional.of(quote));
        }
    }

    /** Guards against a request that fails because a discarded response before its answer quotes a status line. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "UNTIL_CLOSE")
    void answerAfterADiscardedResponseWithAQuoteIsPassedOn(Framing framing) throws Exception {
        for (String quote : QUOTES) {
            if (quote.contains("Id: second")) {
                continue;
            }
            String written = framing.response("first", quote) + Framing.LENGTH.response("second", BODY);
            assertThat(run(new Exchange(written, List.of(BODY), SEGMENT_BYTES))).isEqualTo(Optional.of(BODY));
        }
    }

    /** Guards against a request that is held until its deadline because its answer is read as a discarded body. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "UNTIL_CLOSE")
    void answerWithinADiscardedBodyFailsAtOnce(Framing framing) throws Exception {
        String discarded = framing.response("first", BODY.repeat(20));
        String cutInBody = discarded.substring(0, discarded.length() / 2);
        for (int segmentBytes : List.of(1, Integer.MAX_VALUE)) {
            String written = cutInBody + Framing.LENGTH.response("second", BODY);
            assertThat(run(new Exchange(written, List.of(), segmentBytes, true)))
                    .isEqualTo(Optional.empty());
        }
    }

    /** Adds an exchange for each byte of a response before which the server may break off. */
    private static void addCuts(List<Exchange> exchanges, String response, String other) {
        for (int cut = 1; cut < response.length(); cut++) {
            exchanges.add(new Exchange(response.substring(0, cut) + other, List.of(BODY), SEGMENT_BYTES));
            exchanges.add(new Exchange(response.substring(0, cut) + other, List.of(BODY), Integer.MAX_VALUE));
        }
    }

    private void assertNoneIsCompletedWithAnother(List<Exchange> exchanges) throws Exception {
        List<String> wrong = new ArrayList<>();
        for (Exchange exchange : exchanges) {
            Optional<String> body = run(exchange);
            if (body.isPresent() && !exchange.allowedBodies.contains(body.get())) {
                wrong.add(exchange.written.replace("\r\n", "|") + " -> "
                        + body.get().replace("\r\n", "|"));
            }
        }
        assertWithMessage("%s of %s responses were completed with another one", wrong.size(), exchanges.size())
                .that(wrong)
                .isEmpty();
    }

    /** Runs two requests on one connection; returns the body of the second response if it counts as whole. */
    private Optional<String> run(Exchange exchange) throws Exception {
        return run(exchange, options("second"));
    }

    private Optional<String> run(Exchange exchange, ExchangeOptions secondOptions) throws Exception {
        try (RawServer server = new RawServer((socket, input) -> {
            socket.setTcpNoDelay(true);
            readHead(input);
            socket.getOutputStream().write(bytes(Framing.LENGTH.response("first", "done")));
            readHead(input);
            byte[] written = bytes(exchange.written);
            for (int start = 0; start < written.length; start += exchange.segmentBytes) {
                int length = Math.min(exchange.segmentBytes, written.length - start);
                socket.getOutputStream().write(written, start, length);
                if (length < written.length) {
                    pause();
                }
            }
            if (exchange.staysOpen) {
                readHead(input);
            }
        })) {
            HttpClient client = new HttpClient(loops, server.address());
            send(client, options("first"));
            Optional<String> body = send(client, secondOptions);
            client.stop();
            return body;
        }
    }

    private static Optional<String> send(HttpClient client, ExchangeOptions options) throws Exception {
        BodyListener listener = new BodyListener();
        client.send("GET", "/", List.of(), new byte[0], listener, options);
        return listener.body.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Returns options for a request whose response names it, as the responses to all requests of the test do. */
    private static ExchangeOptions options(String id) {
        return ExchangeOptions.builder()
                .responseOwner(headers -> name(headers)
                        .map(name -> name.equals(id) ? ResponseOwner.CURRENT_REQUEST : ResponseOwner.OTHER_REQUEST)
                        .orElse(ResponseOwner.UNKNOWN))
                .embeddedResponseCheck((response, embedded) -> name(embedded)
                                .filter(List.of("first", "second")::contains)
                                .isPresent()
                        && !name(embedded).equals(name(response)))
                .build();
    }

    private static Optional<String> name(List<Header> headers) {
        return headers.stream()
                .filter(header -> header.name().equals("Id"))
                .map(Header::value)
                .findFirst();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void readHead(BufferedReader input) throws IOException {
        String line = input.readLine();
        while (line != null && !line.isEmpty()) {
            line = input.readLine();
        }
    }

    /** Lets the client read a segment before the next one is written. The outcome that a test expects is the same without. */
    private static void pause() {
        try {
            Thread.sleep(1);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * What a server writes in place of its second response.
     *
     * @param written bytes that the server writes before it closes the connection
     * @param allowedBodies bodies that may count as whole
     * @param segmentBytes length of the segments in which it writes them
     * @param staysOpen whether it leaves the connection open afterwards
     */
    private record Exchange(String written, List<String> allowedBodies, int segmentBytes, boolean staysOpen) {
        Exchange(String written, List<String> allowedBodies, int segmentBytes) {
            this(written, allowedBodies, segmentBytes, false);
        }
    }

    /** Collects a body; empty if the exchange has failed. */
    private static final class BodyListener implements HttpResponseListener {
        private final ByteArrayOutputStream received = new ByteArrayOutputStream();
        private final CompletableFuture<Optional<String>> body = new CompletableFuture<>();

        @Override
        public void started(int status, List<Header> headers) {}

        @Override
        public void received(byte[] bytes) {
            received.writeBytes(bytes);
        }

        @Override
        public void ended() {
            body.complete(Optional.of(received.toString(StandardCharsets.ISO_8859_1)));
        }

        @Override
        public void failed(boolean sent, String message) {
            body.complete(Optional.empty());
        }
    }
}
