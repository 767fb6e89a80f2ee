package io.endiveshed.base.process;

/** Runs an action on each SIGHUP, which operators send after they have changed the settings. */
public final class ReloadSignal {
    private ReloadSignal() {}

    /** Installs the handler of SIGHUP; without one, the signal ends the process. */
    public static void install(Runnable action) {
        Signals.handle("HUP", action);
    }
}
