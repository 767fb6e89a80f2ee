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
    static final String OTHERS = "_others";

    private final MetricRegistry registry;
    private final Map<String, Map<LengthBand, Band>> byAccount = new ConcurrentHashMap<>();
    private final AtomicInteger accounts = new AtomicInteger();

    /** Makes histograms in the registry, as {@code entry.<what>_micros;account=<id>;band=<band>}. */
    public CallLatencies(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns the histograms of an account and a prompt length. */
    Band band(ClientAccountId account, long promptTokens) {
        Map<LengthBand, Band> bands = byAccount.get(account.value());
        if (bands == null) {
            String owner = accounts.get() < MAX_ACCOUNTS ? account.value() : OTHERS;
            bands = byAccount.computeIfAbsent(owner, this::bands);
        }
        return bands.get(LengthBand.of(promptTokens));
    }

    private Map<LengthBand, Band> bands(String owner) {
        if (!owner.equals(OTHERS)) {
            accounts.incrementAndGet();
        }
        Map<LengthBand, Band> bands = new EnumMap<>(LengthBand.class);
        for (LengthBand band : LengthBand.values()) {
            String labels = ";account=" + owner + ";band=" + band.label();
            bands.put(
                    band,
                    new Band(
                            histogram("entry.first_token_micros" + labels),
                            histogram("entry.total_micros" + labels),
                            histogram("entry.queue_micros" + labels)));
        }
        return bands;
    }

    private Histogram histogram(String name) {
        return registry.histogram(name, () -> new Histogram(new HdrHistogramReservoir()));
    }

    /**
     * Histograms of one account and band.
     *
     * @param firstToken time from the request to the first byte of the answer
     * @param total time from the request to the end of a whole answer
     * @param queue time in the queue of the sidecar
     */
    record Band(Histogram firstToken, Histogram total, Histogram queue) {}
}
