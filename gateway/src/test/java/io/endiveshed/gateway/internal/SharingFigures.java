package io.endiveshed.gateway.internal;

import java.util.List;

/** Prints calls to the store, ages and delays with and without sharing; run by hand. */
final class SharingFigures {
    private static final List<String> DAYS = List.of(
            "quiet",
            "a target change a second",
            "a desired state every 80 ms",
            "start of all after a power loss",
            "outage",
            "after an outage of 8 s",
            "readers frozen",
            "readers killed",
            "readers cut off from the store",
            "readers cut off from peers");
    private static final int SECONDS = 20;

    private SharingFigures() {}

    public static void main(String[] args) {
        System.out.println("| day | entries | calls/s for each entry old | new | bytes/s from each entry new"
                + " | oldest desired state ms old | new | latest change ms old | new |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (String day : DAYS) {
            for (int entries : new int[] {5, 28, 43, 100}) {
                SharingSimulation before = play(day, entries, false);
                SharingSimulation now = play(day, entries, true);
                System.out.printf(
                        "| %s | %d | %.2f | %.2f | %.0f | %d | %d | %d | %d |%n",
                        day,
                        entries,
                        before.calls / (double) SECONDS / entries,
                        now.calls / (double) SECONDS / entries,
                        now.datagramBytes / (double) SECONDS / entries,
                        before.maxAgeMillis(SharingSimulation.CATALOG),
                        now.maxAgeMillis(SharingSimulation.CATALOG),
                        before.maxDelayMillis(),
                        now.maxDelayMillis());
            }
        }
    }

    private static SharingSimulation play(String day, int entries, boolean isShared) {
        SharingSimulation simulation = new SharingSimulation(entries, isShared, 1);
        simulation.stores.get(SharingSimulation.CATALOG).put("main");
        for (int i = 0; i < 50; i++) {
            simulation.stores.get(SharingSimulation.TARGETS).put("target-" + i);
        }
        simulation.run(10_000);
        if (day.startsWith("start")) {
            simulation.entries.forEach(entry -> entry.isKilled = true);
            simulation.run(3_000);
            simulation.entries.forEach(SharingSimulation.Entry::start);
        } else if (day.equals("outage") || day.startsWith("after")) {
            simulation.isStoreDown = true;
        }
        if (day.startsWith("after")) {
            simulation.run(8_000);
            simulation.isStoreDown = false;
        }
        simulation.resetCounts();
        if (day.startsWith("readers")) {
            List<SharingSimulation.Entry> readers = simulation.entries.stream()
                    .filter(SharingSimulation.Entry::isReader)
                    .toList();
            readers.forEach(reader -> disturb(day, reader));
        }
        boolean areTargetsChanging = day.startsWith("a target") || day.startsWith("readers");
        for (int millis = 0; millis < SECONDS * 1_000; millis += 80) {
            if (areTargetsChanging && millis % 1_000 < 80) {
                simulation.stores.get(SharingSimulation.TARGETS).put("target-" + simulation.random.nextInt(50));
            }
            if (day.startsWith("a desired")) {
                simulation.stores.get(SharingSimulation.CATALOG).put("main");
            }
            simulation.run(80);
        }
        return simulation;
    }

    private static void disturb(String day, SharingSimulation.Entry reader) {
        switch (day) {
            case "readers frozen" -> reader.freeze(60_000);
            case "readers killed" -> reader.isKilled = true;
            case "readers cut off from the store" -> reader.isCut = true;
            default -> reader.group = 1;
        }
    }
}
