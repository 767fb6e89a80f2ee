-- Age of an entry's state after the operator revokes an API key: calls to the store are answered late or never, the
-- instance of the entry is suspended, its time of day jumps, and the store returns to an older copy.
module freshness

open util/ordering[Moment]

sig Moment {}

one sig Store {
  -- moment from which the key is revoked
  revoked: Moment,
  -- moment at which the store returns from a copy
  restored: lone Moment,
  -- moment of which the copy is
  copied: lone Moment,
  -- moment from which the operator has written its objects again
  rewritten: lone Moment
} {
  some restored iff some copied
  some restored iff some rewritten
  some restored => lt[copied, restored] and lte[restored, rewritten] and lt[revoked, restored]
}

-- Answered calls of the entry to the store. A call without an answer confirms nothing and is not modelled.
sig Call {
  sent: Moment,
  -- moment at which the store read the key
  read: Moment,
  answered: Moment
} {
  lte[sent, read] and lte[read, answered]
}

one sig Entry {
  -- moments that the monotonic clock of the entry does not count, because the instance is suspended
  suspended: set Moment,
  -- moments at which the time of day is set back by one moment
  setBack: set Moment,
  -- moments at which the time of day is set ahead by one moment
  setForward: set Moment
}

-- A request that runs on the state confirmed by one call.
some sig Run {
  at: Moment,
  basis: Call
} {
  gte[at, basis.answered]
}

fun elapsed[from: Moment, to: Moment]: set Moment { from.nexts & (to + to.prevs) }

