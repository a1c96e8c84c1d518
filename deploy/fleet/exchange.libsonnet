// The shared template for a fleet's call servers: `(import 'exchange.libsonnet')(3)` returns the settings of exchange 3.
// Change values for all exchanges here; add those of one exchange with `+ { ... }` in its own file.
local base = 7000;  // first port; each exchange has ten

function(number) {
  number: number,
  seed: 1000 + number,  // any number; it differs between call servers
  peers: 25,  // number of other call servers
  use_cases: [
    { name: 'balance-check', payoff: 1, agreed_time: '1500ms', outer_limit: '9s', late_share: 0.25, hold: '12s' },
    { name: 'card-lock', payoff: 6, agreed_time: '1200ms', outer_limit: '6s', late_share: 0.25, hold: '9s' },
    { name: 'loan-simulation', payoff: 3, agreed_time: '1500ms', outer_limit: '9s', late_share: 0.1, hold: '14s' },
  ],
  rules: {
    release_wait: '200ms',
    drain_grace: '250ms',
    cold_share: 0.33,
    cold_for: '15s',
    cold_multiple: 2.5,
    cold_window: '2s',
  },
  limits: { most_dials: 5, may_cancel: true, may_tell_peers: true },
  doors: {
    callers: '127.0.0.1:%d' % (base + 10 * number),
    peers: '127.0.0.1:%d' % (base + 10 * number + 1),
    operators: '127.0.0.1:%d' % (base + 10 * number + 2),
    register: '127.0.0.1:6900',
    centre: '127.0.0.1:6901',
  },
}
