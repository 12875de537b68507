import { expect, test } from 'vitest'
import type { WorkerCommand } from '../../src/coordination/tasks/index.js'
import { createFakeZone, FAKE_CAPACITY, ZONE, type FakeZone } from '../../src/fakes/zone.js'
import { findUnfinished, findViolations } from '../fuzz/taskOracle.js'

const START_MS = 6_000

async function startZone (runMs: number, more: Partial<Parameters<typeof createFakeZone>[0]> = {}): Promise<{ zone: FakeZone, holder: string, standbys: string[] }> {
  const zone = await createFakeZone({ hosts: 3, workers: 5, plan: () => ({ runMs, result: 'succeeded' }), ...more })
  await zone.advance(START_MS)
  const holder = zone.listActive()[0]!
  return { zone, holder, standbys: [...zone.hosts.keys()].filter((host) => host !== holder) }
}

function cutBoth (zone: FakeZone, left: string, rights: string[]): void {
  rights.forEach((right) => {
    zone.network.cut(left, right)
    zone.network.cut(right, left)
  })
}

async function expectFinished (zone: FakeZone, ms: number): Promise<void> {
  await zone.advance(ms)
  expect([...findViolations(zone), ...findUnfinished(zone)]).toEqual([])
}

const countStarts = (zone: FakeZone): number => zone.events.filter((event) => event.kind === 'started').length

test('a coordinator that reaches only a minority of the workers lets their task leases expire', async () => {
  const { zone, holder, standbys } = await startZone(60_000)
  await zone.addJob({ id: 'a', tasks: 4, size: { cores: 1, memoryBytes: 1e8, accelerators: 0 } })
  await zone.advance(3_000)
  const [worker] = [...new Set(zone.events.map((event) => event.worker))]
  const others = [...zone.workers.keys()].filter((id) => id !== worker)
  cutBoth(zone, holder, [...standbys, ...others, 'leader'])
  cutBoth(zone, worker!, standbys)
  zone.setLogReachable(holder, false)
  await zone.advance(40_000)
  expect(countStarts(zone)).toBe(8)
  zone.network.healAll()
  zone.setLogReachable(holder, true)
  await expectFinished(zone, 70_000)
})

test('an outcome is acknowledged only when the journal group has stored it, so that a crash cannot lose it', async () => {
  const { zone, holder, standbys } = await startZone(3_000)
  await zone.addJob({ id: 'once', tasks: 6, idempotent: false })
  while (!zone.events.some((event) => event.kind === 'ended')) await zone.advance(10)
  // From here on the journal cannot be replicated, and the host crashes before its peers count as out of sync.
  cutBoth(zone, holder, standbys)
  await zone.advance(1_150)
  zone.crashHost(holder)
  await expectFinished(zone, 40_000)
  expect([countStarts(zone), Object.values(zone.log.state().jobs.once!.outcomes)]).toEqual([6, Array(6).fill('succeeded')])
})

test('the start of a non-idempotent task is sent only when another host has stored it, so that no crash can lose the record', async () => {
  const { zone, holder, standbys } = await startZone(3_000)
  cutBoth(zone, holder, standbys)
  await zone.addJob({ id: 'once', tasks: 6, idempotent: false, urgent: true })
  await zone.advance(1_100)
  expect(countStarts(zone)).toBe(0)
  zone.crashHost(holder)
  await expectFinished(zone, 40_000)
  expect([countStarts(zone), Object.values(zone.log.state().jobs.once!.outcomes)]).toEqual([6, Array(6).fill('succeeded')])
})

test('a coordinator whose replica of the log is behind does not start tasks that have ended since', async () => {
  const { zone, holder, standbys } = await startZone(1_000)
  await zone.addJob({ id: 'a', tasks: 3 })
  await zone.advance(100)
  standbys.forEach((id) => zone.setLogReachable(id, false))
  await zone.advance(8_000)
  expect(Object.values(zone.log.state().jobs.a!.outcomes)).toHaveLength(3)
  cutBoth(zone, 'leader', [...zone.hosts.keys()])
  zone.crashHost(holder)
  await zone.advance(20_000)
  expect([zone.findActive()!.listTasks({}).map((view) => view.state), countStarts(zone)]).toEqual([['held', 'held', 'held'], 3])
  zone.network.healAll()
  standbys.forEach((id) => zone.setLogReachable(id, true))
  await expectFinished(zone, 5_000)
  expect(countStarts(zone)).toBe(3)
})

