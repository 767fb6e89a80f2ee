package io.endiveshed.net.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The metrics of a registry in the text form of Prometheus.
 *
 * <p>A metric named {@code entry.wait;account=ferry;band=short} is shown as
 * {@code endiveshed_entry_wait{account="ferry",band="short"}}. The text is made at most once in a second, whoever asks.
 */
public final class MetricsPage {
    private static final Duration MAX_AGE = Duration.ofSeconds(1);
    private static final String PREFIX = "endiveshed_";

    private final MetricRegistry registry;
    private String text;
    private long madeNanos;

    /** Makes a page of the metrics that the registry has when it is read. */
    public MetricsPage(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns the text. */
    public synchronized String text() {
        long now = System.nanoTime();
        if (text == null || now - madeNanos > MAX_AGE.toNanos()) {
            text = make();
            madeNanos = now;
        }
        return text;
    }

    private String make() {
        Page page = new Page();
        for (Map.Entry<String, Counter> counter : registry.getCounters().entrySet()) {
            Name name = Name.of(counter.getKey());
            page.type(name, "counter");
            page.line(name, "", List.of(), counter.getValue().getCount());
        }
        registry.getGauges().forEach((key, gauge) -> addGauge(page, Name.of(key), gauge));
        for (Map.Entry<String, Histogram> histogram : registry.getHistograms().entrySet()) {
            addHistogram(page, Name.of(histogram.getKey()), histogram.getValue());
        }
        return page.out.toString();
    }

    private static void addGauge(Page page, Name name, Gauge<?> gauge) {
        if (gauge.getValue() instanceof Number number) {
            page.type(name, "gauge");
            page.line(name, "", List.of(), number);
        }
    }

    private static void addHistogram(Page page, Name name, Histogram histogram) {
        page.type(name, "summary");
        Snapshot snapshot = histogram.getSnapshot();
        for (double quantile : new double[] {0.5, 0.95, 0.99, 0.999}) {
            page.line(name, "", List.of("quantile=\"" + quantile + "\""), snapshot.getValue(quantile));
        }
        page.line(name, "_count", List.of(), histogram.getCount());
    }

    /** The text under construction. */
    private static final class Page {
        private final StringBuilder out = new StringBuilder();
        private String family = "";

        void type(Name name, String type) {
            if (!name.family().equals(family)) {
                family = name.family();
                out.append("# TYPE ").append(family).append(' ').append(type).append('\n');
            }
        }

        void line(Name name, String suffix, List<String> moreLabels, Number value) {
            List<String> labels = new ArrayList<>(name.labels());
            labels.addAll(moreLabels);
            out.append(name.family()).append(suffix);
            if (!labels.isEmpty()) {
                out.append('{').append(String.join(",", labels)).append('}');
            }
            out.append(' ').append(value).append('\n');
        }
    }

    /** A metric's name in the form of Prometheus. */
    private record Name(String family, List<String> labels) {
        static Name of(String key) {
            int start = key.indexOf(';');
            String plain = start < 0 ? key : key.substring(0, start);
            List<String> labels = new ArrayList<>();
            for (int at = start; at >= 0; at = key.indexOf(';', at + 1)) {
                int end = key.indexOf(';', at + 1);
                labels.add(label(key.substring(at + 1, end < 0 ? key.length() : end)));
            }
            return new Name(PREFIX + plain.replaceAll("[^a-zA-Z0-9_]", "_"), labels);
        }

        private static String label(String pair) {
            int equals = pair.indexOf('=');
            String value = pair.substring(equals + 1).replace("\\", "\\\\").replace("\"", "\\\"");
            return pair.substring(0, equals) + "=\"" + value + "\"";
        }
    }
}
