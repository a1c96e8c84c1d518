// A fleet of exchanges from a few parameters: a trunk group between every pair, calls spread evenly.
{
  fleet(n, zones, setup, calls_per_s, group):: {
    exchanges: [
      {
        number: i,
        zone: zones[i % std.length(zones)],
        setup: setup,
        calls: { [std.toString(j)]: calls_per_s / (n - 1) for j in std.range(0, n - 1) if j != i },
      }
      for i in std.range(0, n - 1)
    ],
    groups: [
      { ends: [a, b], size: group }
      for a in std.range(0, n - 1)
      for b in std.range(a + 1, n - 1)
    ],
  },
  chat:: {
    use_cases: [
      { name: 'balance-check', payoff: 1, share: 74, agreed_time: '1500ms', outer_limit: '9s', late_share: 0.25, hold: '4s' },
      { name: 'card-lock', payoff: 6, share: 5, agreed_time: '1200ms', outer_limit: '6s', late_share: 0.25, hold: '3s' },
      { name: 'loan-simulation', payoff: 3, share: 21, agreed_time: '1500ms', outer_limit: '9s', late_share: 0.1, hold: '5s' },
    ],
    rules: {
      release_wait: '200ms',
      drain_grace: '250ms',
      cold_share: 0.33,
      cold_for: '15s',
      cold_multiple: 2.5,
      cold_window: '2s',
    },
  },
}
