import { expect, test } from 'vitest'
import { chooseSessionHosts, type HostPresence } from '../../src/coordination/workflows/sessionAssignment.js'
import { createManualClock } from '../../src/common/index.js'
import { createClockJumpDetector } from '../../src/coordination/workflows/clockJumpDetector.js'
import { createReplicaLagTracker } from '../../src/coordination/workflows/replicaLag.js'
import { createWorkflowsState, findSessionHost, workflowHandlers } from '../../src/state/index.js'
import { createHosts, listDoubled, type Hosts } from './support.js'

const HOSTS = ['h1', 'h2', 'h3', 'h4']
const WORKERS = 12

/** The session host of each worker by the session assignment. */
function listOwners ({ log }: Hosts): Map<string, string | undefined> {
  const { workers, sessionHosts } = log.state().workflows
  return new Map(Object.values(workers).map(({ life }) => [life.id, findSessionHost(sessionHosts, life)]))
}

/** Disconnects a host from all other hosts; it still reaches its workers. */
function disconnectHost ({ network, followers }: Hosts, host: string): void {
  HOSTS.filter((other) => other !== host).forEach((other) => {
    network.cut(host, other)
    network.cut(other, host)
  })
  followers.get(host)?.setReachable(false)
}

function heal ({ network, followers }: Hosts, host: string): void {
  network.healAll()
  followers.get(host)?.setReachable(true)
}

test('only the workers of a removed host move, each worker stays in its availability zone, and the load is even', () => {
  const hosts = ['a-1', 'a-2', 'b-1', 'b-2'].map((host) => ({ host, availabilityZone: host[0] as string }))
  const workers = Array.from({ length: 200 }, (_, index) => ({ id: `w${index}`, availabilityZone: 'abc'[index % 3] as string }))
  const before = workers.map((worker) => findSessionHost(hosts, worker))
  const after = workers.map((worker) => findSessionHost(hosts.filter(({ host }) => host !== 'a-1'), worker))
  const moved = workers.filter((_, index) => before[index] !== after[index])
  expect(moved.every((worker) => before[workers.indexOf(worker)] === 'a-1')).toBe(true)
  expect(workers.filter(({ availabilityZone }, index) => availabilityZone !== 'c' && before[index]?.[0] !== availabilityZone)).toEqual([])
  const counts = hosts.map(({ host }) => before.filter((owner) => owner === host).length)
  expect(Math.max(...counts) / Math.min(...counts)).toBeLessThan(2)
})

test('the leader keeps no sessions beside three other hosts, and absent, leaving or unstable hosts get no workers', () => {
  const hear = (host: string, more: Partial<HostPresence> = {}): [string, HostPresence] => [host, { availabilityZone: 'a', presentSince: 0, lastPresentAt: 5000, isLeaving: false, ...more }]
  const choose = (...present: Array<[string, HostPresence]>): string => chooseSessionHosts([{ host: 'h4', availabilityZone: 'a' }], new Map(present), 'h1', 5000).map(({ host }) => host).join()
  expect([
    choose(hear('h1'), hear('h2'), hear('h3'), hear('h4')),
    choose(hear('h1'), hear('h2'), hear('h3')),
    choose(hear('h1'), hear('h2', { isLeaving: true }), hear('h3'), hear('h4')),
    choose(hear('h1'), hear('h2', { lastPresentAt: 3500 }), hear('h3'), hear('h4')),
    choose(hear('h1'), hear('h2', { presentSince: 4900 }), hear('h4', { presentSince: 4900 }))
  ]).toEqual(['h2,h3,h4', 'h1,h2,h3', 'h1,h3,h4', 'h1,h3,h4', 'h1,h4'])
})

test('the session hosts give the orders, and the leader gives none', async () => {
  const callers = new Map<string, number>()
  const hosts = await createHosts(HOSTS, WORKERS, (_clock, client, host) => ({
    ...client,
    start: (...call) => {
      callers.set(host, (callers.get(host) ?? 0) + 1)
      return client.start(...call)
    }
  }))
  hosts.submit('x', [{ count: 60, cores: 1 }])
  await hosts.clock.advance(2000)
  expect(hosts.fleet.events.filter(({ kind }) => kind === 'started')).toHaveLength(60)
  expect([...callers.keys()].sort()).toEqual(['h2', 'h3', 'h4'])
  await hosts.stop()
})

test('tasks go on running when the session host of their worker is lost', async () => {
  const hosts = await createHosts(HOSTS, WORKERS)
  hosts.fleet.plan = () => ({ runMs: 0, result: 'never' })
  hosts.submit('x', [{ count: 24, cores: 1, lasting: true, maxUnavailable: 0 }])
  await hosts.clock.advance(2000)
  const lost = [...listOwners(hosts)].filter(([, owner]) => owner === 'h3').map(([worker]) => worker)
  disconnectHost(hosts, 'h3')
  await hosts.clock.advance(12_000)
  expect({
    hadWorkers: lost.length > 0,
    stillThere: [...listOwners(hosts).values()].includes('h3'),
    ended: hosts.fleet.events.filter(({ kind }) => kind === 'ended'),
    doubled: listDoubled(hosts.fleet.events),
    running: [...hosts.fleet.workers.values()].reduce((sum, { running }) => sum + running.size, 0)
  }).toEqual({ hadWorkers: true, stillThere: false, ended: [], doubled: [], running: 24 })
  await hosts.stop()
})

