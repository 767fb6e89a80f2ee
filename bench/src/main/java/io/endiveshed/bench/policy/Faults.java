package io.endiveshed.bench.policy;

import io.endiveshed.base.id.FailureDomain;
import java.util.List;

/** Injects the faults of the scenarios. */
final class Faults {
    private static final double GREY_SLOWNESS = 5;
    private static final long RESTART_TIME = 30 * Units.SECOND;
    private static final long FLAP_INTERVAL = 10 * Units.SECOND;
    private static final int FLAPS = 8;

    private Faults() {}

    static void inject(Scenario.Fault fault, World world) {
        FakeSidecar first = world.sidecars().get(0);
        switch (fault) {
            case NONE -> {}
            case RUNNER_DIES -> stop(world, first, false, RESTART_TIME);
            case GREY_RUNNER -> first.engine().slowness(GREY_SLOWNESS);
            case FLAPPING_RUNNER -> flap(world, first, FLAPS);
            case DOMAIN_LOST -> loseDomain(world);
            case ENTRY_REPLACED -> world.replaceEntry(0);
        }
    }

    private static void stop(World world, FakeSidecar sidecar, boolean cutOff, long restartNanos) {
        world.stopRunner(sidecar, cutOff);
        world.loop().after(restartNanos, () -> world.restartRunner(sidecar));
    }

    private static void flap(World world, FakeSidecar sidecar, int left) {
        if (left == 0) {
            return;
        }
        stop(world, sidecar, false, Units.SECOND);
        world.loop().after(FLAP_INTERVAL, () -> {
            List<FakeSidecar> all = world.sidecars();
            FakeSidecar latest = all.get(all.size() - 1);
            flap(world, latest, left - 1);
        });
    }

    private static void loseDomain(World world) {
        FailureDomain lost = World.domain(1);
        for (FakeSidecar sidecar : world.sidecars()) {
            if (sidecar.domain().equals(lost)) {
                stop(world, sidecar, true, RESTART_TIME);
            }
        }
        world.replaceEntry(1);
    }
}
