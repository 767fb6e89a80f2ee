-- Age of what an entry knows of a key that the operator revokes: calls to the store are answered late or never, the
-- entry is suspended, and its time of day jumps.
module freshness

open util/ordering[Moment]

sig Moment {}

one sig Store {
  -- the key is revoked from this moment on
  revoked: Moment
}

-- calls of the entry that were answered; a call without an answer confirms nothing and is left out
sig Call {
  sent: Moment,
  -- when the store read the key
  read: Moment,
  answered: Moment
} {
  lte[sent, read] and lte[read, answered]
}

one sig Entry {
  -- moments that the entry's monotonic clock does not count, as the instance is suspended
  suspended: set Moment,
  -- moments at which its time of day jumps back by as much as one moment
  backward: set Moment,
  -- moments at which its time of day jumps forward by as much as one moment
  forward: set Moment
}

-- a request that runs, by the knowledge of one call
some sig Run {
  at: Moment,
  by: Call
} {
  gte[at, by.answered]
}

fun elapsed[from: Moment, to: Moment]: set Moment { from.nexts & (to + to.prevs) }

fun monotonicAge[from: Moment, to: Moment]: Int { #(elapsed[from, to] - Entry.suspended) }

fun timeOfDayAge[from: Moment, to: Moment]: Int {
  minus[plus[#elapsed[from, to], #(elapsed[from, to] & Entry.forward)], #(elapsed[from, to] & Entry.backward)]
}

fun bound: Int { 3 }

pred keyWasValid[r: Run] { lt[r.by.read, Store.revoked] }

pred judgedByBothClocks[r: Run] {
  keyWasValid[r]
  lte[monotonicAge[r.by.sent, r.at], bound]
  lte[timeOfDayAge[r.by.sent, r.at], bound]
}

pred judgedByMonotonicClock[r: Run] {
  keyWasValid[r]
  lte[monotonicAge[r.by.sent, r.at], bound]
}

pred judgedByTimeOfDay[r: Run] {
  keyWasValid[r]
  lte[timeOfDayAge[r.by.sent, r.at], bound]
}

pred datedFromTheAnswer[r: Run] {
  keyWasValid[r]
  lte[monotonicAge[r.by.answered, r.at], bound]
  lte[timeOfDayAge[r.by.answered, r.at], bound]
}

-- the clocks never err together: while a belief ages, the instance is not both suspended and set back
pred clocksErrApart {
  all r: Run | no elapsed[r.by.sent, r.at] & Entry.suspended or no elapsed[r.by.sent, r.at] & Entry.backward
}

pred noRunAfterTheBound { all r: Run | lte[#elapsed[Store.revoked, r.at], bound] }

check revocationHolds {
  (clocksErrApart and all r: Run | judgedByBothClocks[r]) => noRunAfterTheBound
} for 9 Moment, 2 Call, 2 Run, 6 Int

check monotonicClockOnly {
  (clocksErrApart and all r: Run | judgedByMonotonicClock[r]) => noRunAfterTheBound
} for 8 Moment, 1 Call, 1 Run, 6 Int

check timeOfDayOnly {
  (clocksErrApart and all r: Run | judgedByTimeOfDay[r]) => noRunAfterTheBound
} for 8 Moment, 1 Call, 1 Run, 6 Int

check ageFromTheAnswer {
  (clocksErrApart and all r: Run | datedFromTheAnswer[r]) => noRunAfterTheBound
} for 8 Moment, 1 Call, 1 Run, 6 Int

-- the hole that docs/platform.md names
check clocksErrTogether {
  (all r: Run | judgedByBothClocks[r]) => noRunAfterTheBound
} for 8 Moment, 1 Call, 1 Run, 6 Int

-- shows that the first check is not true only because nothing can run
run lastRunBeforeTheBound {
  clocksErrApart
  all r: Run | judgedByBothClocks[r]
  some r: Run | #elapsed[Store.revoked, r.at] = 2
  some Entry.suspended and some Entry.backward
} for 9 Moment, 2 Call, 2 Run, 6 Int
