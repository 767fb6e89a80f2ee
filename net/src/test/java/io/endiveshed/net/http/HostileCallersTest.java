package io.endiveshed.net.http;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the HTTP server with malformed, oversized and slow requests over real connections. */
final class HostileCallersTest {
    private static final int MAX_HEADER_BYTES = 4_096;
    private static final int MAX_BODY_BYTES = 100_000;
    private static final int MAX_BUFFERED_BYTES = 150_000;
    private static final int MIN_BYTES_PER_SECOND = 10_000;
    private static final int READ_LIMIT_MILLIS = 30_000;
    private static final long SEED = 5;
    private static final int FUZZ_ROUNDS = 300;
    private static final String GET = "GET /ok HTTP/1.1\r\nHost: x\r\n\r\n";

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final MetricRegistry metrics = new MetricRegistry();
    private final AtomicLong largestBody = new AtomicLong();
    private final HttpServer server = server(Duration.ofMillis(300));
    private final HttpServer patientServer = server(Duration.ofMinutes(1));

    @BeforeEach
    void start() {
        server.start();
        patientServer.start();
    }

    @AfterEach
    void stop() {
        server.stop();
        patientServer.stop();
        loops.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Guards against bodies that exhaust memory, with and without a Content-Length. */
    @Test
    void bodyOverTheLimitIsRejected() throws Exception {
        assertThat(exchange("POST / HTTP/1.1\r\nContent-Length: 100001\r\n\r\n"))
                .contains("\"body_too_large\"");
        String chunk = "4000\r\n" + "x".repeat(0x4000) + "\r\n";
        assertThat(exchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk.repeat(10)))
                .contains("\"body_too_large\"");
        assertThat(counter("body_too_large")).isEqualTo(2);
        assertThat(largestBody.get()).isEqualTo(0);
    }

    /** Guards against header sections that exhaust memory. */
    @Test
    void headerSectionOverTheLimitIsRejected() throws Exception {
        assertThat(exchange("GET / HTTP/1.1\r\n" + "a: b\r\n".repeat(MAX_HEADER_BYTES)))
                .contains("\"headers_too_large\"");
        assertThat(exchange("GET /" + "a".repeat(2 * MAX_HEADER_BYTES) + " HTTP/1.1\r\n\r\n"))
                .contains("\"headers_too_large\"");
        assertThat(counter("headers_too_large")).isEqualTo(2);
    }

    /** Guards against connections kept open by incomplete header sections, also after a first request. */
    @Test
    void incompleteHeaderSectionIsRejected() throws Exception {
        assertThat(exchange("GET / HTTP/1.1\r\nHost")).contains("\"request_timeout\"");
        try (Socket caller = connect()) {
            caller.getOutputStream().write(bytes(GET));
            assertThat(caller.getInputStream().read()).isEqualTo('H');
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
            caller.getOutputStream().write(bytes("GET / HTTP/1.1\r\nHost"));
            assertThat(readAll(caller)).contains("\"request_timeout\"");
        }
        assertThat(counter("request_timeout")).isEqualTo(2);
    }

    /** Guards against connections kept open by incomplete bodies. */
    @Test
    void stalledBodyIsRejected() throws Exception {
        assertThat(exchange("POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\nabc"))
                .contains("\"request_timeout\"");
    }

