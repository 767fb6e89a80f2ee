package io.endiveshed.ports.engine;

import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.AttemptId;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * Operations of a model engine that a sidecar uses in addition to completions.
 *
 * <p>Stages never complete exceptionally; an error is a failure on the left.
 */
public interface EnginePort {
    /** Returns the engine's load, which may be out of date. */
    CompletionStage<Either<Failure, EngineLoad>> load();

    /** Returns the attempts that occupy memory in the engine. */
    CompletionStage<Either<Failure, List<AttemptId>>> running();

    /** Stops an attempt and frees its memory; also succeeds if the engine does not know the attempt. */
    CompletionStage<Either<Failure, Boolean>> cancel(AttemptId attempt);

    /** Sends an order, such as to load a model. */
    CompletionStage<Either<Failure, Boolean>> order(EngineOrder order);
}
