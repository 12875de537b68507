import { expect, test } from 'vitest'
import type { Decision, Placement } from '../../src/coordination/placement/types.js'
import { createFirstFitPlacement } from '../../src/fakes/firstFitPlacement.js'
import { createFakeZone, FAKE_CAPACITY, ZONE, type FakeZone } from '../../src/fakes/zone.js'
import { decodeCheckpoint } from '../../src/fakes/worker.js'
import { findUnfinished, findViolations } from '../fuzz/taskOracle.js'

const START_MS = 5_000

async function startZone (runMs: number, more: Partial<Parameters<typeof createFakeZone>[0]> = {}): Promise<FakeZone> {
  const zone = await createFakeZone({ hosts: 2, workers: 3, plan: () => ({ runMs, result: 'succeeded' }), ...more })
  await zone.advance(START_MS)
  return zone
}

async function expectFinished (zone: FakeZone, ms: number): Promise<void> {
  await zone.advance(ms)
  expect([...findViolations(zone), ...findUnfinished(zone)]).toEqual([])
}

const listOutcomes = (zone: FakeZone, job: string): string[] => Object.values(zone.log.state().jobs[job]!.outcomes)
const listStarts = (zone: FakeZone, task: string) => zone.events.filter((event) => event.kind === 'started' && event.task === task)
const findWorkerOf = (zone: FakeZone, task: string): string => zone.findActive()!.getTask(task)!.worker!

test('an evicted task resumes exactly once, from the checkpoint of its stop', async () => {
  const zone = await startZone(10_000)
  await zone.addJob({ id: 'a', idempotent: false })
  await zone.advance(5_000)
  zone.evict('a/0', findWorkerOf(zone, 'a/0'))
  await expectFinished(zone, 20_000)
  const [first, second, ...rest] = listStarts(zone, 'a/0')
  const end = zone.events.find((event) => event.kind === 'ended')!
  expect([rest, second!.checkpoint, listOutcomes(zone, 'a')]).toEqual([[], end.checkpoint, ['succeeded']])
  expect(decodeCheckpoint(end.checkpoint)).toBeCloseTo(end.at - first!.at)
})

test('a task whose worker crashes during the eviction resumes from the last reported checkpoint', async () => {
  const zone = await startZone(30_000)
  await zone.addJob({ id: 'a' })
  await zone.advance(3_000)
  const worker = findWorkerOf(zone, 'a/0')
  zone.workers.get(worker)!.saveCheckpoint('a/0')
  await zone.advance(3_000)
  const { checkpoint } = zone.findActive()!.getTask('a/0')!
  expect(checkpoint).toBeDefined()
  zone.evict('a/0', worker)
  await zone.advance(400)
  zone.crashWorker(worker)
  await expectFinished(zone, 70_000)
  expect(listStarts(zone, 'a/0').map((start) => start.checkpoint)).toEqual([undefined, checkpoint])
})

test('the cancellation of a large job ends queued tasks at once and running ones when they have stopped', async () => {
  const zone = await startZone(60_000)
  await zone.addJob({ id: 'wave', tasks: 500 })
  await zone.addJob({ id: 'kept', tasks: 2 })
  await zone.advance(3_000)
  const running = zone.findActive()!.listTasks({ state: 'running' }).length
  await zone.propose({ kind: 'job.cancel', job: 'wave', member: 'parish' })
  await zone.advance(4_000)
  expect(listOutcomes(zone, 'wave')).toEqual(Array(500).fill('cancelled'))
  expect([running, zone.events.filter((event) => event.result === 'stopped').length]).toEqual([12, 12])
  await expectFinished(zone, 70_000)
})

test('when a task is cancelled while it completes, the worker decides which came first', async () => {
  const zone = await startZone(4_000)
  await zone.addJob({ id: 'race', tasks: 12 })
  await zone.advance(2_000)
  const first = Math.min(...zone.events.map((event) => event.at))
  await zone.advance(first + 4_000 - zone.clock.now() - 20)
  await zone.propose({ kind: 'job.cancel', job: 'race', member: 'parish' })
  await expectFinished(zone, 10_000)
  const ends = zone.events.filter((event) => event.kind === 'ended').map((event) => [event.task, event.result === 'stopped' ? 'cancelled' : event.result])
  const outcomes = Object.entries(zone.log.state().jobs.race!.outcomes).map(([number, outcome]) => [`race/${number}`, outcome])
  expect(Object.fromEntries(outcomes)).toEqual(Object.fromEntries(ends))
})

