package io.endiveshed.ports.platform;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** The platform's list of instances, which lags behind. */
@FunctionalInterface
public interface InstanceList {
    /** Reads the list; the stage completes normally, with an error on the left. */
    CompletionStage<Either<StoreError, List<ListedInstance>>> instances();
}
