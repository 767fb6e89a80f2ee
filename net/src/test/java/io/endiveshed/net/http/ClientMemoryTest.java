package io.endiveshed.net.http;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.net.http.ClientMemory.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests which clients are dropped when they hold too much, without a network and in virtual time. */
final class ClientMemoryTest {
    private static final long KB = 1024;
    private static final long MAX_BODY = 4 * KB * KB;
    private static final long SEED = 7;

    private final ClientMemoryLimits limits = ClientMemoryLimits.ofBodies(8 * KB * KB, 2_000);
    private final List<String> dropped = new ArrayList<>();
    private long nowNanos;
    private final ClientMemory memory = new ClientMemory(limits, () -> nowNanos);

    /** Guards against the drop of a client that advances in place of one that stalls and holds more. */
    @Test
    void clientThatHoldsMostWithoutProgressIsDroppedFirst() {
        holdBody("stalled", MAX_BODY - 1);
        ClientMemory.Share steady = holdBody("steady", MAX_BODY / 2);
        for (int i = 0; i < 10; i++) {
            advanceMillis(100);
            steady.progressed(64 * KB);
        }
        holdBody("new", MAX_BODY);
        assertThat(dropped).containsExactly("stalled");
    }

    /** Guards against a client that keeps its memory by a few bytes now and then. */
    @Test
    void fewBytesAreNoProgress() {
        ClientMemory.Share drip = holdBody("drip", MAX_BODY - 1);
        ClientMemory.Share steady = holdBody("steady", MAX_BODY - 1);
        for (int i = 0; i < 100; i++) {
            advanceMillis(100);
            drip.progressed(1);
            steady.progressed(2 * KB);
        }
        holdBody("new", MAX_BODY);
        assertThat(dropped).containsExactly("drip");
    }

    /** Guards against an attacker that spreads what it holds over many connections. */
    @Test
    void connectionsOfOneAddressCountTogether() {
        holdBody("single", MAX_BODY / 4);
        for (int i = 0; i < 64; i++) {
            holdBody("many", MAX_BODY / 64);
        }
        advanceMillis(1_000);
        holdBody("new", 3 * MAX_BODY / 4 + KB);
        assertThat(dropped).isNotEmpty();
        assertThat(dropped).doesNotContain("single");
    }

    /** Guards against a refusal while there is room only because all callers share the address of a load balancer. */
    @Test
    void oneAddressMayHoldEverythingWhileThereIsRoom() {
        for (int i = 0; i < 300; i++) {
            assertThat(open("balancer").tryResize(Kind.HEADERS, 4 * KB)).isTrue();
        }
        holdBody("balancer", MAX_BODY);
        assertThat(dropped).isEmpty();
    }

    /** Guards against a request that is dropped although its client waits for this process. */
    @Test
    void runningRequestsAreNeverDroppedAndWhoeverStallsIs() {
        ClientMemory.Share running = holdBody("running", MAX_BODY);
        running.setRunning(true);
        advanceMillis(60_000);
        for (int i = 0; i < 20; i++) {
            holdBody("crowd", MAX_BODY - 1);
            advanceMillis(10);
        }
        assertThat(dropped).doesNotContain("running");
        ClientMemory.Share largest = open("ordinary");
        assertThat(largest.tryResize(Kind.BODY, MAX_BODY)).isTrue();
    }

    /** Guards against responses that are held without a bound for clients that do not read them. */
    @Test
    void clientThatReadsNothingIsDroppedForOneThatReads() {
        ClientMemory.Share unread = open("unread");
        unread.setRunning(true);
        unread.resize(Kind.RESPONSE, limits.responseBytes() - KB);
        advanceMillis(1_000);
        ClientMemory.Share reading = open("reading");
        reading.setRunning(true);
        reading.resize(Kind.RESPONSE, 64 * KB);
        assertThat(dropped).containsExactly("unread");
        assertThat(memory.heldBytes(Kind.RESPONSE)).isEqualTo(64 * KB);
    }

    /** Guards against connections that are refused although idle ones could be closed. */
    @Test
    void longestIdleConnectionMakesRoomForANewOne() {
        long max = limits.connectionBytes() / ClientMemoryLimits.CONNECTION_BYTES;
        for (int i = 0; i < max; i++) {
            open("balancer");
            advanceMillis(1);
        }
        open("balancer");
        assertThat(dropped).hasSize(1);
        assertThat(memory.heldBytes(Kind.CONNECTION)).isAtMost(limits.connectionBytes());
    }

    /** Guards against bounds that do not hold, or memory that is never released, after any order of calls. */
    @Test
    void boundsHoldAndAllIsReleasedAfterRandomCalls() {
        Random random = new Random(SEED);
        List<ClientMemory.Share> shares = new ArrayList<>(List.of(open("a")));
        List<Kind> kinds = List.of(Kind.values());
        for (int i = 0; i < 20_000; i++) {
            advanceMillis(random.nextInt(20));
            Kind kind = kinds.get(random.nextInt(kinds.size()));
            switch (random.nextInt(5)) {
                case 0 -> memory.open("a" + random.nextInt(5), shortage -> {}).ifPresent(shares::add);
                case 1 -> shares.remove(random.nextInt(shares.size())).close();
                case 2 -> any(shares, random).setRunning(random.nextInt(4) == 0);
                case 3 -> any(shares, random).progressed(random.nextInt(100_000));
                default -> {
                    if (kind != Kind.CONNECTION) {
                        any(shares, random).tryResize(kind, random.nextInt(1 << 20));
                    }
                }
            }
            if (shares.isEmpty()) {
                shares.add(open("a"));
            }
            assertThat(memory.totalBytes()).isAtMost(limits.totalBytes());
            assertThat(memory.heldBytes(kind)).isAtMost(limits.maxBytes(kind));
        }
        shares.forEach(ClientMemory.Share::close);
        assertThat(memory.totalBytes()).isEqualTo(0);
    }

    /** Guards against a budget that exceeds the descriptors, or is too small for a single largest request. */
    @Test
    void boundsFollowFromBodiesAndDescriptors() {
        assertThat(ClientMemoryLimits.ofBodies(64 * KB * KB, 1_000).connectionBytes())
                .isEqualTo(500 * ClientMemoryLimits.CONNECTION_BYTES);
        assertThat(ClientMemoryLimits.bodyBytesOfProcess(Integer.MAX_VALUE)).isAtLeast(Integer.MAX_VALUE);
    }

    private static ClientMemory.Share any(List<ClientMemory.Share> shares, Random random) {
        return shares.get(random.nextInt(shares.size()));
    }

    private ClientMemory.Share open(String address) {
        return memory.open(address, shortage -> dropped.add(address)).orElseThrow();
    }

    private ClientMemory.Share holdBody(String address, long bytes) {
        ClientMemory.Share share = open(address);
        assertThat(share.tryResize(Kind.BODY, bytes)).isTrue();
        return share;
    }

    private void advanceMillis(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
