package io.endiveshed.gateway;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.gateway.internal.GatewayComponents;
import io.endiveshed.gateway.internal.StatusServer;
import io.endiveshed.net.http.HttpServer;
import io.netty.channel.EventLoopGroup;
import java.util.function.Function;

/**
 * Entry that forwards HTTP requests directly to targets, according to the desired state and the list of targets in the
 * platform's store.
 *
 * <pre>{@code
 * Gateway gateway = new Gateway(settings, dialect, loops -> connect(loops), EventLog.to(System.out));
 * gateway.start();
 * signal.await();
 * gateway.stop();
 * }</pre>
 */
public final class Gateway {
    private final GatewaySettings settings;
    private final EventLog log;
    private final MetricRegistry registry = new MetricRegistry();
    private final GatewayComponents components;
    private final HttpServer callerServer;
    private final StatusServer statusServer;

    /**
     * Creates a gateway; {@link #start} makes it serve.
     *
     * @param settings settings of the gateway
     * @param dialect header fields of the platform
     * @param portsFactory creates the connections to the platform on the given event loops
     * @param log structured log; the gateway starts and stops it
     */
    public Gateway(
            GatewaySettings settings,
            RequestDialect dialect,
            Function<EventLoopGroup, PlatformPorts> portsFactory,
            EventLog log) {
        this.settings = settings;
        this.log = log;
        this.components = new GatewayComponents(settings, dialect, portsFactory, registry, log);
        this.callerServer = new HttpServer(
                components.loops(), settings.callers(), settings.clients(), components.forwarder(), registry);
        this.statusServer = new StatusServer(components.loops(), settings, components::isReady, registry);
    }

    /** Starts to listen and to follow the platform's store. */
    public void start() {
        log.start();
        log.change("process.start")
                .with("instance", settings.instance())
                .with("failure_domain", settings.domain())
                .with("regions", settings.regions().regions())
                .with("callers", settings.callers())
                .with("platform", settings.platform())
                .write();
        callerServer.start();
        statusServer.start();
        components.start();
    }

    /** Logs that the settings file was read again; changed settings take effect only after a restart. */
    public void logReload(GatewaySettings changed) {
        log.change("process.reload")
                .with("instance", settings.instance())
                .with("changed", !changed.equals(settings))
                .with("remedy", changed.equals(settings) ? "none" : "restart the process to use changed settings")
                .write();
    }

    /** Stops gracefully: refuses new callers, lets running requests finish within the grace period, and shuts down. */
    public void stop() throws InterruptedException {
        log.change("process.stop")
                .with("phase", "draining")
                .with("open", components.openRequestCount())
                .write();
        new GracefulStop(settings.bounds().stopGrace(), components, callerServer).run();
        log.change("process.stop")
                .with("phase", "ended")
                .with("open", components.openRequestCount())
                .with("lines_dropped", log.droppedLines())
                .write();
        callerServer.stop();
        callerServer.closeConnections();
        statusServer.stop();
        components.stop();
        log.stop();
    }
}
