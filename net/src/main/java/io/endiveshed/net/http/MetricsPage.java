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
 * Renders the metrics of a registry in the Prometheus text format.
 *
 * <p>A metric named {@code entry.wait;account=ferry;band=short} is rendered as
 * {@code endiveshed_entry_wait{account="ferry",band="short"}}. The text is cached for one second.
 */
public final class MetricsPage {
    private static final Duration MAX_AGE = Duration.ofSeconds(1);
    private static final String PREFIX = "endiveshed_";

    private final MetricRegistry registry;
    private String text;
    private long renderedAtNanos;

    /** Creates a page of the registry's metrics, including those registered later. */
    public MetricsPage(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns the rendered text, at most one second old. */
    public synchronized String text() {
        long now = System.nanoTime();
        if (text == null || now - renderedAtNanos > MAX_AGE.toNanos()) {
            text = render();
            renderedAtNanos = now;
        }
        return text;
    }

    private String render() {
        PageBuilder page = new PageBuilder();
        for (Map.Entry<String, Counter> counter : registry.getCounters().entrySet()) {
            PrometheusName name = PrometheusName.parse(counter.getKey());
            page.appendType(name, "counter");
            page.appendSample(name, "", List.of(), counter.getValue().getCount());
        }
        registry.getGauges().forEach((key, gauge) -> addGauge(page, PrometheusName.parse(key), gauge));
        for (Map.Entry<String, Histogram> histogram : registry.getHistograms().entrySet()) {
            addHistogram(page, PrometheusName.parse(histogram.getKey()), histogram.getValue());
        }
        return page.text.toString();
    }

    private static void addGauge(PageBuilder page, PrometheusName name, Gauge<?> gauge) {
        if (gauge.getValue() instanceof Number number) {
            page.appendType(name, "gauge");
            page.appendSample(name, "", List.of(), number);
        }
    }

    private static void addHistogram(PageBuilder page, PrometheusName name, Histogram histogram) {
        page.appendType(name, "summary");
        Snapshot snapshot = histogram.getSnapshot();
        for (double quantile : new double[] {0.5, 0.95, 0.99, 0.999}) {
            page.appendSample(name, "", List.of("quantile=\"" + quantile + "\""), snapshot.getValue(quantile));
        }
        page.appendSample(name, "_count", List.of(), histogram.getCount());
    }

    /** Builder of the text of the page. */
    private static final class PageBuilder {
        private final StringBuilder text = new StringBuilder();
        private String family = "";

        void appendType(PrometheusName name, String type) {
            if (!name.family().equals(family)) {
                family = name.family();
                text.append("# TYPE ").append(family).append(' ').append(type).append('\n');
            }
        }

        void appendSample(PrometheusName name, String suffix, List<String> extraLabels, Number value) {
            List<String> labels = new ArrayList<>(name.labels());
            labels.addAll(extraLabels);
            text.append(name.family()).append(suffix);
            if (!labels.isEmpty()) {
                text.append('{').append(String.join(",", labels)).append('}');
            }
            text.append(' ').append(value).append('\n');
        }
    }

    /** Prometheus name and labels of a metric. */
    private record PrometheusName(String family, List<String> labels) {
        static PrometheusName parse(String key) {
            int start = key.indexOf(';');
            String plain = start < 0 ? key : key.substring(0, start);
            List<String> labels = new ArrayList<>();
            for (int at = start; at >= 0; at = key.indexOf(';', at + 1)) {
                int end = key.indexOf(';', at + 1);
                labels.add(toLabel(key.substring(at + 1, end < 0 ? key.length() : end)));
            }
            return new PrometheusName(PREFIX + plain.replaceAll("[^a-zA-Z0-9_]", "_"), labels);
        }

        private static String toLabel(String pair) {
            int equals = pair.indexOf('=');
            String value = pair.substring(equals + 1).replace("\\", "\\\\").replace("\"", "\\\"");
            return pair.substring(0, equals) + "=\"" + value + "\"";
        }
    }
}
