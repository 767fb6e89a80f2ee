package io.endiveshed.standins;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.id.Revision;
import io.endiveshed.coordination.cell.AtomicValue;
import io.endiveshed.coordination.config.ActiveConfiguration;
import io.endiveshed.coordination.config.Configuration;
import io.endiveshed.coordination.config.ConfigurationController;
import io.endiveshed.coordination.config.ConfigurationExchange;
import io.endiveshed.net.platform.StoreBudget;
import io.endiveshed.net.platform.StoreUse;
import io.endiveshed.ports.platform.ObjectStore;
import java.util.Random;

/** Configuration handling of an entry daemon or a sidecar in virtual time, built from the production classes. */
public final class VirtualConfigurationProcess {
    private final AtomicValue<Configuration> configuration = new AtomicValue<>(Configuration.NONE);
    private final MetricRegistry metrics = new MetricRegistry();
    private final ActiveConfiguration active = new ActiveConfiguration(configuration, metrics);
    private final ConfigurationExchange exchange;
    private final ConfigurationController controller;

    /** Creates a process, which makes no call to the store before {@link #start}. */
    public VirtualConfigurationProcess(VirtualScheduler time, ObjectStore store, long seed) {
        Random random = new Random(seed);
        StoreBudget budget =
                new StoreBudget(time, random, metrics, StoreBudget.DEFAULT_RATE, StoreBudget.DEFAULT_BURST);
        this.exchange = new ConfigurationExchange(time, active, metrics);
        this.controller =
                new ConfigurationController(time, budget.store(store, StoreUse.CONFIGURATION), active, random, metrics);
    }

    /** Starts following the configuration in the store, as entry daemons do. */
    public void start() {
        controller.start();
    }

    /** Stops following the configuration in the store. */
    public void stop() {
        controller.stop();
    }

    /** Returns the revision of the active configuration. */
    public Revision revision() {
        return configuration.read().revision();
    }

    /** Returns the active configuration. */
    public Configuration configuration() {
        return configuration.read();
    }

    /** Returns the holder of the active configuration, by which a test can activate another one. */
    public ActiveConfiguration activeConfiguration() {
        return active;
    }

    /** Returns the exchange of configurations with peers. */
    public ConfigurationExchange exchange() {
        return exchange;
    }

    /** Returns the value of the counter with the given metric name. */
    public long counter(String metric) {
        return metrics.counter(metric).getCount();
    }
}
