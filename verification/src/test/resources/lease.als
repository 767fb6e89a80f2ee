-- Lease with fencing tokens: holders that are paused keep believing in their token, orders are delayed without bound,
-- and the sidecar loses what it knows when it restarts.
module lease

open util/ordering[Token]

sig Token {}

sig Holder {
  -- token that the holder believes to hold; it stays when the holder is paused and another one takes the lease
  var token: lone Token
}

one sig Store {
  -- token in the lease object
  var current: one Token
}

one sig Network {
  -- tokens of orders under way; an order may arrive any number of times
  var orders: set Token
}

one sig Sidecar {
  -- lowest token that is let through; none after a restart, until the lease object has been read
  var newest: lone Token
}

one sig Engine {
  -- token of the order that took effect last
  var applied: lone Token
}

pred init {
  no token
  Store.current = first
  no Network.orders
  no Sidecar.newest
  no Engine.applied
}

pred acquire[h: Holder] {
  some Store.current.next
  current' = Store -> Store.current.next
  token' = token ++ h -> Store.current.next
  orders' = orders and newest' = newest and applied' = applied
}

pred give[h: Holder] {
  some h.token
  Network.orders' = Network.orders + h.token
  current' = current and token' = token and newest' = newest and applied' = applied
}

pred restart {
  no Sidecar.newest'
  current' = current and token' = token and orders' = orders and applied' = applied
}

pred learn {
  no Sidecar.newest
  Sidecar.newest' = Store.current
  current' = current and token' = token and orders' = orders and applied' = applied
}

pred takesEffect[t: Token] {
  t in Network.orders
  Engine.applied' = t
  Sidecar.newest' = t
  current' = current and token' = token and orders' = orders
}

pred passesCheck[t: Token] {
  some Sidecar.newest
  gte[t, Sidecar.newest]
}

pred checksAfterRestartOnly[t: Token] {
  no Sidecar.newest or gte[t, Sidecar.newest]
}

pred unchanged {
  current' = current and token' = token and orders' = orders and newest' = newest and applied' = applied
}

pred otherStep {
  (some h: Holder | acquire[h] or give[h]) or restart or learn or unchanged
}

pred behaviour {
  init
  always (otherStep or some t: Token | passesCheck[t] and takesEffect[t])
}

pred behaviourWithoutCheck {
  init
  always (otherStep or some t: Token | takesEffect[t])
}

pred behaviourWithoutReadingTheLease {
  init
  always (otherStep or some t: Token | checksAfterRestartOnly[t] and takesEffect[t])
}

pred noStaleOrder {
  always (some Engine.applied => gte[Engine.applied', Engine.applied])
}

check fenced { behaviour => noStaleOrder } for 4 Token, 3 Holder, 12 steps

check tokenNotChecked { behaviourWithoutCheck => noStaleOrder } for 3 Token, 2 Holder, 10 steps

check leaseNotRead { behaviourWithoutReadingTheLease => noStaleOrder } for 3 Token, 2 Holder, 10 steps

-- shows that the first check is not true only because nothing can happen
run secondOrderTakesEffect {
  behaviour
  eventually (some Engine.applied and Engine.applied' = Engine.applied.next)
} for 3 Token, 2 Holder, 10 steps
