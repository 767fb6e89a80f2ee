package io.endiveshed.cli.internal;

import io.endiveshed.entry.EntryStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What the status command prints.
 *
 * @param lines lines of text
 * @param isHealthy whether no entry has a problem
 */
record StatusReport(List<String> lines, boolean isHealthy) {
    /** Age from which a report counts as missing: two reports of the longest interval. */
    private static final Duration SILENT = Duration.ofMinutes(4);

    /** Age from which an entry is taken to have been replaced; its object stays in the store. */
    private static final Duration REPLACED = Duration.ofDays(1);

    private static final String FORMAT = "%-24s %-16s %9s %8s %8s  %s";

    static StatusReport of(long revision, List<EntryStatus> entries, long nowMillis) {
        List<Row> rows = entries.stream()
                .map(entry -> new Row(entry, Duration.ofMillis(nowMillis - entry.writtenAtMillis()), revision))
                .filter(row -> row.age.compareTo(REPLACED) < 0)
                .sorted(Comparator.comparing((Row row) -> row.problem().isEmpty())
                        .thenComparing(row -> row.entry.instance()))
                .toList();
        long wrong = rows.stream().filter(row -> !row.problem().isEmpty()).count();
        List<String> lines = new ArrayList<>();
        lines.add(revision == 0 ? "no configuration was applied yet" : "current revision: " + revision);
        lines.add(rows.size() + " entries, " + (wrong == 0 ? "nothing is wrong" : wrong + " with a problem"));
        if (!rows.isEmpty()) {
            lines.add(String.format(FORMAT, "ENTRY", "FAILURE DOMAIN", "REVISION", "TARGETS", "REPORT", "PROBLEM"));
        }
        rows.forEach(row -> lines.add(row.line()));
        return new StatusReport(lines, wrong == 0 && revision > 0);
    }

    private record Row(EntryStatus entry, Duration age, long current) {
        String problem() {
            if (age.compareTo(SILENT) > 0) {
                return "no report; the instance has failed or cannot reach the platform";
            }
            if (!entry.followsStore()) {
                return "cannot read the configuration from the platform; uses that of its sidecars";
            }
            if (entry.revision() < current) {
                return "behind; normal for a minute after an apply";
            }
            return entry.targets() == 0 ? "no target is linked" : "";
        }

        String line() {
            return String.format(
                            FORMAT,
                            entry.instance(),
                            entry.failureDomain(),
                            entry.revision(),
                            entry.targets(),
                            age.toSeconds() + "s",
                            problem())
                    .stripTrailing();
        }
    }
}
