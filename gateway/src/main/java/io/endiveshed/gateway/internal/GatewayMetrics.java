package io.endiveshed.gateway.internal;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.UniformReservoir;
import io.endiveshed.coordination.service.ClientAccount;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Counters and latency histograms of a gateway. Written on one event loop, read by any thread. */
final class GatewayMetrics {
    /** Label of requests that belong to no client account. */
    private static final String NO_ACCOUNT = "none";

    private final MetricRegistry registry;
    private final Map<String, Histogram> histogramsByName = new HashMap<>();

    GatewayMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Increments a counter, named without the prefix of the gateway. */
    void count(String name) {
        registry.counter("gateway." + name).inc();
    }

    /** Counts a call to the store for the objects of one feed. */
    void countStoreCall(String feed, StoreCalls.Kind kind) {
        registry.counter("gateway.store_calls;feed=" + labelValue(feed).replace(' ', '_') + ";kind="
                        + kind.name().toLowerCase(Locale.ROOT))
                .inc();
    }

    /**
     * Counts a response and records its latencies.
     *
     * @param account client account of the request
     * @param service name of the service
     * @param status HTTP status
     * @param firstMillis time until the first event of a stream in milliseconds; negative if there was none
     * @param totalMillis time until the end of the response in milliseconds
     */
    void recordResponse(
            Optional<ClientAccount> account, String service, int status, double firstMillis, double totalMillis) {
        registry.counter("gateway.answers;status=" + status).inc();
        String accountName =
                account.map(holder -> labelValue(holder.id().value())).orElse(NO_ACCOUNT);
        String serviceName = labelValue(service);
        if (firstMillis >= 0) {
            histogram("gateway.first_ms;account=" + accountName + ";service=" + serviceName)
                    .update((long) firstMillis);
        }
        histogram("gateway.total_ms;account=" + accountName + ";service=" + serviceName)
                .update((long) totalMillis);
    }

    /** Returns a name without the character that separates labels in the names of metrics. */
    private static String labelValue(String name) {
        return name.replace(';', '_');
    }

    private Histogram histogram(String name) {
        return histogramsByName.computeIfAbsent(
                name, key -> registry.histogram(key, () -> new Histogram(new UniformReservoir())));
    }
}
