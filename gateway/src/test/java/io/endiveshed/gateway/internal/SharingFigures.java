package io.endiveshed.gateway.internal;

/** Prints calls to the store, ages and delays with and without sharing; run by hand. */
final class SharingFigures {
    private static final String[] DAYS = {"quiet", "targets", "states", "power", "outage", "after"};

    private SharingFigures() {}

    public static void main(String[] args) {
        System.out.println("| day | entries | calls/s old | new | bytes/s and entry | max age ms of the state old | new"
                + " | max delay ms of a change old | new |");
        for (String day : DAYS) {
            for (int entries : new int[] {5, 28, 43, 100}) {
                SharingSimulation before = play(day, entries, false);
                SharingSimulation now = play(day, entries, true);
                double seconds = seconds(day);
                System.out.printf(
                        "| %s | %d | %.2f | %.2f | %.0f | %d | %d | %d | %d |%n",
                        day,
                        entries,
                        before.calls / seconds / entries,
                        now.calls / seconds / entries,
                        now.datagramBytes / seconds / entries,
                        before.maxAgeMillis(0),
                        now.maxAgeMillis(0),
                        before.maxDelayMillis(),
                        now.maxDelayMillis());
            }
        }
    }

    private static int seconds(String day) {
        return day.equals("power") || day.equals("outage") || day.equals("after") ? 8 : 30;
    }

    private static SharingSimulation play(String day, int entries, boolean isShared) {
        SharingSimulation simulation = new SharingSimulation(entries, isShared, 1);
        simulation.stores.get(0).put("main");
        for (int i = 0; i < 50; i++) {
            simulation.stores.get(1).put("target-" + i);
        }
        simulation.run(10_000);
        if (day.equals("power")) {
            simulation.entries.forEach(entry -> entry.isKilled = true);
            simulation.run(3_000);
            simulation.entries.forEach(SharingSimulation.Entry::start);
        }
        if (day.equals("outage") || day.equals("after")) {
            simulation.isStoreDown = true;
        }
        if (day.equals("after")) {
            simulation.run(8_000);
            simulation.isStoreDown = false;
        }
        simulation.resetCounts();
        for (int millis = 0; millis < seconds(day) * 1_000; millis += 80) {
            if (day.equals("targets") && millis % 1_000 < 80) {
                simulation.stores.get(1).put("target-" + simulation.random.nextInt(50));
            }
            if (day.equals("states")) {
                simulation.stores.get(0).put("main");
            }
            simulation.run(80);
        }
        return simulation;
    }
}
