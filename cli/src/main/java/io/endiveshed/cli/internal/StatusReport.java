package io.endiveshed.cli.internal;

import io.endiveshed.entry.EntryStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Output of the status command.
 *
 * @param lines lines to print
 * @param isHealthy whether a configuration was applied and no entry daemon has a problem
 */
record StatusReport(List<String> lines, boolean isHealthy) {
    /** Maximum age of a report before it counts as missing: two reports at the longest interval. */
    private static final Duration MAX_REPORT_AGE = Duration.ofMinutes(4);

    /**
     * Age of a report from which an entry daemon counts as replaced and is not listed. The status object of a replaced
     * entry daemon stays in the store.
     */
    private static final Duration REPLACED_AGE = Duration.ofDays(1);

    private static final String ROW_FORMAT = "%-24s %-16s %9s %8s %8s  %s";

    /**
     * Returns the report on the given entry daemons, those with a problem first.
     *
     * @param revision current revision, or 0 if no configuration was applied yet
     * @param nowMillis time to which the ages of the reports refer, in milliseconds since the epoch
     */
    static StatusReport of(long revision, List<EntryStatus> entries, long nowMillis) {
        List<Row> rows = entries.stream()
                .map(entry -> new Row(entry, Duration.ofMillis(nowMillis - entry.writtenAtMillis()), revision))
                .filter(row -> row.age.compareTo(REPLACED_AGE) < 0)
                .sorted(Comparator.comparing((Row row) -> row.problem().isEmpty())
                        .thenComparing(row -> row.entry.instance()))
                .toList();
        long problemCount =
                rows.stream().filter(row -> !row.problem().isEmpty()).count();
        List<String> lines = new ArrayList<>();
        lines.add(revision == 0 ? "no configuration was applied yet" : "current revision: " + revision);
        lines.add(rows.size() + " entries, "
                + (problemCount == 0 ? "nothing is wrong" : problemCount + " with a problem"));
        if (!rows.isEmpty()) {
            lines.add(String.format(ROW_FORMAT, "ENTRY", "FAILURE DOMAIN", "REVISION", "TARGETS", "REPORT", "PROBLEM"));
        }
        rows.forEach(row -> lines.add(row.line()));
        return new StatusReport(lines, problemCount == 0 && revision > 0);
    }

    private record Row(EntryStatus entry, Duration age, long currentRevision) {
        /** Returns the problem of the entry daemon, or an empty string if it has none. */
        String problem() {
            if (age.compareTo(MAX_REPORT_AGE) > 0) {
                return "no report; the instance has failed or cannot reach the platform";
            }
            if (!entry.followsStore()) {
                return "cannot read the configuration from the platform; uses that of its sidecars";
            }
            if (entry.revision() < currentRevision) {
                return "behind; normal for a minute after an apply";
            }
            return entry.targets() == 0 ? "no target is linked" : "";
        }

        String line() {
            return String.format(
                            ROW_FORMAT,
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