test('idempotent tasks of a lost worker resume after their leases have expired, and others get the outcome unknown', async () => {
  const zone = await startZone(30_000)
  await zone.addJob({ id: 'a' })
  await zone.addJob({ id: 'once', idempotent: false })
  await zone.advance(3_000)
  const lostAt = zone.clock.now()
  expect([findWorkerOf(zone, 'a/0'), findWorkerOf(zone, 'once/0')]).toEqual(['w1', 'w1'])
  zone.crashWorker('w1')
  await zone.advance(20_000)
  expect(listOutcomes(zone, 'once')).toEqual(['unknown'])
  const restart = listStarts(zone, 'a/0')[1]!
  // The lease counts from the last reply, which was sent at most one exchange interval before the crash.
  expect(restart.at - lostAt).toBeGreaterThan(14_000)
  expect(restart.worker).not.toBe('w1')
  await expectFinished(zone, 45_000)
})

test('a restarted worker is recognised at its first reply, so its tasks do not wait until their leases have expired', async () => {
  const zone = await startZone(6_000)
  await zone.addJob({ id: 'a' })
  await zone.advance(3_000)
  const worker = findWorkerOf(zone, 'a/0')
  zone.crashWorker(worker)
  await zone.advance(100)
  zone.restartWorker(worker)
  await zone.advance(6_000)
  expect(listStarts(zone, 'a/0')).toHaveLength(2)
  await expectFinished(zone, 10_000)
})

test('a leaving worker gets no new tasks, and its tasks move to other workers after a checkpoint', async () => {
  const zone = await startZone(12_000)
  await zone.addJob({ id: 'a', tasks: 4 })
  await zone.advance(3_000)
  zone.workers.get('w1')!.setLeaving()
  await zone.advance(4_000)
  expect(zone.workers.get('w1')!.listTasks()).toEqual([])
  await expectFinished(zone, 20_000)
  expect(zone.events.filter((event) => event.kind === 'started').map((event) => event.checkpoint === undefined)).toEqual([true, true, true, true, false, false, false, false])
})

test('a drain that an operator has requested survives the crash of the coordinator', async () => {
  const zone = await startZone(20_000)
  await zone.addJob({ id: 'a', tasks: 4 })
  await zone.advance(3_000)
  zone.findActive()!.drainWorker('w1')
  await zone.advance(100)
  zone.crashHost(zone.listActive()[0]!)
  await zone.advance(10_000)
  expect(zone.workers.get('w1')!.listTasks()).toEqual([])
  await expectFinished(zone, 30_000)
})

test('a worker whose guard refuses a task delays the task but does not fail it', async () => {
  const zone = await startZone(2_000, { workers: 1 })
  zone.workers.get('w1')!.setGuard(true)
  await zone.addJob({ id: 'a', idempotent: false })
  await zone.advance(8_000)
  expect(zone.events).toEqual([])
  zone.workers.get('w1')!.setGuard(false)
  await expectFinished(zone, 8_000)
  expect(listOutcomes(zone, 'a')).toEqual(['succeeded'])
})

test('an idempotent task fails for good after its third failure, a non-idempotent one after its first', async () => {
  const zone = await startZone(0, { plan: () => ({ runMs: 500, result: 'failed' }) })
  await zone.addJob({ id: 'a' })
  await zone.addJob({ id: 'once', idempotent: false })
  await expectFinished(zone, 20_000)
  expect([listStarts(zone, 'a/0').length, listStarts(zone, 'once/0').length]).toEqual([3, 1])
  expect([listOutcomes(zone, 'a'), listOutcomes(zone, 'once')]).toEqual([['failed'], ['failed']])
})

