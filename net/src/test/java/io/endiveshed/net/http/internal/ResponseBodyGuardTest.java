package io.endiveshed.net.http.internal;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.endiveshed.net.http.internal.ResponseBodyGuard.Ending;
import io.endiveshed.protocol.Header;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ResponseBodyGuardTest {
    private static final int SEEDS = 2_000;
    private static final int MAX_FRAGMENTS = 30;
    private static final int MAX_PART_BYTES = 20;
    private static final List<Header> HEADERS = List.of(new Header("Id", "own"), new Header("Content-Length", "100"));

    /** Fragments of heads, of which a random sequence has heads, parts of heads and text that is like them. */
    private static final String[] FRAGMENTS = {
        "H",
        "HT",
        "HTTP/1.",
        "HTTP/1.1",
        " 200",
        " OK",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK",
        "\r",
        "\n",
        "\r\n",
        "\r\n\r\n",
        "Id: quoted\r\n",
        "Content-Length: 5\r\n",
        "Content-Length: x\r\n",
        "text",
        ":",
        " ",
        "\0",
        "\u00e9"
    };

    /** Guards against a body that loses bytes, or whose bytes change their order, because they are like a head. */
    @Test
    void bodyWithoutAnotherResponseIsPassedOnWhole() {
        for (long seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            byte[] body = randomBody(random);
            ResponseBodyGuard guard = guard(OptionalLong.of(body.length));
            ByteArrayOutputStream passed = new ByteArrayOutputStream();
            for (int start = 0; start < body.length; ) {
                int length = Math.min(body.length - start, random.nextInt(1, MAX_PART_BYTES));
                byte[] part = new byte[length];
                System.arraycopy(body, start, part, 0, length);
                passed.writeBytes(guard.append(part));
                start += length;
            }
            assertWithMessage("seed %s", seed).that(guard.ending()).isNotEqualTo(Ending.INTERRUPTED);
            passed.writeBytes(guard.rest());
            assertWithMessage("seed %s", seed).that(passed.toByteArray()).isEqualTo(body);
        }
    }

    /** Guards against bytes of another response that are passed on before it is recognized. */
    @Test
    void nothingOfAnotherResponseIsPassedOn() {
        byte[] other = bytes("HTTP/1.1 200 OK\r\nDate: x\r\nId: other\r\n\r\nother");
        for (long seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            byte[] own = bytes("x".repeat(random.nextInt(MAX_PART_BYTES)));
            ResponseBodyGuard guard = guard(OptionalLong.empty());
            ByteArrayOutputStream passed = new ByteArrayOutputStream();
            passed.writeBytes(guard.append(own));
            for (byte value : other) {
                passed.writeBytes(guard.append(new byte[] {value}));
            }
            assertThat(guard.isInterrupted()).isTrue();
            assertThat(guard.embeddedHeaders()).contains(new Header("Id", "other"));
            assertThat(passed.toByteArray()).isEqualTo(own);
        }
    }

    /** Guards against a wait for bytes that would change nothing. */
    @ParameterizedTest
    @ValueSource(strings = {"", "text", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 204 x\r\n\r\n"})
    void bodyThatEndsOutsideOfAHeadIsWhole(String body) {
        ResponseBodyGuard guard = guard(OptionalLong.of(body.length()));
        guard.append(bytes(body));
        assertThat(guard.ending()).isEqualTo(Ending.WHOLE);
    }

    /** Guards against a body that fails because other bytes follow it than the rest of a response. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\n", "garbage", "\r\n"})
    void bodyThatEndsLikeAHeadIsWholeIfOtherBytesFollow(String following) {
        ResponseBodyGuard guard = guard(OptionalLong.of(1));
        guard.append(bytes("H"));
        assertThat(guard.ending()).isEqualTo(Ending.UNCERTAIN);
        assertThat(guard.follow(bytes(following))).isEqualTo(Ending.WHOLE);
        assertThat(guard.rest()).isEqualTo(bytes("H"));
    }

    /** Guards against a decision before the status line that follows a body is known to go on with it. */
    @Test
    void bodyThatEndsWithinAStatusLineIsInterruptedOnceThatIsComplete() {
        ResponseBodyGuard guard = guard(OptionalLong.of(3));
        guard.append(bytes("HTT"));
        assertThat(guard.follow(bytes("P/1.1 20"))).isEqualTo(Ending.UNCERTAIN);
        assertThat(guard.follow(bytes("0 OK"))).isEqualTo(Ending.UNCERTAIN);
        assertThat(guard.follow(bytes("\r\n"))).isEqualTo(Ending.INTERRUPTED);
    }

    /** Guards against a head that grows without end while its bytes are held back. */
    @Test
    void headThatIsTooLongIsPassedOn() {
        ResponseBodyGuard guard = guard(OptionalLong.empty());
        String body = "HTTP/1.1 200 OK\r\n" + "Field: value\r\n".repeat(2_000);
        int passed = guard.append(bytes(body)).length;
        for (int i = 0; i < 20_000; i++) {
            passed += guard.append(bytes("x")).length;
        }
        assertThat(body.length() + 20_000 - passed).isLessThan(10_000);
    }

    private static ResponseBodyGuard guard(OptionalLong length) {
        return new ResponseBodyGuard(
                200, HEADERS, length, (response, embedded) -> embedded.contains(new Header("Id", "other")));
    }

    private static byte[] randomBody(Random random) {
        StringBuilder body = new StringBuilder();
        for (int i = random.nextInt(MAX_FRAGMENTS); i >= 0; i--) {
            body.append(FRAGMENTS[random.nextInt(FRAGMENTS.length)]);
        }
        return bytes(body.toString());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
