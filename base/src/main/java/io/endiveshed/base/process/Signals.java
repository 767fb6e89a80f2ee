package io.endiveshed.base.process;

import java.lang.reflect.Proxy;

/** Registers handlers of operating system signals. */
final class Signals {
    private Signals() {}

    /**
     * Runs the action on each signal of the given name, such as {@code TERM}. Uses reflection, because the compiler
     * warns about direct use of {@code sun.misc.Signal} and the build treats warnings as errors.
     */
    static void handle(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot handle SIG" + name + "; run a JDK with module jdk.unsupported", e);
        }
    }
}