test('the outcome of a job that is missing from the replicated state of the next coordinator is kept until the job appears there', async () => {
  const { zone, holder, standbys } = await startZone(1_000)
  standbys.forEach((id) => zone.setLogReachable(id, false))
  await zone.advance(500)
  await zone.addJob({ id: 'once', tasks: 3, idempotent: false })
  zone.setLogReachable(holder, false)
  await zone.advance(5_000)
  expect([countStarts(zone), zone.log.state().jobs.once!.outcomes]).toEqual([3, {}])
  cutBoth(zone, 'leader', [...zone.hosts.keys()])
  zone.crashHost(holder)
  await zone.advance(20_000)
  zone.network.healAll()
  standbys.forEach((id) => zone.setLogReachable(id, true))
  await expectFinished(zone, 10_000)
  expect([countStarts(zone), Object.values(zone.log.state().jobs.once!.outcomes)]).toEqual([3, Array(3).fill('succeeded')])
})

test.each([
  { lost: 'the workers', outcome: 'unknown' },
  { lost: 'nothing else', outcome: 'succeeded' }
])('after the loss of the journal and of $lost, a cancellation does not hide that a task has run', async ({ lost, outcome }) => {
  const { zone } = await startZone(1_000, { hosts: 2 })
  await zone.addJob({ id: 'once', tasks: 2, idempotent: false })
  zone.hosts.forEach((_, id) => zone.setLogReachable(id, false))
  cutBoth(zone, 'leader', [...zone.hosts.keys()])
  await zone.advance(5_000)
  expect(countStarts(zone)).toBe(2)
  for (const id of zone.hosts.keys()) zone.crashHost(id)
  if (lost === 'the workers') {
    zone.workers.forEach((_, id) => {
      zone.crashWorker(id)
      zone.restartWorker(id)
    })
  }
  await zone.propose({ kind: 'job.cancel', job: 'once', member: 'parish' })
  zone.network.healAll()
  for (const id of zone.hosts.keys()) {
    zone.setLogReachable(id, true)
    await zone.startHost(id)
  }
  await expectFinished(zone, 40_000)
  expect(Object.values(zone.log.state().jobs.once!.outcomes)).toEqual([outcome, outcome])
})

test('after the loss of the journal, tasks wait until the task leases of an unreachable worker have expired', async () => {
  const { zone } = await startZone(60_000)
  await zone.addJob({ id: 'a', tasks: 4 })
  await zone.advance(4_000)
  expect(zone.events.map((event) => event.worker)).toEqual(['w1', 'w1', 'w1', 'w1'])
  for (const id of zone.hosts.keys()) zone.crashHost(id)
  cutBoth(zone, 'w1', [...zone.hosts.keys()])
  for (const id of zone.hosts.keys()) await zone.startHost(id)
  await zone.advance(10_000)
  expect([zone.findActive()!.listTasks({ state: 'held' }).length, countStarts(zone)]).toEqual([4, 4])
  await zone.advance(20_000)
  expect(countStarts(zone)).toBe(8)
  zone.network.healAll()
  await expectFinished(zone, 70_000)
})

test('a non-idempotent task is not sent if the second host is lost while its start is recorded', async () => {
  const { zone, standbys } = await startZone(1_000, { hosts: 2 })
  zone.crashHost(standbys[0]!)
  await zone.addJob({ id: 'once', tasks: 2, idempotent: false, urgent: true })
  await zone.advance(10_000)
  expect([countStarts(zone), zone.findActive()!.listTasks({ state: 'queued' }).length]).toEqual([0, 2])
  await zone.startHost(standbys[0]!)
  await expectFinished(zone, 10_000)
  expect(countStarts(zone)).toBe(2)
})

test('a host that restarts at once does not continue in the epoch of its previous process', async () => {
  const { zone, holder } = await startZone(20_000, { hosts: 2 })
  await zone.addJob({ id: 'once', tasks: 4, idempotent: false })
  await zone.advance(4_000)
  const { epoch } = zone.findActive()!.status()
  zone.crashHost(holder)
  await zone.startHost(holder)
  await zone.advance(6_000)
  expect(zone.findActive()!.status().epoch).toBe(epoch + 1)
  await expectFinished(zone, 30_000)
  expect([countStarts(zone), Object.values(zone.log.state().jobs.once!.outcomes)]).toEqual([4, Array(4).fill('succeeded')])
})

