package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.cell.AtomicValue;
import io.endiveshed.coordination.service.ServiceCatalog;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.FeedEvent;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class CatalogUpdaterTest {
    private final AtomicValue<ServiceCatalog> catalog = new AtomicValue<>(ServiceCatalog.NONE);
    private final CatalogUpdater updater =
            new CatalogUpdater(catalog, EventLog.to(new PrintStream(new ByteArrayOutputStream())));

    /** Guards against a desired state that goes back with the store. */
    @Test
    void olderDesiredStateIsIgnored() {
        updater.listed(state(9, 34));
        updater.listed(state(7, 31));
        assertThat(catalog.read().version()).isEqualTo(9);
    }

    /** Guards against a copy that counts as written since the store came back. */
    @Test
    void listShowsANewWriteOnlyByAnotherVersionOfTheStore() {
        updater.listed(state(9, 34));
        assertThat(updater.showsNewWrite(state(7, 31), true)).isFalse();
        assertThat(updater.showsNewWrite(state(9, 34), true)).isFalse();
        assertThat(updater.showsNewWrite(state(9, 33), true)).isTrue();
        assertThat(updater.showsNewWrite(state(11, 36), true)).isFalse();
    }

    /** Guards against callers that are refused although the operator has just written its newest desired state. */
    @Test
    void changeThatIsNotOlderShowsANewWrite() {
        updater.listed(state(9, 34));
        assertThat(updater.showsNewWrite(state(7, 35), false)).isFalse();
        assertThat(updater.showsNewWrite(state(9, 35), false)).isTrue();
        assertThat(updater.showsNewWrite(state(11, 34), false)).isTrue();
        assertThat(updater.showsNewWrite(new FeedBatch<>(List.of(), 36), false)).isFalse();
    }

    /** Guards against a desired state that withdraws a key, cannot be decoded and counts as in force. */
    @Test
    void unreadableDesiredStateIsNotInForceUntilAReadableOneFollows() {
        updater.listed(state(9, 34));
        updater.changed(new FeedBatch<>(List.of(FeedEvent.unreadable("main", 35)), 35));
        updater.changed(new FeedBatch<>(List.of(), 36));
        assertThat(updater.hasAppliedAll()).isFalse();
        assertThat(catalog.read().version()).isEqualTo(9);
        updater.changed(state(11, 37));
        assertThat(updater.hasAppliedAll()).isTrue();
        updater.listed(new FeedBatch<>(List.of(FeedEvent.unreadable("main", 38)), 38));
        assertThat(updater.hasAppliedAll()).isFalse();
    }

    private static FeedBatch<ServiceCatalog> state(long version, long storeVersion) {
        return new FeedBatch<>(
                List.of(new FeedEvent<>(
                        "main",
                        storeVersion,
                        Optional.of(new ServiceCatalog(version, List.of(), List.of(), Map.of(), false)))),
                storeVersion);
    }
}
