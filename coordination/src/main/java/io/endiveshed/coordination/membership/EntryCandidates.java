package io.endiveshed.coordination.membership;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.ports.platform.ListedInstance;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.agrona.concurrent.NanoClock;

/**
 * The entries that a sidecar knows and those to which it should be linked. Not safe for use by several threads.
 *
 * <pre>{@code
 * EntryCandidates mesh = new EntryCandidates(new EntrySelector(instance, place), seeds, clock);
 * mesh.applyInstanceList(instanceList);
 * mesh.markUnusable(entryThatFailed);
 * List<ListedInstance> entries = mesh.entriesToLink();
 * }</pre>
 */
public final class EntryCandidates {
    /**
     * Time for which an entry that failed or left is replaced by the next in rank. It spans a usual restart, so that
     * links move twice for a restart and not with every attempt to connect.
     */
    public static final Duration EXCLUSION_TIME = Duration.ofSeconds(30);

    private final EntrySelector selection;
    private final List<ListedInstance> seeds;
    private final NanoClock clock;
    private final Map<InstanceId, Long> unusableSince = new HashMap<>();
    private Map<InstanceId, ListedInstance> known = new LinkedHashMap<>();

    /** Makes a mesh that knows only the entries of the settings. */
    public EntryCandidates(EntrySelector selection, List<ListedInstance> seeds, NanoClock clock) {
        this.selection = selection;
        this.seeds = List.copyOf(seeds);
        this.clock = clock;
        applyInstanceList(List.of());
    }

    /** Replaces the platform's list. Entries of the settings stay known, because the list may lag or be empty. */
    public void applyInstanceList(List<ListedInstance> instances) {
        Map<InstanceId, ListedInstance> merged = new LinkedHashMap<>();
        instances.stream()
                .filter(instance -> instance.role() == ListedInstance.Role.ENTRY)
                .forEach(entry -> merged.put(entry.id(), entry));
        Set<String> addresses =
                merged.values().stream().map(EntryCandidates::address).collect(Collectors.toSet());
        seeds.stream()
                .filter(seed -> !addresses.contains(address(seed)))
                .forEach(seed -> merged.putIfAbsent(seed.id(), seed));
        known = merged;
        unusableSince.keySet().retainAll(known.keySet());
    }

    /**
     * Records that an entry could not be reached for a while, or announced that it leaves.
     *
     * @return whether it was usable before
     */
    public boolean markUnusable(InstanceId entry) {
        return unusableSince.put(entry, clock.nanoTime()) == null;
    }

    /** Records that a link to an entry works. */
    public void markUsable(InstanceId entry) {
        unusableSince.remove(entry);
    }

    /** Returns the entries to link to, best first; entries that failed fill up only if there are too few others. */
    public List<ListedInstance> entriesToLink() {
        long now = clock.nanoTime();
        unusableSince.values().removeIf(since -> now - since >= EXCLUSION_TIME.toNanos());
        List<ListedInstance> usable = new ArrayList<>();
        List<ListedInstance> others = new ArrayList<>();
        for (ListedInstance entry : known.values()) {
            boolean out = entry.leaving() || unusableSince.containsKey(entry.id());
            (out ? others : usable).add(entry);
        }
        List<ListedInstance> wanted = new ArrayList<>(selection.choose(usable));
        selection.choose(others).stream()
                .limit(EntrySelector.MAX_ENTRIES - wanted.size())
                .forEach(wanted::add);
        return wanted;
    }

    private static String address(ListedInstance entry) {
        return entry.host() + ":" + entry.port();
    }
}
