package io.endiveshed.entry.internal;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.id.ClientAccountId;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramReservoir;

/** Histograms of the time of calls, by client account and length band, in microseconds. */
public final class CallLatencies {
    /** Most accounts with histograms of their own; the others share one set, so that memory stays bounded. */
    static final int MAX_ACCOUNTS = 64;

    /** Account label of the shared set. No account can have this name, because names have no underscore first. */
    static final String OTHER_ACCOUNTS = "_others";

    private final MetricRegistry registry;
    private final Map<String, Map<LengthBand, Histograms>> histogramsByAccount = new ConcurrentHashMap<>();
    private final AtomicInteger accountCount = new AtomicInteger();

    /** Makes histograms in the registry, as {@code entry.<what>_micros;account=<id>;band=<band>}. */
    public CallLatencies(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns the histograms of an account and a prompt length. */
    Histograms histograms(ClientAccountId account, long promptTokens) {
        Map<LengthBand, Histograms> histogramsByBand = histogramsByAccount.get(account.value());
        if (histogramsByBand == null) {
            String accountLabel = accountCount.get() < MAX_ACCOUNTS ? account.value() : OTHER_ACCOUNTS;
            histogramsByBand = histogramsByAccount.computeIfAbsent(accountLabel, this::createHistograms);
        }
        return histogramsByBand.get(LengthBand.of(promptTokens));
    }

    private Map<LengthBand, Histograms> createHistograms(String accountLabel) {
        if (!accountLabel.equals(OTHER_ACCOUNTS)) {
            accountCount.incrementAndGet();
        }
        Map<LengthBand, Histograms> histogramsByBand = new EnumMap<>(LengthBand.class);
        for (LengthBand band : LengthBand.values()) {
            String labels = ";account=" + accountLabel + ";band=" + band.label();
            histogramsByBand.put(
                    band,
                    new Histograms(
                            registerHistogram("entry.first_token_micros" + labels),
                            registerHistogram("entry.total_micros" + labels),
                            registerHistogram("entry.queue_micros" + labels)));
        }
        return histogramsByBand;
    }

    private Histogram registerHistogram(String name) {
        return registry.histogram(name, () -> new Histogram(new HdrHistogramReservoir()));
    }

    /**
     * Histograms of one account and band.
     *
     * @param firstToken time from the request to the first byte of the answer
     * @param total time from the request to the end of a whole answer
     * @param queue time in the queue of the sidecar
     */
    record Histograms(Histogram firstToken, Histogram total, Histogram queue) {}
}
