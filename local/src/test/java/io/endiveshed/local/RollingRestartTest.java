package io.endiveshed.local;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.time.OpeningHours;
import io.endiveshed.standins.EngineStandIn;
import java.io.IOException;
import java.net.ConnectException;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Restarts every process under load, over real connections. */
final class RollingRestartTest {
    private static final int ENTRIES = 3;
    private static final int SIDECARS = 4;
    private static final int CALLERS = 24;

    private final TestFleet fleet =
            new TestFleet(ENTRIES, SIDECARS, Duration.ofMillis(1), Duration.ofSeconds(20), OpeningHours.ALWAYS);
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Queue<String> lost = new ConcurrentLinkedQueue<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private volatile boolean over;

    @AfterEach
    void stop() {
        fleet.stop();
    }

    /** Guards against a planned restart that loses a request, cuts an answer or leaves its outcome open. */
    @Test
    void noAdmittedRequestIsLost() throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        for (int i = 0; i < CALLERS; i++) {
            int caller = i;
            callers.execute(() -> call(caller));
        }
        for (int i = 0; i < ENTRIES; i++) {
            fleet.restartEntry(i);
        }
        for (int i = 0; i < SIDECARS; i++) {
            fleet.restartSidecar(i);
        }
        over = true;
        callers.shutdown();
        assertThat(callers.awaitTermination(30, TimeUnit.SECONDS)).isTrue();
        System.out.println(
                "rolling restart: answered " + answered + ", refused as not_run " + refused + ", lost " + lost.size());
        assertThat(lost).isEmpty();
        assertThat(answered.get()).isAtLeast(CALLERS);
    }

    /** Sends requests one after the other; after a refusal the next entry is asked, as a load balancer would. */
    private void call(int caller) {
        int entry = caller;
        for (int i = 0; !over; i++) {
            int port = fleet.entries.get(entry % ENTRIES).callerPort();
            if (!isAnswered(port, "prompt " + caller + " " + i, caller % 2 == 0)) {
                entry++;
            }
        }
    }

    private boolean isAnswered(int port, String prompt, boolean stream) {
        try {
            HttpResponse<String> response =
                    client.send(fleet.completion(port, prompt, stream), BodyHandlers.ofString());
            if (response.statusCode() == 503 && response.body().contains("\"outcome\":\"not_run\"")) {
                refused.incrementAndGet();
                return false;
            }
            check(response, prompt, stream);
            return true;
        } catch (ConnectException e) {
            refused.incrementAndGet();
            return false;
        } catch (IOException e) {
            lost.add(prompt + ": " + e);
            return false;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void check(HttpResponse<String> response, String prompt, boolean stream) {
        String answer = EngineStandIn.answer(prompt, TestFleet.TOKENS);
        boolean complete = stream
                ? response.body().contains(answer.substring(0, answer.indexOf(' ')))
                        && response.body().endsWith("data: [DONE]\n\n")
                : response.body().contains(answer);
        if (response.statusCode() == 200 && complete) {
            answered.incrementAndGet();
        } else {
            lost.add(prompt + ": " + response.statusCode() + " " + response.body());
        }
    }
}