test('outcomes are kept while the log is unreachable, and recorded later by one summary a second', async () => {
  const zone = await startZone(1_000)
  await zone.addJob({ id: 'a', tasks: 30 })
  await zone.advance(200)
  const summaries: number[] = []
  zone.log.subscribe((entry) => { if (entry.kind === 'job.summary') summaries.push(zone.clock.now()) })
  zone.hosts.forEach((_, id) => zone.setLogReachable(id, false))
  await zone.advance(20_000)
  expect(listOutcomes(zone, 'a')).toEqual([])
  zone.hosts.forEach((_, id) => zone.setLogReachable(id, true))
  await zone.addJob({ id: 'b', tasks: 30 })
  await expectFinished(zone, 20_000)
  summaries.slice(1).forEach((at, index) => expect(at - summaries[index]!).toBeGreaterThanOrEqual(1_000))
})

test('a worker is never allocated more than its capacity, whatever the placement decides', async () => {
  const createReckless = (): Placement => {
    const placement = createFirstFitPlacement()
    const decide = (now: number): Decision[] => placement.decide(now).map((decision) => decision.kind === 'start' ? { ...decision, worker: 'w1' } : decision)
    return { ...placement, decide }
  }
  const zone = await startZone(1_500, { createPlacement: createReckless })
  await zone.addJob({ id: 'a', tasks: 9, size: { cores: 1.5, memoryBytes: 1e8, accelerators: 0 } })
  await expectFinished(zone, 60_000)
  expect(FAKE_CAPACITY.cores).toBe(4)
})

test('a dropped start uses no capacity in the placement once its task is cancelled', async () => {
  const zone = await startZone(1_000, { hosts: 1, workers: 1 })
  await zone.addJob({ id: 'once', tasks: 4, idempotent: false })
  await zone.advance(3_000)
  await zone.propose({ kind: 'job.cancel', job: 'once', member: 'parish' })
  await zone.addJob({ id: 'a', tasks: 4 })
  await expectFinished(zone, 8_000)
  expect([listOutcomes(zone, 'once'), listOutcomes(zone, 'a')]).toEqual([Array(4).fill('cancelled'), Array(4).fill('succeeded')])
})

test('replicas of a service run in the zone, restart after a failure, and end with the service', async () => {
  let failures = 1
  const zone = await startZone(0, { plan: () => failures-- > 0 ? { runMs: 1_000, result: 'failed' } : { runMs: Infinity, result: 'succeeded' } })
  const size = { cores: 1, memoryBytes: 1e8, accelerators: 0 }
  const service = { id: 'intake', member: 'parish', objective: { latencyMs: 50, quantile: 0.99, target: 0.99 }, replicasPerZone: 3, size, weight: 1 }
  await zone.propose({ kind: 'service.put', service })
  await zone.advance(8_000)
  expect(zone.findActive()!.listTasks({ state: 'running' }).map((view) => view.id).sort()).toEqual(['service:intake/0', 'service:intake/1', 'service:intake/2'])
  await zone.propose({ kind: 'service.put', service: { ...service, replicasPerZone: 1 } })
  await zone.advance(4_000)
  expect(zone.findActive()!.listTasks({}).map((view) => view.id)).toEqual(['service:intake/0'])
  await zone.propose({ kind: 'service.remove', service: 'intake', member: 'parish' })
  await zone.advance(4_000)
  expect([zone.findActive()!.listTasks({}), findViolations(zone)]).toEqual([[], []])
})

test('a zone does not start tasks that were handed to another zone', async () => {
  const zone = await startZone(1_000, { workers: 1 })
  await zone.propose({ kind: 'host.add', host: { id: 'x1', availabilityZone: 'almendral', region: 'r', peerAddress: '', httpAddress: '', hasDisk: false } })
  await zone.addJob({ id: 'a', tasks: 6, size: { cores: 4, memoryBytes: 1e8, accelerators: 0 } })
  await zone.propose({ kind: 'zone.transfer', from: ZONE, to: 'almendral', tasks: [['a', 4], ['a', 5]] })
  await zone.advance(20_000)
  expect([listOutcomes(zone, 'a').length, zone.findActive()!.listTasks({})]).toEqual([4, []])
})
