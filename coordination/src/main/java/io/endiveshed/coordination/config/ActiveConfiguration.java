package io.endiveshed.coordination.config;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.id.Revision;
import io.endiveshed.coordination.cell.AtomicValue;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * The configuration in effect in this process. Its revision only grows, whatever the store or a peer says. Safe for use
 * by several threads.
 */
public final class ActiveConfiguration {
    /** Earlier contents that are kept, so that peers which are a little behind get only the change. */
    private static final int HISTORY = 8;

    private final AtomicValue<Configuration> cell;
    private final MetricRegistry metrics;
    private final List<Consumer<Revision>> listeners = new CopyOnWriteArrayList<>();
    private final TreeMap<Revision, ConfigurationContent> contents = new TreeMap<>();

    /** Makes the only writer of the cell; an embedder may set the cell once before, without this class. */
    public ActiveConfiguration(AtomicValue<Configuration> cell, MetricRegistry metrics) {
        this.cell = cell;
        this.metrics = metrics;
        contents.put(Revision.NONE, ConfigurationContent.EMPTY);
    }

    /** Returns the revision in effect. */
    public Revision revision() {
        return cell.read().revision();
    }

    /** Adds an action that runs after each activation, on the thread that activated. */
    public void addActivationListener(Consumer<Revision> listener) {
        listeners.add(listener);
    }

    /**
     * Puts a content into effect if its revision is newer; returns whether it did. A content that cannot be read is
     * counted and ignored.
     */
    public boolean activate(Revision revision, ConfigurationContent content) {
        if (!replace(revision, content)) {
            return false;
        }
        metrics.counter("configuration.activated").inc();
        Logger.info("configuration revision {} is in effect", revision);
        listeners.forEach(listener -> listener.accept(revision));
        return true;
    }

    /** Returns the content in effect. */
    synchronized ConfigurationContent content() {
        Configuration current = cell.read();
        return contents.computeIfAbsent(current.revision(), ignored -> ConfigurationContent.of(current));
    }

    /** Returns the content of a revision, if it is in effect or among the last ones that were. */
    synchronized Optional<ConfigurationContent> content(Revision revision) {
        return Optional.ofNullable(contents.get(revision));
    }

    private synchronized boolean replace(Revision revision, ConfigurationContent content) {
        if (!revision.isAfter(revision())) {
            if (revision().isAfter(revision)) {
                metrics.counter("configuration.older_ignored").inc();
            }
            return false;
        }
        try {
            Configuration earlier = cell.read();
            Configuration configuration = content.toConfiguration(revision, content(), earlier);
            contents.put(revision, content);
            cell.update(current -> revision.isAfter(current.revision()) ? configuration : current);
        } catch (RuntimeException e) {
            metrics.counter("configuration.unreadable").inc();
            Logger.error("configuration revision {} cannot be read and is not used: {}", revision, e.getMessage());
            return false;
        }
        while (contents.size() > HISTORY) {
            contents.remove(contents.higherKey(Revision.NONE));
        }
        return true;
    }
}
