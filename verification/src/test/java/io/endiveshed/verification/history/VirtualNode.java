package io.endiveshed.verification.history;

import io.endiveshed.base.time.Scheduler;
import io.endiveshed.net.link.Link;
import io.endiveshed.net.link.LinkListener;
import io.endiveshed.ports.platform.ObjectStore;
import io.endiveshed.protocol.Message;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;

/** A process in virtual time that can be killed and paused: timers, links and replies reach it only while it runs. */
final class VirtualNode {
    private final VirtualTime time;
    private final FaultyNetwork network;
    private final Deque<Runnable> held = new ArrayDeque<>();
    private final List<LinkListener> listeners = new ArrayList<>();
    private final List<Future<?>> periodic = new ArrayList<>();
    private boolean dead;
    private boolean paused;

    VirtualNode(VirtualTime time, FaultyNetwork network) {
        this.time = time;
        this.network = network;
    }

    boolean isAlive() {
        return !dead;
    }

    /** Ends the process; its links break and nothing reaches it any more. */
    void kill() {
        dead = true;
        held.clear();
        listeners.forEach(network::breakAll);
        periodic.forEach(future -> future.cancel(false));
    }

    /** Holds back everything that would reach the process until the time is over. */
    void pause(Duration duration) {
        paused = true;
        time.schedule(duration, this::resume);
    }

    /** Runs a task in the process. */
    void deliver(Runnable task) {
        if (paused) {
            held.add(task);
        } else if (!dead) {
            task.run();
        }
    }

    /** Returns the listener as the network sees it. */
    LinkListener guard(LinkListener listener) {
        LinkListener guarded = new GuardedListener(listener);
        listeners.add(guarded);
        return guarded;
    }

    /** Returns timers that stand still while the process is paused and end with it. */
    ScheduledExecutorService timers() {
        return (ScheduledExecutorService) Proxy.newProxyInstance(
                VirtualNode.class.getClassLoader(),
                new Class<?>[] {ScheduledExecutorService.class},
                (proxy, method, arguments) -> {
                    Runnable task = (Runnable) arguments[0];
                    arguments[0] = (Runnable) () -> deliver(task);
                    Object result = invoke(method, time, arguments);
                    if (method.getName().startsWith("scheduleAt")
                            || method.getName().startsWith("scheduleWith")) {
                        periodic.add((Future<?>) result);
                    }
                    return result;
                });
    }

    /** Returns the timers in the form that the coordination library uses. */
    Scheduler scheduler() {
        return new Scheduler() {
            @Override
            public void schedule(Duration delay, Runnable action) {
                time.schedule(delay, () -> deliver(action));
            }

            @Override
            public long nanoTime() {
                return time.nanoTime();
            }
        };
    }

    /** Returns the store as this process sees it: its calls take effect after a kill, but no reply arrives. */
    ObjectStore guard(ObjectStore store) {
        return (ObjectStore) Proxy.newProxyInstance(
                VirtualNode.class.getClassLoader(), new Class<?>[] {ObjectStore.class}, (proxy, method, arguments) -> {
                    CompletableFuture<Object> reply = new CompletableFuture<>();
                    ((CompletionStage<?>) invoke(method, store, arguments))
                            .thenAccept(result -> deliver(() -> reply.complete(result)));
                    return reply;
                });
    }

    private static Object invoke(java.lang.reflect.Method method, Object receiver, Object[] arguments)
            throws Throwable {
        try {
            return method.invoke(receiver, arguments);
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }

    private void resume() {
        paused = false;
        while (!paused && !held.isEmpty()) {
            Runnable task = held.remove();
            if (!dead) {
                task.run();
            }
        }
    }

    private final class GuardedListener implements LinkListener {
        private final LinkListener listener;

        private GuardedListener(LinkListener listener) {
            this.listener = listener;
        }

        @Override
        public void opened(Link link) {
            deliver(() -> listener.opened(link));
        }

        @Override
        public void received(Link link, Message message) {
            deliver(() -> listener.received(link, message));
        }

        @Override
        public void closed(Link link) {
            deliver(() -> listener.closed(link));
        }
    }
}
