package io.endiveshed.gateway;

import io.endiveshed.ports.platform.ObjectFeed;
import io.endiveshed.ports.platform.StoreError;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/** Registry in which entries publish their addresses and discover each other. */
public interface EntryRegistry extends ObjectFeed<EntryRecord> {
    /** Writes the record of this entry, replacing an earlier record of the same instance. */
    CompletionStage<Either<StoreError, Boolean>> register(EntryRecord record);
}
