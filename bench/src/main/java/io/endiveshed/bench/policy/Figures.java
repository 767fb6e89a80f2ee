package io.endiveshed.bench.policy;

import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.coordination.cost.LengthBand;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/** Figures of one run, over the requests that arrived after the warm-up. */
final class Figures {
    private static final long FIRST_TOKEN_TARGET = 1_600 * Units.MILLI;
    private static final long FIRST_TOKEN_IDLE = 800 * Units.MILLI;

    private final List<SimRequest> arrived;
    private final List<SimRequest> completed;
    private final double seconds;

    Figures(List<SimRequest> requests, long from, long to) {
        this.arrived = requests.stream()
                .filter(request -> request.arrivedNanos >= from)
                .filter(request -> request.end != SimRequest.End.TOO_LONG)
                .toList();
        this.completed = requests.stream()
                .filter(request -> request.end == SimRequest.End.COMPLETED)
                .filter(request -> request.finishedNanos >= from && request.finishedNanos < to)
                .toList();
        this.seconds = (double) (to - from) / Units.SECOND;
    }

    /** Returns a percentile of the time to first token of a band in seconds; late requests count until their end. */
    double firstToken(LengthBand band, double percentile) {
        return percentile(
                percentile, request -> request.band() == band, request -> firstTokenNanos(request) / Units.SECOND);
    }

    /** Returns a percentile of the time of short requests divided by the time on an idle engine. */
    double shortSlowdown(double percentile) {
        return percentile(
                percentile,
                request -> request.band() == LengthBand.SHORT,
                request -> (double) (request.finishedNanos - request.arrivedNanos) / request.idleNanos);
    }

    /** Returns a percentile of the time to first token of short requests divided by that on an idle engine. */
    double shortFirstTokenSlowdown(double percentile) {
        return percentile(
                percentile,
                request -> request.band() == LengthBand.SHORT,
                request -> firstTokenNanos(request) / request.idleFirstTokenNanos);
    }

    /** Returns the share of requests with an idle time to first token of 0.8 s whose first token came within 1.6 s. */
    double firstTokenInTime() {
        List<SimRequest> quick = arrived.stream()
                .filter(request -> request.idleFirstTokenNanos <= FIRST_TOKEN_IDLE)
                .toList();
        long inTime = quick.stream()
                .filter(request -> request.firstTokenNanos >= 0 && firstTokenNanos(request) <= FIRST_TOKEN_TARGET)
                .count();
        return (double) inTime / quick.size();
    }

    /** Returns requests per second that completed within their deadline. */
    double goodput() {
        return completed.size() / seconds;
    }

    /** Returns engine time per second of the requests that completed within their deadline. */
    double goodputWork() {
        return completed.stream().mapToDouble(request -> request.workNanos).sum() / Units.SECOND / seconds;
    }

    /** Returns the number of requests that ended in a way. */
    long count(SimRequest.End end) {
        return arrived.stream().filter(request -> request.end == end).count();
    }

    /** Returns the number of requests that arrived and that an engine can hold. */
    long arrivals() {
        return arrived.size();
    }

    /** Returns Jain's index of each account's completed work over its max-min fair share; 1 is fair. */
    double fairness() {
        Map<ClientAccountId, Double> demand = work(request -> true);
        Map<ClientAccountId, Double> served = work(request -> request.end == SimRequest.End.COMPLETED);
        double level =
                level(demand, served.values().stream().mapToDouble(w -> w).sum());
        double sum = 0;
        double squares = 0;
        for (Map.Entry<ClientAccountId, Double> each : demand.entrySet()) {
            double ratio = served.getOrDefault(each.getKey(), 0.0) / Math.min(level, each.getValue());
            sum += ratio;
            squares += ratio * ratio;
        }
        return sum * sum / (demand.size() * squares);
    }

    private Map<ClientAccountId, Double> work(Predicate<SimRequest> which) {
        return arrived.stream()
                .filter(which)
                .collect(Collectors.groupingBy(
                        request -> request.account,
                        TreeMap::new,
                        Collectors.summingDouble(request -> request.workNanos)));
    }

    private static double level(Map<ClientAccountId, Double> demand, double capacity) {
        double left = capacity;
        int accounts = demand.size();
        List<Double> ascending =
                demand.values().stream().sorted(Comparator.naturalOrder()).toList();
        for (double each : ascending) {
            if (each * accounts >= left) {
                return left / accounts;
            }
            left -= each;
            accounts--;
        }
        return Double.POSITIVE_INFINITY;
    }

    private double percentile(double percentile, Predicate<SimRequest> which, ToDoubleFunction<SimRequest> value) {
        double[] values = arrived.stream()
                .filter(request -> request.end == SimRequest.End.COMPLETED || request.end == SimRequest.End.LATE)
                .filter(which)
                .mapToDouble(value)
                .sorted()
                .toArray();
        if (values.length == 0) {
            return Double.NaN;
        }
        return values[(int) Math.min(values.length - 1, Math.ceil(percentile / 100 * values.length))];
    }

    private static double firstTokenNanos(SimRequest request) {
        long first = request.firstTokenNanos >= 0 ? request.firstTokenNanos : request.finishedNanos;
        return first - request.arrivedNanos;
    }
}
