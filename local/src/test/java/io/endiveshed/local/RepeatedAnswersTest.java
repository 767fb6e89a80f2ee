package io.endiveshed.local;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.time.OpeningHours;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** A target that writes each answer once more before the next one on the same connection. */
final class RepeatedAnswersTest {
    /** Guards against a caller who receives the answer to an earlier request. */
    @Test
    void callerReceivesTheAnswerToItsOwnRequest() throws Exception {
        TestFleet fleet = new TestFleet(1, 0, Duration.ZERO, Duration.ofSeconds(1), OpeningHours.ALWAYS);
        try (ServerSocket target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            start(() -> accept(target));
            fleet.addSidecar(target.getLocalPort());
            for (String prompt : new String[] {"first", "second", "third"}) {
                HttpRequest request = fleet.completion(fleet.entries.get(0).callerPort(), prompt, false);
                HttpResponse<String> answer = HttpClient.newHttpClient().send(request, BodyHandlers.ofString());
                assertThat(answer.body()).contains("\"prompt\":\"" + prompt + "\"");
            }
        } finally {
            fleet.stop();
        }
    }

    private static void accept(ServerSocket target) throws IOException {
        while (true) {
            Socket connection = target.accept();
            start(() -> serve(connection));
        }
    }

    /** Answers each request with its own body, after the answer to the request before it. */
    private static void serve(Socket connection) throws IOException {
        BufferedReader input =
                new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
        String previous = "";
        for (String line = input.readLine(); line != null; line = input.readLine()) {
            int length = 0;
            while (!line.isEmpty()) {
                if (line.regionMatches(true, 0, "Content-Length:", 0, "Content-Length:".length())) {
                    length = Integer.parseInt(
                            line.substring("Content-Length:".length()).trim());
                }
                line = input.readLine();
            }
            char[] body = new char[length];
            for (int read = 0; read < length; read += input.read(body, read, length - read)) {
                // Reads on until the body is complete.
            }
            String answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + length
                    + "\r\n\r\n" + new String(body);
            connection.getOutputStream().write((previous + answer).getBytes(StandardCharsets.US_ASCII));
            previous = answer;
        }
    }

    private static void start(Step step) {
        Thread thread = new Thread(() -> {
            try {
                step.run();
            } catch (IOException e) {
                // The socket was closed by the other side or at the end of the test.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Step of the target that ends with an exception when its socket is closed. */
    private interface Step {
        void run() throws IOException;
    }
}