test('a coordinator that had to wait for a second host still waits for the reports of the workers before it starts tasks', async () => {
  const { zone } = await startZone(3_000)
  await zone.addJob({ id: 'once', tasks: 4, idempotent: false })
  await zone.advance(2_000)
  expect(countStarts(zone)).toBe(4)
  const [first, second] = [...zone.hosts.keys()]
  for (const id of zone.hosts.keys()) zone.crashHost(id)
  await zone.advance(3_000)
  await zone.startHost(first!)
  await zone.advance(25_000)
  await zone.addJob({ id: 'later', tasks: 1 })
  // The second host cannot reach the leader and so gets no epoch; the first one becomes active after its long wait.
  zone.network.cut(second!, 'leader')
  await zone.startHost(second!)
  await expectFinished(zone, 20_000)
  expect([countStarts(zone), Object.values(zone.log.state().jobs.once!.outcomes)]).toEqual([5, Array(4).fill('succeeded')])
})

test('an attempt without a record in the journal or the replicated state is stopped', async () => {
  const zone = await createFakeZone({ hosts: 2, workers: 2, plan: () => ({ runMs: 30_000, result: 'succeeded' }) })
  const worker = zone.workers.get('w1')!
  const term = { epoch: 0, round: 0, host: 'old' }
  const request = { term, sequence: 1, grantMs: 10, taskLeaseMs: 600_000, commands: [], acknowledged: [] }
  const { incarnation, reply } = worker.handle(request)
  const start: WorkerCommand = {
    kind: 'start', task: 'gone/0', attempt: 1, token: { epoch: 0, sequence: 1 }, member: 'parish', jobClass: 'match', command: '', cores: 1, memoryBytes: 1, accelerators: 0
  }
  worker.handle({ ...request, sequence: 2, seen: { incarnation, reply }, commands: [start] })
  await zone.advance(12_000)
  expect([worker.listTasks(), zone.events.at(-1)!.result]).toEqual([[], 'stopped'])
})

test('a zone that is partitioned while its witness set changes has one coordinator', async () => {
  const { zone, holder, standbys } = await startZone(60_000, { workers: 9, registered: 3 })
  await zone.addJob({ id: 'a', tasks: 3 })
  await zone.advance(3_000)
  const old = ['w1', 'w2', 'w3']
  const added = ['w4', 'w5', 'w6', 'w7', 'w8', 'w9']
  // The coordinator reaches all workers of its witness set; the other hosts reach only the workers that register now.
  cutBoth(zone, holder, [...standbys, ...added, 'leader'])
  zone.setLogReachable(holder, false)
  standbys.forEach((host) => cutBoth(zone, host, old))
  for (const id of added) await zone.propose({ kind: 'worker.register', worker: { id, availabilityZone: ZONE, rack: 'r', capacity: FAKE_CAPACITY, url: id } })
  for (let second = 0; second < 40; second++) {
    await zone.advance(1_000)
    expect(zone.listActive()).toEqual([holder])
  }
  zone.network.healAll()
  zone.setLogReachable(holder, true)
  await expectFinished(zone, 70_000)
  expect(countStarts(zone)).toBe(3)
})

test('workers that left or were unreachable for ten minutes are removed from the witness set, and may return', async () => {
  const { zone } = await startZone(1_000)
  zone.workers.get('w1')!.setLeaving()
  zone.crashWorker('w2')
  await zone.advance(6_000)
  expect(Object.keys(zone.log.state().workers)).toEqual(['w2', 'w3', 'w4', 'w5'])
  await zone.advance(600_000)
  expect(Object.keys(zone.log.state().workers)).toEqual(['w3', 'w4', 'w5'])
  zone.restartWorker('w2')
  const back = zone.hosts.get('h1')!.coordinator!.registerWorker({ id: 'w2', availabilityZone: ZONE, rack: 'other', capacity: FAKE_CAPACITY, url: 'w2' })
  await zone.advance(8_000)
  expect([await back, zone.findActive()!.status().workers]).toEqual([true, { up: 4, known: 4 }])
})
