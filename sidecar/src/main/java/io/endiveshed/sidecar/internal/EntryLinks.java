package io.endiveshed.sidecar.internal;

import io.endiveshed.coordination.membership.EntryCandidates;
import io.endiveshed.ports.platform.InstanceList;
import io.endiveshed.ports.platform.ListedInstance;
import io.endiveshed.sidecar.SidecarSettings;
import java.time.Duration;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Keeps links to the entries that the mesh wants. Methods are synchronized. */
public final class EntryLinks {
    /** Time without links after which an entry is replaced; longer than a reconnection after a lost connection. */
    private static final Duration UNREACHABLE = Duration.ofSeconds(2);

    /** Time without a call after which the links of an entry that is not wanted any more are closed. */
    private static final Duration SURPLUS_IDLE = Duration.ofSeconds(5);

    private static final long RECONCILE_INTERVAL_MILLIS = 250;

    /** Interval between reads of the platform's list; 12,000 sidecars make 200 reads/s of the platform's 2,000. */
    private static final long LIST_INTERVAL_SECONDS = 60;

    /** Interval between reads of the platform's list until one succeeded. */
    private static final long FIRST_LIST_INTERVAL_SECONDS = 2;

    private final LinkContext context;
    private final EntryCandidates mesh;
    private final InstanceList list;
    private final Map<Address, EntryPair> pairs = new LinkedHashMap<>();
    private Future<?> reconciliation;
    private boolean stopped;
    private boolean leaving;

    /** Makes the links of a sidecar; they open once started. */
    public EntryLinks(LinkContext context, EntryCandidates mesh, InstanceList list) {
        this.context = context;
        this.mesh = mesh;
        this.list = list;
    }

    /** Starts to connect. */
    public synchronized void start() {
        reconcile();
        reconciliation = context.timers()
                .scheduleAtFixedRate(
                        this::reconcile, RECONCILE_INTERVAL_MILLIS, RECONCILE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        readList();
    }

    /** Tells all entries that the target takes no new work; no further entries are linked. */
    public synchronized void announceLeaving(Duration grace) {
        leaving = true;
        pairs.values().forEach(pair -> pair.announceLeaving(grace.toMillis()));
    }

    /** Tells whether all linked entries know that the target leaves. */
    public synchronized boolean isLeavingKnown() {
        return pairs.values().stream().allMatch(EntryPair::isLeavingKnown);
    }

    /** Closes all links after the messages sent so far. */
    public synchronized void stop() {
        stopped = true;
        if (reconciliation != null) {
            reconciliation.cancel(false);
        }
        pairs.values().forEach(EntryPair::stop);
    }

    /** Tells whether all links are closed. */
    public synchronized boolean isClosed() {
        return pairs.values().stream().allMatch(EntryPair::isClosed);
    }

    private void readList() {
        list.instances().thenAccept(result -> {
            synchronized (this) {
                result.peek(mesh::applyInstanceList);
                if (!stopped) {
                    long seconds = result.isRight() ? LIST_INTERVAL_SECONDS : FIRST_LIST_INTERVAL_SECONDS;
                    context.timers().schedule(this::readList, seconds, TimeUnit.SECONDS);
                }
            }
        });
    }

    private synchronized void reconcile() {
        if (stopped || leaving) {
            return;
        }
        observe();
        Set<Address> wanted = new HashSet<>();
        for (ListedInstance entry : mesh.entriesToLink()) {
            Address address = Address.of(entry);
            wanted.add(address);
            pairs.computeIfAbsent(address, key -> connect(entry));
        }
        closeSurplus(wanted);
    }

    private EntryPair connect(ListedInstance entry) {
        EntryPair pair = new EntryPair(context, entry, () -> entryLeaves(entry));
        pair.start();
        return pair;
    }

    private synchronized void entryLeaves(ListedInstance entry) {
        if (mesh.markUnusable(entry.id())) {
            Logger.info("entry {} leaves", entry.id());
        }
    }

    private void observe() {
        long now = context.clock().nanoTime();
        pairs.forEach((address, pair) -> {
            pair.observe(now);
            if (pair.isDownFor(UNREACHABLE, now)) {
                entryUnreachable(address.entry);
            }
        });
    }

    private void entryUnreachable(ListedInstance entry) {
        if (mesh.markUnusable(entry.id())) {
            Logger.info("entry {} cannot be reached at {}:{}", entry.id(), entry.host(), entry.port());
        }
    }

    /** Closes links that are not wanted, those that work only when all wanted ones do and after a while without calls. */
    private void closeSurplus(Set<Address> wanted) {
        long now = context.clock().nanoTime();
        boolean complete =
                wanted.stream().allMatch(address -> pairs.get(address).isUp());
        for (Iterator<Map.Entry<Address, EntryPair>> it = pairs.entrySet().iterator(); it.hasNext(); ) {
            Map.Entry<Address, EntryPair> next = it.next();
            EntryPair pair = next.getValue();
            boolean unneeded = !pair.isUp() || (complete && pair.isIdleFor(SURPLUS_IDLE, now));
            if (!wanted.contains(next.getKey()) && unneeded) {
                pair.stop();
                it.remove();
            }
        }
    }

    /** An entry at an address; the same entry at another address, or another entry at this one, gets new links. */
    private record Address(ListedInstance entry) {
        static Address of(ListedInstance entry) {
            return new Address(new ListedInstance(
                    entry.id(),
                    entry.role(),
                    entry.region(),
                    entry.failureDomain(),
                    entry.host(),
                    entry.port(),
                    false));
        }
    }

    /** Returns the entries of the settings as if they were listed, in the place of the sidecar. */
    public static List<ListedInstance> configuredEntries(SidecarSettings settings) {
        return settings.entries().stream()
                .map(address -> new ListedInstance(
                        EntryLink.seedId(address),
                        ListedInstance.Role.ENTRY,
                        settings.region(),
                        settings.failureDomain(),
                        address.getHostString(),
                        address.getPort(),
                        false))
                .toList();
    }
}