    /** Guards against a limit on the total time of a body, which would reject long prompts over slow connections. */
    @Test
    void slowButSteadyBodyIsAccepted() throws Exception {
        try (Socket caller = connect()) {
            OutputStream out = caller.getOutputStream();
            out.write(bytes("POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 60000\r\n\r\n"));
            for (int i = 0; i < 30; i++) {
                out.write(new byte[2_000]);
                out.flush();
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(40));
            }
            assertThat(readAll(caller)).contains("200 OK");
        }
    }

    /**
     * Guards against bodies that are each within the limit and together exhaust memory, and against a stalled one that
     * keeps others from being served.
     */
    @Test
    void totalSizeOfBodiesIsLimitedAndTheStalledOneIsDropped() throws Exception {
        String head = "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 90000\r\n\r\n";
        try (Socket first = connect(patientServer)) {
            first.getOutputStream().write(bytes(head + "x".repeat(80_000)));
            first.getOutputStream().flush();
            awaitBufferedBytes(80_000);
            assertThat(exchange(patientServer, head + "x".repeat(90_000))).contains("200 OK");
            assertThat(readAll(first)).contains("\"overloaded\"");
            assertThat(counter("overloaded")).isEqualTo(1);
            assertThat(metrics.counter("http.dropped_clients.body").getCount()).isEqualTo(1);
        }
        awaitBufferedBytes(0);
    }

    /** Guards against lost or reordered responses to pipelined requests. */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < 20; i++) {
            requests.append("GET /n").append(i).append(" HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        requests.append("GET /last HTTP/1.1\r\nConnection: close\r\n\r\n");
        String answers = exchange(requests.toString());
        int from = 0;
        for (int i = 0; i < 20; i++) {
            int at = answers.indexOf("[/n" + i + "]", from);
            assertThat(at).isAtLeast(from);
            from = at;
        }
        assertThat(answers.indexOf("[/last]")).isAtLeast(from);
    }

    /** Guards against input that stops the server or keeps a connection open, and against malformed responses. */
    @Test
    void serverSurvivesRandomlyMutatedRequests() throws Exception {
        Random random = new Random(SEED);
        for (int i = 0; i < FUZZ_ROUNDS; i++) {
            byte[] input = bytes("POST /ok HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc");
            for (int changes = random.nextInt(4); changes >= 0; changes--) {
                input[random.nextInt(input.length)] = (byte) random.nextInt();
            }
            try (Socket caller = connect()) {
                caller.getOutputStream().write(input);
                caller.shutdownOutput();
                String answer = readAll(caller);
                assertThat(answer.isEmpty() || answer.startsWith("HTTP/1.1 ")).isTrue();
            }
        }
        assertThat(exchange("GET /ok HTTP/1.1\r\nConnection: close\r\n\r\n")).contains("[/ok]");
    }

    private void answer(HttpRequestData request, ResponseSink response) {
        largestBody.accumulateAndGet(request.body().length, Math::max);
        response.respond(200, List.of(), bytes("[" + request.uri() + "]"));
    }

    /**
     * Waits until the server has read this many bytes of bodies. Without the wait the second body can be read first, and
     * the caller that exceeds the total is then the first one.
     */
    private void awaitBufferedBytes(long bytes) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READ_LIMIT_MILLIS);
        while (metrics.counter("http.buffered_body_bytes").getCount() != bytes) {
            assertThat(System.nanoTime()).isLessThan(end);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }

    /** Guards against a total that only holds for the caller that came last, and against a refusal of the faster one. */
    @Test
    void callerThatMakesNoProgressIsDroppedAndNotTheOneThatExceedsTheTotal() throws Exception {
        String head = "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 90000\r\n\r\n";
        try (Socket first = connect(patientServer);
                Socket second = connect(patientServer)) {
            first.getOutputStream().write(bytes(head + "x".repeat(70_000)));
            awaitBufferedBytes(70_000);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(500));
            second.getOutputStream().write(bytes(head + "x".repeat(85_000)));
            assertThat(readAll(first)).contains("\"overloaded\"");
            awaitBufferedBytes(85_000);
            second.getOutputStream().write(bytes("x".repeat(5_000)));
            assertThat(readAll(second)).contains("200 OK");
        }
    }

    /** Guards against a body that is announced, never begun and kept open for ever. */
    @Test
    void announcedBodyOfWhichNothingArrivesIsRejected() throws Exception {
        assertThat(exchange("POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\n")).contains("\"request_timeout\"");
    }

    /** Guards against requests that run although the client reads no response, and against lost ones when it reads. */
    @Test
    void manyRequestsSentAheadAreAllAnsweredOnceTheClientReads() throws Exception {
        int count = 3_000;
        HttpServer roomyServer = server(Duration.ofMinutes(1), 100 * MAX_BUFFERED_BYTES);
        roomyServer.start();
        try (Socket caller = connect(roomyServer)) {
            Thread writer = new Thread(() -> {
                try {
                    caller.getOutputStream().write(bytes(GET.repeat(count)));
                    caller.getOutputStream().write(bytes("GET /last HTTP/1.1\r\nConnection: close\r\n\r\n"));
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            writer.start();
            String answers = readAll(caller);
            writer.join();
            assertThat(answers.split("\\[/ok\\]", -1).length - 1).isEqualTo(count);
            assertThat(answers).contains("[/last]");
        }
        roomyServer.stop();
    }

    private long counter(String code) {
        return metrics.counter("http.rejected." + code).getCount();
    }

    private HttpServer server(Duration timeout) {
        return server(timeout, MAX_BUFFERED_BYTES);
    }

    private HttpServer server(Duration timeout, int maxBufferedBytes) {
        return new HttpServer(
                loops,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                new HttpServerLimits(
                        MAX_HEADER_BYTES, MAX_BODY_BYTES, timeout, timeout, MIN_BYTES_PER_SECOND, maxBufferedBytes),
                this::answer,
                metrics);
    }

    private String exchange(String input) throws IOException {
        return exchange(server, input);
    }

    private static String exchange(HttpServer server, String input) throws IOException {
        try (Socket caller = connect(server)) {
            caller.getOutputStream().write(bytes(input));
            caller.getOutputStream().flush();
            return readAll(caller);
        }
    }

    private Socket connect() throws IOException {
        return connect(server);
    }

    private static Socket connect(HttpServer server) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout(READ_LIMIT_MILLIS);
        return socket;
    }

    /** Reads until the server closes the connection; a reset is noted at the end of the text. */
    private static String readAll(Socket caller) throws IOException {
        StringBuilder answer = new StringBuilder();
        byte[] buffer = new byte[4_096];
        try {
            for (int length = caller.getInputStream().read(buffer);
                    length >= 0;
                    length = caller.getInputStream().read(buffer)) {
                answer.append(new String(buffer, 0, length, StandardCharsets.ISO_8859_1));
            }
        } catch (SocketException e) {
            answer.append("RESET");
        }
        return answer.toString();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
