package io.endiveshed.base.process;

/** Runs an action on each SIGHUP, by which operators tell that the settings have changed. */
public final class ReloadSignal {
    private ReloadSignal() {}

    /** Takes over the signal, which would end the process otherwise. */
    public static void install(Runnable action) {
        Signals.handle("HUP", action);
    }
}
