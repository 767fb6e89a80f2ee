package io.endiveshed.coordination.admission;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.coordination.cost.LengthBand;
import io.endiveshed.coordination.membership.TargetView;
import io.endiveshed.coordination.routing.CostAwareSelector;
import io.endiveshed.coordination.routing.RoutingChoice;
import io.endiveshed.coordination.routing.RoutingRequest;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/**
 * Accepts or refuses requests at the entry. Every refusal is immediate and has outcome {@code not_run}.
 *
 * <p>The checks run in this order: whether any target has enough memory for the prompt, whether a target is usable,
 * whether the predicted finish is within the deadline, whether the predicted wait is within its limit, and, while there
 * is a backlog, whether the client account is within its fair share. Thread-safe.
 *
 * <pre>{@code
 * Either<Failure, RoutingChoice> decision = admission.decide(request, targets, selector.choose(routing, targets));
 * }</pre>
 */
public final class AdmissionController {
    private static final Duration NO_TARGET_RETRY_DELAY = Duration.ofSeconds(2);
    /** Minimum delay, since the Retry-After header counts in seconds and a shorter delay would be rounded to zero. */
    private static final long MIN_RETRY_DELAY_NANOS = 1_000_000_000L;

    private final AdmissionSettings settings;
    private final LongSupplier nanoClock;
    private final Map<String, FairShare> sharesByModel = new ConcurrentHashMap<>();

    /** Creates a controller that reads time from a monotonic clock in nanoseconds. */
    public AdmissionController(AdmissionSettings settings, LongSupplier nanoClock) {
        this.settings = settings;
        this.nanoClock = nanoClock;
    }

    /**
     * Decides whether to accept a request, and counts it towards the fair share of its client account.
     *
     * @param request the request
     * @param targets all known targets of the request's model
     * @param choice target that routing chose, or empty if no target is usable
     * @return the choice if the request is accepted, or the failure that explains the refusal
     */
    public Either<Failure, RoutingChoice> decide(
            AdmissionRequest request, List<TargetView> targets, Optional<RoutingChoice> choice) {
        RoutingRequest routing = request.routing();
        if (!targets.isEmpty() && targets.stream().noneMatch(target -> CostAwareSelector.canHold(routing, target))) {
            return Either.left(promptTooLong(routing, targets));
        }
        if (choice.isEmpty()) {
            return Either.left(noTarget(routing));
        }
        FairShare share = sharesByModel.computeIfAbsent(routing.name(), name -> new FairShare(nanoClock));
        long work = choice.get().work().totalNanos();
        share.recordDemand(request.account(), request.weight(), work);
        Optional<Failure> refusal = refusal(request, choice.get(), share);
        if (refusal.isPresent()) {
            return Either.left(refusal.get());
        }
        share.recordAccepted(request.account(), request.weight(), work);
        return Either.right(choice.get());
    }

    private Optional<Failure> refusal(AdmissionRequest request, RoutingChoice choice, FairShare share) {
        double predictedNanos =
                settings.deadlineMargin() * (choice.waitNanos() + choice.work().totalNanos());
        if (predictedNanos > request.remainingNanos()) {
            return Optional.of(deadlineNotMet(request, choice, predictedNanos));
        }
        long excessNanos = choice.waitNanos() - settings.maxBacklogNanos();
        if (excessNanos > 0) {
            return Optional.of(overloaded(
                    "the backlog of " + seconds(choice.waitNanos()) + " is above the limit of "
                            + seconds(settings.maxBacklogNanos()),
                    excessNanos));
        }
        boolean isContended = choice.backlogNanos() > settings.fairShareBacklogNanos();
        LengthBand band = LengthBand.of(request.routing().promptTokens());
        if (isContended && share.isOverShare(request.account(), request.weight(), band)) {
            return Optional.of(Failure.of(ErrorKind.RATE_LIMITED)
                    .message("client account " + request.account() + " is over its fair share of "
                            + request.routing().name())
                    .retryAfter(retryDelay(share.nanosUntilShare(request.account(), request.weight(), band)))
                    .build());
        }
        return Optional.empty();
    }

    private static Failure deadlineNotMet(AdmissionRequest request, RoutingChoice choice, double predictedNanos) {
        String message = "the request would finish after " + seconds((long) predictedNanos) + ", its deadline is in "
                + seconds(request.remainingNanos());
        boolean isPossibleWhenIdle = choice.work().totalNanos() < request.remainingNanos();
        if (isPossibleWhenIdle) {
            return overloaded(message, (long) predictedNanos - request.remainingNanos());
        }
        return Failure.of(ErrorKind.DEADLINE_EXCEEDED)
                .message(message + " and it needs " + seconds(choice.work().totalNanos()) + " on an idle engine")
                .remedy("allow more time in X-Request-Deadline-Ms or shorten the prompt")
                .build();
    }

    private static Failure promptTooLong(RoutingRequest routing, List<TargetView> targets) {
        long limit =
                targets.stream().mapToLong(TargetView::kvCapacityTokens).max().orElse(0);
        return Failure.of(ErrorKind.PROMPT_TOO_LONG)
                .message("prompt and answer need " + routing.kvTokens() + " tokens, the limit of " + routing.name()
                        + " is " + limit)
                .build();
    }

    private static Failure noTarget(RoutingRequest routing) {
        return Failure.of(ErrorKind.NO_TARGET)
                .message("no live target serves " + routing.name())
                .retryAfter(NO_TARGET_RETRY_DELAY)
                .build();
    }

    private static Failure overloaded(String message, long retryDelayNanos) {
        return Failure.of(ErrorKind.OVERLOADED)
                .message(message)
                .retryAfter(retryDelay(retryDelayNanos))
                .build();
    }

    private static Duration retryDelay(long nanos) {
        return Duration.ofNanos(Math.max(MIN_RETRY_DELAY_NANOS, nanos));
    }

    private static String seconds(long nanos) {
        return Duration.ofNanos(nanos).toMillis() / 1000.0 + " s";
    }
}