fun monotonicAge[from: Moment, to: Moment]: Int { #(elapsed[from, to] - Entry.suspended) }

fun timeOfDayAge[from: Moment, to: Moment]: Int {
  minus[plus[#elapsed[from, to], #(elapsed[from, to] & Entry.setForward)], #(elapsed[from, to] & Entry.setBack)]
}

fun maxAge: Int { 3 }

pred keyWasValidWhenRead[r: Run] { lt[r.basis.read, Store.revoked] }

pred allowedByBothClocks[r: Run] {
  keyWasValidWhenRead[r]
  lte[monotonicAge[r.basis.sent, r.at], maxAge]
  lte[timeOfDayAge[r.basis.sent, r.at], maxAge]
}

pred allowedByMonotonicClock[r: Run] {
  keyWasValidWhenRead[r]
  lte[monotonicAge[r.basis.sent, r.at], maxAge]
}

pred allowedByTimeOfDay[r: Run] {
  keyWasValidWhenRead[r]
  lte[timeOfDayAge[r.basis.sent, r.at], maxAge]
}

pred allowedByAgeSinceAnswer[r: Run] {
  keyWasValidWhenRead[r]
  lte[monotonicAge[r.basis.answered, r.at], maxAge]
  lte[timeOfDayAge[r.basis.answered, r.at], maxAge]
}

-- While the state confirmed by a call ages, the clocks do not err together: the instance may be suspended or its time
-- of day set back, but not both.
pred noSimultaneousClockErrors {
  all r: Run | no elapsed[r.basis.sent, r.at] & Entry.suspended or no elapsed[r.basis.sent, r.at] & Entry.setBack
}

pred allRunsWithinMaxAge { all r: Run | lte[#elapsed[Store.revoked, r.at], maxAge] }

check noRunPastMaxAge {
  (noSimultaneousClockErrors and all r: Run | allowedByBothClocks[r]) => allRunsWithinMaxAge
} for 9 Moment, 2 Call, 2 Run, 0 Confirmation, 0 RelayedRun, 6 Int

check monotonicClockOnly {
  (noSimultaneousClockErrors and all r: Run | allowedByMonotonicClock[r]) => allRunsWithinMaxAge
} for 8 Moment, 1 Call, 1 Run, 0 Confirmation, 0 RelayedRun, 6 Int

check timeOfDayOnly {
  (noSimultaneousClockErrors and all r: Run | allowedByTimeOfDay[r]) => allRunsWithinMaxAge
} for 8 Moment, 1 Call, 1 Run, 0 Confirmation, 0 RelayedRun, 6 Int

check ageSinceAnswer {
  (noSimultaneousClockErrors and all r: Run | allowedByAgeSinceAnswer[r]) => allRunsWithinMaxAge
} for 8 Moment, 1 Call, 1 Run, 0 Confirmation, 0 RelayedRun, 6 Int

-- What a read at a moment shows: the copy does not have a revocation that was made after it.
pred keyLooksValid[m: Moment] {
  lt[m, Store.revoked] or
    (some Store.restored and gte[m, Store.restored] and lt[m, Store.rewritten] and lt[Store.copied, Store.revoked])
}

pred withinMaxAge[r: Run] {
  keyLooksValid[r.basis.read]
  lte[monotonicAge[r.basis.sent, r.at], maxAge]
  lte[timeOfDayAge[r.basis.sent, r.at], maxAge]
}

-- A call confirms the state if the store was read before its return, or if the operator had written again when the
-- call was sent.
pred isNotFromCopy[r: Run] {
  no Store.restored or lt[r.basis.read, Store.restored] or gte[r.basis.sent, Store.rewritten]
}

check noRunPastMaxAgeWithCopies {
  (noSimultaneousClockErrors and all r: Run | withinMaxAge[r] and isNotFromCopy[r]) => allRunsWithinMaxAge
} for 9 Moment, 2 Call, 2 Run, 0 Confirmation, 0 RelayedRun, 6 Int

check copiesConfirm {
  (noSimultaneousClockErrors and all r: Run | withinMaxAge[r]) => allRunsWithinMaxAge
} for 9 Moment, 1 Call, 1 Run, 0 Confirmation, 0 RelayedRun, 6 Int

-- A call that was sent before the return and read the copy confirms nothing either.
check callsSentBeforeTheReturnConfirm {
  (noSimultaneousClockErrors and all r: Run | withinMaxAge[r]
    and (isNotFromCopy[r] or lt[r.basis.sent, Store.restored])) => allRunsWithinMaxAge
} for 9 Moment, 1 Call, 1 Run, 0 Confirmation, 0 RelayedRun, 6 Int

-- Shows that a request can run after a return.
run runAfterReturn {
  noSimultaneousClockErrors
  all r: Run | withinMaxAge[r] and isNotFromCopy[r]
  some r: Run | some Store.restored and gt[r.at, Store.restored]
} for 9 Moment, 2 Call, 2 Run, 0 Confirmation, 0 RelayedRun, 6 Int

-- The known limit described in docs/platform.md.
check simultaneousClockErrors {
  (all r: Run | allowedByBothClocks[r]) => allRunsWithinMaxAge
} for 8 Moment, 1 Call, 1 Run, 0 Confirmation, 0 RelayedRun, 6 Int

-- Shows that the first check does not hold merely because no request can run.
run runBeforeMaxAge {
  noSimultaneousClockErrors
  all r: Run | allowedByBothClocks[r]
  some r: Run | #elapsed[Store.revoked, r.at] = 2
  some Entry.suspended and some Entry.setBack
} for 9 Moment, 2 Call, 2 Run, 0 Confirmation, 0 RelayedRun, 6 Int

-- Clock errors of another entry that reads the store.
one sig Reader {
  readerSuspended: set Moment,
  readerSetBack: set Moment,
  readerSetForward: set Moment
}

-- Answer of the reader to a question of the entry, which holds what the reader has read. Each step may be delayed.
sig Confirmation {
  asked: Moment,
  -- moment at which the reader has received the question and computes the age that it reports
  reported: Moment,
  arrived: Moment,
  source: Call
} {
  lte[asked, reported] and lte[reported, arrived] and lte[source.answered, reported]
}

-- A request that runs on the state confirmed by the reader.
sig RelayedRun {
  ranAt: Moment,
  confirmation: Confirmation
} {
  gte[ranAt, confirmation.arrived]
}

fun readerMonotonicAge[c: Confirmation]: Int { #(elapsed[c.source.sent, c.reported] - Reader.readerSuspended) }

fun readerTimeOfDayAge[c: Confirmation]: Int {
  minus[plus[#elapsed[c.source.sent, c.reported], #(elapsed[c.source.sent, c.reported] & Reader.readerSetForward)],
    #(elapsed[c.source.sent, c.reported] & Reader.readerSetBack)]
}

-- Whether the larger age of the reader and the larger age since a moment by the clocks of the entry are together
-- within the maximum.
pred withinMaxAgeSince[c: Confirmation, from: Moment, to: Moment] {
  all reader: readerMonotonicAge[c] + readerTimeOfDayAge[c] |
    lte[plus[reader, monotonicAge[from, to]], maxAge] and lte[plus[reader, timeOfDayAge[from, to]], maxAge]
}

pred noSimultaneousClockErrorsOfEither {
  all r: RelayedRun | let c = r.confirmation, mine = elapsed[c.asked, r.ranAt],
      others = elapsed[c.source.sent, c.reported] {
    no mine & Entry.suspended or no mine & Entry.setBack
    no others & Reader.readerSuspended or no others & Reader.readerSetBack
  }
}

pred allRelayedRunsWithinMaxAge { all r: RelayedRun | lte[#elapsed[Store.revoked, r.ranAt], maxAge] }

check noRelayedRunPastMaxAge {
  (noSimultaneousClockErrorsOfEither and all r: RelayedRun | lt[r.confirmation.source.read, Store.revoked]
    and withinMaxAgeSince[r.confirmation, r.confirmation.asked, r.ranAt]) => allRelayedRunsWithinMaxAge
} for 8 Moment, 1 Call, 1 Run, 1 Confirmation, 1 RelayedRun, 6 Int

-- The age counts from the arrival of the answer, which may have been delayed.
check relayedAgeSinceArrival {
  (noSimultaneousClockErrorsOfEither and all r: RelayedRun | lt[r.confirmation.source.read, Store.revoked]
    and withinMaxAgeSince[r.confirmation, r.confirmation.arrived, r.ranAt]) => allRelayedRunsWithinMaxAge
} for 8 Moment, 1 Call, 1 Run, 1 Confirmation, 1 RelayedRun, 6 Int

-- Shows that a request can run on a confirmation of the reader.
run relayedRunBeforeMaxAge {
  noSimultaneousClockErrorsOfEither
  some RelayedRun
  all r: RelayedRun | lt[r.confirmation.source.read, Store.revoked]
    and withinMaxAgeSince[r.confirmation, r.confirmation.asked, r.ranAt] and gt[r.ranAt, Store.revoked]
} for 8 Moment, 1 Call, 1 Run, 1 Confirmation, 1 RelayedRun, 6 Int
