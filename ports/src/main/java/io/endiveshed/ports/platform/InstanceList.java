package io.endiveshed.ports.platform;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** List of instances that the platform maintains; it may be out of date. */
@FunctionalInterface
public interface InstanceList {
    /** Returns the list; the stage never completes exceptionally, an error is on the left. */
    CompletionStage<Either<StoreError, List<ListedInstance>>> instances();
}
