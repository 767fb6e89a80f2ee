package io.endiveshed.bench.policy;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.coordination.queueing.QueueSettings;
import io.endiveshed.coordination.queueing.RequestQueue;
import io.endiveshed.coordination.queueing.ShortFirstQueue;
import java.util.Random;

/** What is compared: the baselines, each with a FIFO queue, and the decisions of the coordination library. */
enum Policy {
    ROUND_ROBIN(BaselinePolicy.Rule.ROUND_ROBIN),
    RANDOM(BaselinePolicy.Rule.RANDOM),
    LEAST_OUTSTANDING(BaselinePolicy.Rule.LEAST_OUTSTANDING),
    TWO_CHOICES(BaselinePolicy.Rule.TWO_CHOICES),
    SCHEDULED(null);

    private final BaselinePolicy.Rule rule;

    Policy(BaselinePolicy.Rule rule) {
        this.rule = rule;
    }

    EntryPolicy entry(FailureDomain domain, EventLoop loop, Random random) {
        return rule == null ? new ScheduledPolicy(domain, loop, random) : new BaselinePolicy(rule, random);
    }

    RequestQueue queue(EngineSpec engine, EventLoop loop) {
        return rule == null
                ? new ShortFirstQueue(QueueSettings.defaults(engine.kvTokens()), loop::now)
                : new FifoQueue(engine.kvTokens());
    }
}
