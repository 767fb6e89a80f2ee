package io.endiveshed.bench.policy;

import io.endiveshed.coordination.cost.LengthBand;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Prints the figures of policies and scenarios as a Markdown table. Usage: {@code PolicyHarness [runners [seed
 * [policies [scenarios]]]]}, with comma-separated names or {@code all}.
 */
public final class PolicyHarness {
    private static final int RUNNERS = 20;
    private static final int SECONDS = 240;
    private static final long SEED = 42;

    private PolicyHarness() {}

    /** Runs what the arguments select; by default all policies and scenarios with 20 runners and seed 42. */
    public static void main(String[] arguments) {
        int runners = arguments.length > 0 ? Integer.parseInt(arguments[0]) : RUNNERS;
        long seed = arguments.length > 1 ? Long.parseLong(arguments[1]) : SEED;
        System.out.println(header());
        for (Scenario scenario : scenarios(arguments)) {
            for (Policy policy : policies(arguments)) {
                System.out.println(row(scenario, policy, new World(policy, scenario, runners, SECONDS, seed).run()));
            }
        }
    }

    private static List<Policy> policies(String[] arguments) {
        if (arguments.length <= 2 || arguments[2].equals("all")) {
            return List.of(Policy.values());
        }
        return Arrays.stream(arguments[2].split(",", -1))
                .map(name -> Policy.valueOf(name.toUpperCase(Locale.ROOT)))
                .toList();
    }

    private static List<Scenario> scenarios(String[] arguments) {
        if (arguments.length <= 3 || arguments[3].equals("all")) {
            return List.of(Scenario.ALL);
        }
        return Arrays.stream(arguments[3].split(",", -1)).map(Scenario::named).toList();
    }

    private static String header() {
        List<String> names = new ArrayList<>(List.of("scenario", "policy"));
        for (LengthBand band : LengthBand.values()) {
            names.add(name(band) + " first token s");
        }
        names.addAll(List.of(
                "short slowdown",
                "short first-token slowdown",
                "in 1.6 s %",
                "goodput /s",
                "goodput work",
                "fairness",
                "refused %",
                "late %",
                "failed %"));
        return "| " + String.join(" | ", names) + " |\n|" + " --- |".repeat(names.size());
    }

    private static String row(Scenario scenario, Policy policy, Figures figures) {
        List<String> cells = new ArrayList<>(List.of(scenario.name(), name(policy)));
        for (LengthBand band : LengthBand.values()) {
            cells.add(three(figures.firstToken(band, 50), figures.firstToken(band, 95), figures.firstToken(band, 99)));
        }
        cells.add(three(figures.shortSlowdown(50), figures.shortSlowdown(95), figures.shortSlowdown(99)));
        cells.add(three(
                figures.shortFirstTokenSlowdown(50),
                figures.shortFirstTokenSlowdown(95),
                figures.shortFirstTokenSlowdown(99)));
        cells.add(format("%.1f", 100 * figures.firstTokenInTime()));
        cells.add(format("%.1f", figures.goodput()));
        cells.add(format("%.2f", figures.goodputWork()));
        cells.add(format("%.3f", figures.fairness()));
        cells.add(percent(figures, SimRequest.End.REFUSED));
        cells.add(percent(figures, SimRequest.End.LATE));
        cells.add(percent(figures, SimRequest.End.FAILED));
        return "| " + String.join(" | ", cells) + " |";
    }

    private static String percent(Figures figures, SimRequest.End end) {
        return format("%.2f", 100.0 * figures.count(end) / figures.arrivals());
    }

    private static String three(double median, double high, double highest) {
        return format("%.2f", median) + " / " + format("%.2f", high) + " / " + format("%.2f", highest);
    }

    private static String format(String pattern, double value) {
        return String.format(Locale.ROOT, pattern, value);
    }

    private static String name(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
