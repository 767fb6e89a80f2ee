package io.endiveshed.ports.engine;

import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.AttemptId;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * What a sidecar asks of its engine beside completions.
 *
 * <p>Stages complete normally, with a failure on the left, and never exceptionally.
 */
public interface EnginePort {
    /** Reads the load, which lags behind. */
    CompletionStage<Either<Failure, EngineLoad>> load();

    /** Lists the requests that hold memory in the engine. */
    CompletionStage<Either<Failure, List<AttemptId>>> running();

    /** Stops a request and frees its memory; succeeds also if the engine does not know the request. */
    CompletionStage<Either<Failure, Boolean>> cancel(AttemptId attempt);

    /** Gives an order, such as to load a model. */
    CompletionStage<Either<Failure, Boolean>> order(EngineOrder order);
}
