package io.endiveshed.gateway;

import io.endiveshed.ports.platform.ObjectFeed;
import io.endiveshed.ports.platform.StoreError;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/** Where entries find each other. */
public interface EntryRegistry extends ObjectFeed<EntryRecord> {
    /** Writes the record of this entry, in place of an earlier one of its instance. */
    CompletionStage<Either<StoreError, Boolean>> register(EntryRecord record);
}
