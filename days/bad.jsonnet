// The bad day: six exchanges in two zones, and a series of faults (`troubles`). `make day` plays it with each call
// server in a process of its own.
local lib = import 'fleet.libsonnet';

lib.fleet(6, ['recife', 'fortaleza'], '12ms', 12, 26) + lib.chat + {
  name: 'bad',
  seed: 20261201,
  length: '40s',
  tail: '30s',
  offices: { queue: '2s', cold_share: 0.4, cold_for: '10s' },
  register: { notice: '500ms', silent_notice: '2s', add: '300ms', spread: '100ms' },
  centre: { period: '1500ms', late: '500ms' },
  troubles: [
    { kind: 'answer_lost', at: '4s', length: '6s', on: [1, 2], size: 0.2 },
    { kind: 'deploy', at: '8s', length: '12s', on: [0, 3], size: 0.17, extra: 3 },
    { kind: 'hang', at: '12s', length: '5s', on: [4] },
    { kind: 'server_paused', at: '16s', length: '2s', on: [2] },
    { kind: 'server_killed', at: '20s', length: '3s', on: [5] },
    { kind: 'answer_twice', at: '22s', length: '6s', on: [0, 1], size: 0.3 },
    { kind: 'burst', at: '24s', length: '5s', size: 2.5 },
    { kind: 'garbage', at: '27s', length: '1s', on: [2] },
    { kind: 'mid_frame_reset', at: '29s', on: [1] },
    { kind: 'register_restart', at: '31s', size: 2 },
    { kind: 'crash', at: '33s', length: '2s', on: [3] },
  ],
}
