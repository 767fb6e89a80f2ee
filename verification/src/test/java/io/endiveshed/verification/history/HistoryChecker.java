package io.endiveshed.verification.history;

import io.endiveshed.verification.history.History.Answered;
import io.endiveshed.verification.history.History.Asked;
import io.endiveshed.verification.history.History.Ending;
import io.endiveshed.verification.history.History.Executed;
import io.endiveshed.verification.history.History.Leftover;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks the guarantees of design.md section 1.1 over one history. */
final class HistoryChecker {
    /** Time after its deadline within which a request must have ended; timers fire exactly in virtual time. */
    static final Duration BOUND = Duration.ofMillis(10);

    private final Map<String, Asked> asked = new HashMap<>();
    private final Map<String, Answered> answered = new HashMap<>();
    private final Map<String, Integer> runsOfKey = new HashMap<>();
    private final Map<String, String> answerOfKey = new HashMap<>();
    private final Set<String> executed = new HashSet<>();
    private final List<String> violations = new ArrayList<>();

    private HistoryChecker() {}

    /** Returns a sentence for each violation, or an empty list. */
    static List<String> violations(History history) {
        HistoryChecker checker = new HistoryChecker();
        history.events().forEach(checker::read);
        checker.asked.values().forEach(checker::checkRequest);
        return checker.violations;
    }

    private void read(History.Event event) {
        if (event instanceof Asked request) {
            asked.put(request.request(), request);
        } else if (event instanceof Executed run) {
            executed.add(run.request());
            if (!run.key().isEmpty() && runsOfKey.merge(run.key(), 1, Integer::sum) > 1) {
                violations.add("key " + run.key() + " was executed more than once");
            }
        } else if (event instanceof Answered answer) {
            if (answered.putIfAbsent(answer.request(), answer) != null) {
                violations.add("request " + answer.request() + " was answered twice");
            }
        } else if (event instanceof Leftover leftover) {
            violations.add("left over: " + leftover.what());
        }
    }

    private void checkRequest(Asked request) {
        Answered answer = answered.get(request.request());
        if (answer == null) {
            violations.add("request " + request.request() + " was never answered");
            return;
        }
        long allowed = Duration.ofMillis(request.deadlineMillis()).plus(BOUND).toNanos();
        if (answer.atNanos() - request.atNanos() > allowed) {
            violations.add("request " + request.request() + " ended after its deadline");
        }
        if (answer.ending() == Ending.ERROR
                && answer.outcome().equals("not_run")
                && executed.contains(request.request())) {
            violations.add("request " + request.request() + " was executed and answered not_run");
        }
        if (answer.ending() == Ending.WHOLE) {
            checkWhole(request, answer);
        }
    }

    private void checkWhole(Asked request, Answered answer) {
        boolean own = request.key().isEmpty()
                ? answer.body().equals(request.expected())
                : answer.body().startsWith(request.expected()) && answer.body().endsWith(".");
        if (!own) {
            violations.add("request " + request.request() + " got an answer that is not whole or not its own");
        }
        if (!request.key().isEmpty()) {
            String first = answerOfKey.putIfAbsent(request.key(), answer.body());
            if (first != null && !first.equals(answer.body())) {
                violations.add("key " + request.key() + " got two different answers");
            }
        }
    }
}
