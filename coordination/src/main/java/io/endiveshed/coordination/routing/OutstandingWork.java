package io.endiveshed.coordination.routing;

import io.endiveshed.base.id.TargetId;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Work that is outstanding on each target: this entry's own, which it knows exactly, and that of the other entries from
 * load reports that lag.
 *
 * <p>A report states this entry's part of the total. That part is replaced by the entry's own count, so work that the
 * report covers already is not counted twice, and work that is still on its way to the sidecar is not missed. Safe for
 * use by several threads.
 */
public final class OutstandingWork {
    private final Map<TargetId, Account> accounts = new ConcurrentHashMap<>();

    /** Counts work sent to a target. */
    public void dispatched(TargetId target, BandWork work) {
        account(target).own.updateAndGet(own -> own.plus(work));
    }

    /** Counts work that a target finished or dropped; a target that was forgotten is ignored. */
    public void finished(TargetId target, BandWork work) {
        Account account = accounts.get(target);
        if (account != null) {
            account.own.updateAndGet(own -> own.minus(work));
        }
    }

    /** Accepts a load report; a report older than the last one is ignored. */
    public void reported(TargetId target, WorkReport report) {
        account(target).report.updateAndGet(last -> report.sequence() > last.sequence() ? report : last);
    }

    /** Returns the estimated work of all entries on a target. */
    public BandWork estimate(TargetId target) {
        Account account = accounts.get(target);
        if (account == null) {
            return BandWork.NONE;
        }
        return account.report.get().others().plus(account.own.get());
    }

    /** Returns the free KV memory that a target reported, in tokens, or {@link Long#MAX_VALUE} before a report. */
    public long freeKvTokens(TargetId target) {
        Account account = accounts.get(target);
        return account == null ? Long.MAX_VALUE : account.report.get().freeKvTokens();
    }

    /** Drops what is known of a target that is gone. */
    public void forget(TargetId target) {
        accounts.remove(target);
    }

    private Account account(TargetId target) {
        return accounts.computeIfAbsent(target, id -> new Account());
    }

    private static final class Account {
        private final AtomicReference<BandWork> own = new AtomicReference<>(BandWork.NONE);
        private final AtomicReference<WorkReport> report = new AtomicReference<>(WorkReport.NONE);
    }
}