test('a host that was disconnected gives no orders to workers that have been assigned to another host', async () => {
  const hosts = await createHosts(HOSTS, WORKERS)
  hosts.submit('x', [{ count: 100, cores: 1, expectedRunMs: 1000 }])
  await hosts.clock.advance(300)
  disconnectHost(hosts, 'h3')
  // Its messages arrive again while its log still lacks the new session assignment.
  await hosts.clock.advance(5000)
  hosts.network.healAll()
  const before = hosts.fleet.events.length
  await hosts.clock.advance(3000)
  heal(hosts, 'h3')
  await hosts.clock.advance(10_000)
  const done = hosts.fleet.events.filter(({ kind, cause }) => kind === 'ended' && cause === 'succeeded').map(({ task }) => task)
  expect({ before: before > 0, doubled: listDoubled(hosts.fleet.events), done: new Set(done).size, outcome: hosts.log.state().workflows.workflows.x?.outcome })
    .toEqual({ before: true, doubled: [], done: 100, outcome: 'completed' })
  await hosts.stop()
})

test('a host that shuts down hands its workers over at once', async () => {
  const hosts = await createHosts(HOSTS, WORKERS)
  hosts.submit('x', [{ count: 60, cores: 1, expectedRunMs: 1000 }])
  await hosts.clock.advance(200)
  const stopping = hosts.coordinators.get('h2')?.stop()
  await hosts.clock.advance(400)
  expect([...listOwners(hosts).values()].includes('h2')).toBe(false)
  await Promise.all([stopping, hosts.clock.advance(6000)])
  expect([hosts.log.state().workflows.workflows.x?.outcome, listDoubled(hosts.fleet.events)]).toEqual(['completed', []])
  await hosts.stop()
})

test('tasks go on running when messages from the leader to the session host of their worker are lost', async () => {
  const hosts = await createHosts(HOSTS, WORKERS)
  hosts.fleet.plan = () => ({ runMs: 0, result: 'never' })
  hosts.submit('x', [{ count: 24, cores: 1, lasting: true, maxUnavailable: 0 }])
  await hosts.clock.advance(2000)
  hosts.network.cut('h1', 'h3')
  await hosts.clock.advance(12_000)
  expect([[...listOwners(hosts).values()].includes('h3'), hosts.fleet.events.filter(({ kind }) => kind === 'ended')]).toEqual([false, []])
  await hosts.stop()
})

test('a host cannot release a run or expire a worker after the worker was assigned to another host', () => {
  const state = createWorkflowsState()
  const hosts = [{ host: 'h1', availabilityZone: 'a' }, { host: 'h2', availabilityZone: 'a' }]
  const life = { id: 'w1', bornAt: 1, service: 'desk', address: 'w1:1', availabilityZone: 'a', cores: 32, memoryMb: 1000, accelerators: 0, labels: [], draining: false }
  state.workers.w1 = { life, lastEnd: 0, expired: false, assigned: { 'x.0.0.0': true } }
  state.workflows.x = { workflow: { id: 'x', command: '', steps: [] }, queue: 'q', service: 'desk', maxAttempts: 2, submittedAt: 0, started: true, tasks: { '0.0.0': { attempt: 1, failures: 0, succeeded: false, checkpoint: '', worker: 'w1' } }, succeeded: {}, outcome: undefined, endedAt: 0 }
  workflowHandlers['sessions.divide'](state, { hosts })
  const owner = findSessionHost(hosts, life) as string
  const owners = [{ host: owner === 'h1' ? 'h2' : 'h1', division: 1 }, { host: owner, division: 0 }, { host: owner, division: 1 }]
  const outcomes = owners.map((judge) => {
    workflowHandlers['workflow.end'](state, { lives: [{ worker: 'w1', bornAt: 1, ends: [[0, 'x.0.0.0', 1, 'not-started', '']] }], judge, at: 0 })
    return [state.workflows.x?.tasks['0.0.0']?.worker, workflowHandlers['life.expire'](state, { worker: 'w1', bornAt: 1, judge, at: 0 }).ok]
  })
  expect(outcomes).toEqual([['w1', false], ['w1', false], [undefined, true]])
})

test('a host detects that it was suspended and does not rely on earlier authority', () => {
  const clock = createManualClock(1000)
  const watch = createClockJumpDetector(clock)
  const mark = watch.getMark()
  clock.setWallOffset(100)
  const drifted = watch.hasJumped(mark)
  clock.setWallOffset(4000)
  expect([drifted, watch.hasJumped(mark), watch.hasJumped(watch.getMark())]).toEqual([false, true, false])
})

test('a host has to apply the log to within a second of the leader, up to the session assignment, and after a restart up to its first request', async () => {
  const clock = createManualClock(1000)
  let applied = 100
  const lag = createReplicaLagTracker(clock, () => applied)
  const joined = lag.getRequiredIndex('h2', 'p1')
  lag.recordApplied()
  applied = 500
  await clock.advance(500)
  lag.recordApplied()
  const soon = lag.getRequiredIndex('h2', 'p1')
  await clock.advance(1000)
  lag.recordApplied()
  const later = lag.getRequiredIndex('h2', 'p1')
  lag.recordSessionAssignment(700)
  expect([joined, soon, later, lag.getRequiredIndex('h2', 'p1'), createReplicaLagTracker(clock, () => 800).getRequiredIndex('h2', 'p2')]).toEqual([100, 100, 500, 700, 800])
})
