package io.endiveshed.bench.placement;

import java.util.List;

/**
 * What callers got in one run.
 *
 * @param value weight of what was on time and a quarter of what was late, as a share of the weight of all requests
 * @param shortOnTime share of the short prompts that were on time
 * @param mediumOnTime share of the medium prompts that were on time
 * @param longOnTime share of the long prompts that were on time
 * @param refused share of all requests that were refused
 */
record PlacementResult(double value, double shortOnTime, double mediumOnTime, double longOnTime, double refused) {
    /** Returns the mean of some runs. */
    static PlacementResult mean(List<PlacementResult> results) {
        return new PlacementResult(
                results.stream().mapToDouble(PlacementResult::value).average().orElse(0),
                results.stream()
                        .mapToDouble(PlacementResult::shortOnTime)
                        .average()
                        .orElse(0),
                results.stream()
                        .mapToDouble(PlacementResult::mediumOnTime)
                        .average()
                        .orElse(0),
                results.stream()
                        .mapToDouble(PlacementResult::longOnTime)
                        .average()
                        .orElse(0),
                results.stream().mapToDouble(PlacementResult::refused).average().orElse(0));
    }
}
