package io.endiveshed.entry;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.id.Incarnation;
import io.endiveshed.base.time.ExecutorScheduler;
import io.endiveshed.coordination.blackboard.Blackboard;
import io.endiveshed.coordination.config.ActiveConfiguration;
import io.endiveshed.coordination.config.ConfigurationExchange;
import io.endiveshed.coordination.routing.LeastOutstandingSelector;
import io.endiveshed.entry.internal.CallerApi;
import io.endiveshed.entry.internal.Dispatcher;
import io.endiveshed.entry.internal.PlatformAgent;
import io.endiveshed.entry.internal.SidecarLinks;
import io.endiveshed.net.http.HttpServer;
import io.endiveshed.net.link.LinkServer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Entry daemon.
 *
 * <pre>{@code
 * EntryDaemon entry = new EntryDaemon(settings, blackboard);
 * entry.start();
 * ...
 * entry.stop();
 * }</pre>
 */
public final class EntryDaemon {
    /** Threads that parse long bodies, so that event loops stay free for short requests. */
    private static final int PARSER_THREADS = 2;

    /** Long bodies that may wait to be parsed; more are refused. */
    private static final int PARSER_QUEUE = 64;

    private final EntrySettings settings;
    private final EventLoopGroup loops;
    private final ThreadPoolExecutor parsers;
    private final HttpServer callers;
    private final LinkServer links;
    private final Optional<PlatformAgent> platform;

    /** Makes a daemon that reads the configuration from the blackboard and writes the fleet to it. */
    public EntryDaemon(EntrySettings settings, Blackboard blackboard) {
        this.settings = settings;
        SecureRandom random = new SecureRandom();
        this.loops = new MultiThreadIoEventLoopGroup(NioIoHandler.newFactory());
        this.parsers = new ThreadPoolExecutor(
                PARSER_THREADS, PARSER_THREADS, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(PARSER_QUEUE));
        Incarnation incarnation = Incarnation.random(random);
        SidecarLinks sidecars = new SidecarLinks(settings, incarnation, random, blackboard);
        MetricRegistry metrics = new MetricRegistry();
        ActiveConfiguration active = new ActiveConfiguration(blackboard.configuration(), metrics);
        ConfigurationExchange exchange = new ConfigurationExchange(new ExecutorScheduler(loops), active, metrics);
        sidecars.configuration(exchange);
        this.platform = settings.platformAddress()
                .map(address ->
                        new PlatformAgent(settings, address, incarnation, loops, blackboard, active, random, metrics));
        Dispatcher dispatcher = new Dispatcher(
                sidecars, blackboard, new LeastOutstandingSelector(sidecars::outstanding), random, loops);
        sidecars.callMessages(dispatcher);
        CallerApi api = new CallerApi(blackboard, dispatcher, parsers);
        this.callers = new HttpServer(loops, settings.callerAddress(), settings.limits(), api);
        this.links = new LinkServer(loops, settings.linkAddress(), sidecars);
    }

    /** Starts to accept links and callers. */
    public void start() {
        links.start();
        callers.start();
        platform.ifPresent(PlatformAgent::start);
        Logger.info(
                "entry {} started: callers on port {}, links on port {}",
                settings.instance(),
                callerPort(),
                linkPort());
    }

    /** Returns the port on which callers are answered. */
    public int callerPort() {
        return callers.port();
    }

    /** Returns the port to which sidecars open links. */
    public int linkPort() {
        return links.port();
    }

    /** Stops accepting and closes every connection. */
    public void stop() {
        platform.ifPresent(PlatformAgent::stop);
        callers.stop();
        links.stop();
        loops.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        parsers.shutdown();
        Logger.info("entry {} stopped", settings.instance());
    }
}
