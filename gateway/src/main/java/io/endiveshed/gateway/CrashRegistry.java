package io.endiveshed.gateway;

import io.endiveshed.coordination.crash.CrashRecord;
import io.endiveshed.ports.platform.ObjectFeed;
import io.endiveshed.ports.platform.StoreError;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/** Registry in which entries store what they have seen of crashes of targets. */
public interface CrashRegistry extends ObjectFeed<CrashRecord> {
    /** Writes the record of an entry, replacing its earlier one. */
    CompletionStage<Either<StoreError, Boolean>> write(CrashRecord record);
}
