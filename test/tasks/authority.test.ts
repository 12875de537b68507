import { expect, test } from 'vitest'
import { createWitnesses } from '../../src/coordination/authority/index.js'
import { createSyncedJournalStore } from '../../src/fakes/journalStore.js'
import { createFakeZone, FAKE_CAPACITY, ZONE, type FakeZone } from '../../src/fakes/zone.js'
import { findUnfinished, findViolations } from '../fuzz/taskOracle.js'

const LONG_RUN = { plan: () => ({ runMs: 30_000, result: 'succeeded' as const }) }

/** Ms until a host other than `former` is the active coordinator, in steps of 50 ms; fails if two are active. */
async function measureTakeover (zone: FakeZone, former: string, limitMs = 12_000): Promise<number> {
  for (let ms = 0; ms < limitMs; ms += 50) {
    if (zone.listActive().some((host) => host !== former)) return ms
    expect(zone.listActive().length).toBeLessThan(2)
    await zone.advance(50)
  }
  return Infinity
}

async function startBusyZone (hosts: number, more: Partial<Parameters<typeof createFakeZone>[0]> = {}): Promise<{ zone: FakeZone, holder: string }> {
  const zone = await createFakeZone({ hosts, workers: 5, ...LONG_RUN, ...more })
  await zone.addJob({ id: 'long', tasks: 8 })
  await zone.addJob({ id: 'once', tasks: 4, idempotent: false })
  await zone.advance(8_000)
  return { zone, holder: zone.listActive()[0]! }
}

function isolate (zone: FakeZone, host: string, others: string[]): void {
  others.forEach((other) => {
    zone.network.cut(host, other)
    zone.network.cut(other, host)
  })
  if (others.includes('leader')) zone.setLogReachable(host, false)
}

async function expectFinished (zone: FakeZone, ms: number): Promise<void> {
  await zone.advance(ms)
  expect([...findViolations(zone), ...findUnfinished(zone)]).toEqual([])
}

const countAttempts = (zone: FakeZone): number => zone.events.filter((event) => event.kind === 'started').length

test('after the coordinator crashes, another host is active within about 3 s and running tasks continue', async () => {
  const { zone, holder } = await startBusyZone(3)
  const before = zone.events.length
  zone.crashHost(holder)
  expect(await measureTakeover(zone, holder)).toBeLessThanOrEqual(3_500)
  await expectFinished(zone, 40_000)
  expect(zone.events.slice(before).filter((event) => event.result !== undefined && event.result !== 'succeeded')).toEqual([])
  expect(countAttempts(zone)).toBe(12)
})

test('in a zone partitioned from the leader, a host of the journal group raises the round when the coordinator crashes', async () => {
  const { zone, holder } = await startBusyZone(3)
  zone.hosts.forEach((_, id) => isolate(zone, id, ['leader']))
  await zone.advance(3_000)
  zone.crashHost(holder)
  expect(await measureTakeover(zone, holder)).toBeLessThanOrEqual(4_000)
  expect(zone.findActive()!.status().term).toMatchObject({ epoch: 1, round: 1 })
  await zone.advance(40_000)
  expect(zone.findActive()!.listTasks({ state: 'succeeded' })).toHaveLength(12)
  expect(Object.values(zone.log.state().jobs.long!.outcomes)).toEqual([])
  zone.network.healAll()
  zone.hosts.forEach((_, id) => zone.setLogReachable(id, true))
  await expectFinished(zone, 5_000)
  // The end of the partition causes no takeover: the coordinator of the raised round stays.
  expect(zone.findActive()!.status().term).toMatchObject({ epoch: 1, round: 1 })
})

test('a zone of two hosts survives the loss of either; non-idempotent tasks then wait until the journal is replicated again', async () => {
  const { zone, holder } = await startBusyZone(2)
  zone.crashHost(holder)
  expect(await measureTakeover(zone, holder)).toBeLessThanOrEqual(3_500)
  await zone.addJob({ id: 'after', tasks: 2 })
  await zone.addJob({ id: 'after-once', tasks: 2, idempotent: false })
  await zone.advance(60_000)
  const { after, 'after-once': once } = zone.log.state().jobs
  expect([after!.outcomes, once!.outcomes]).toEqual([{ 0: 'succeeded', 1: 'succeeded' }, {}])
  await zone.startHost(holder)
  await expectFinished(zone, 40_000)
})

test('a coordinator that is partitioned from the other hosts but not from the workers stays the only one', async () => {
  const { zone, holder } = await startBusyZone(2)
  isolate(zone, holder, ['h1', 'h2', 'leader'].filter((host) => host !== holder))
  expect(await measureTakeover(zone, holder, 20_000)).toBe(Infinity)
  expect(zone.listActive()).toEqual([holder])
  await zone.advance(20_000)
  // No other host stores the outcomes, so they are not reported as final yet.
  expect(zone.findActive()!.listTasks({}).map((view) => view.state)).toEqual(Array(12).fill('ending'))
  expect(zone.events.filter((event) => event.result === 'succeeded')).toHaveLength(12)
  zone.network.healAll()
  zone.setLogReachable(holder, true)
  await expectFinished(zone, 10_000)
})

test('a coordinator that is partitioned from all hosts and workers is replaced and its tasks are kept', async () => {
  const { zone, holder } = await startBusyZone(2)
  isolate(zone, holder, ['h1', 'h2', 'leader', 'w1', 'w2', 'w3', 'w4', 'w5'].filter((host) => host !== holder))
  expect(await measureTakeover(zone, holder)).toBeLessThanOrEqual(3_500)
  await zone.advance(30_000)
  expect(countAttempts(zone)).toBe(12)
  zone.network.healAll()
  zone.setLogReachable(holder, true)
  await expectFinished(zone, 10_000)
  expect(zone.listActive()).toHaveLength(1)
})

test('a coordinator that was paused for longer than its lease sends no effective command when it continues', async () => {
  const { zone, holder } = await startBusyZone(3)
  zone.pauseHost(holder, true)
  expect(await measureTakeover(zone, holder)).toBeLessThanOrEqual(3_500)
  await zone.advance(2_000)
  zone.pauseHost(holder, false)
  await zone.advance(20)
  expect(zone.listActive()).not.toContain(holder)
  await zone.addJob({ id: 'more', tasks: 4 })
  await expectFinished(zone, 70_000)
  expect(countAttempts(zone)).toBe(16)
})

test('when all hosts of a zone without a leader restart, the journal is rebuilt from the reports of the workers', async () => {
  const { zone } = await startBusyZone(3)
  zone.hosts.forEach((_, id) => isolate(zone, id, ['leader']))
  await zone.advance(2_000)
  for (const id of zone.hosts.keys()) zone.crashHost(id)
  await zone.advance(1_000)
  for (const id of zone.hosts.keys()) await zone.startHost(id)
  await zone.advance(20_000)
  expect(zone.listActive()).toHaveLength(1)
  await zone.advance(20_000)
  expect(zone.findActive()!.listTasks({ state: 'succeeded' })).toHaveLength(12)
  expect(countAttempts(zone)).toBe(12)
  zone.network.healAll()
  zone.hosts.forEach((_, id) => zone.setLogReachable(id, true))
  await expectFinished(zone, 10_000)
})

test('a zone without a leader that restarts repeatedly never uses a term twice', async () => {
  const { zone } = await startBusyZone(2)
  zone.hosts.forEach((_, id) => isolate(zone, id, ['leader']))
  const terms = new Set<string>()
  for (let time = 0; time < 4; time++) {
    for (const id of zone.hosts.keys()) zone.crashHost(id)
    for (const id of zone.hosts.keys()) await zone.startHost(id)
    await zone.advance(12_000)
    expect(zone.listActive()).toHaveLength(1)
    terms.add(JSON.stringify(zone.findActive()!.status().term))
  }
  expect(terms.size).toBe(4)
  await zone.addJob({ id: 'more', tasks: 4 })
  zone.network.healAll()
  zone.hosts.forEach((_, id) => zone.setLogReachable(id, true))
  await expectFinished(zone, 90_000)
})

test('after the loss of the journal, a non-idempotent task that no worker reports gets the outcome unknown', async () => {
  const { zone } = await startBusyZone(2)
  zone.hosts.forEach((_, id) => isolate(zone, id, ['leader']))
  await zone.advance(1_000)
  for (const id of zone.hosts.keys()) zone.crashHost(id)
  zone.workers.forEach((_, id) => zone.crashWorker(id))
  await zone.advance(1_000)
  zone.workers.forEach((_, id) => zone.restartWorker(id))
  zone.network.healAll()
  for (const id of zone.hosts.keys()) {
    zone.setLogReachable(id, true)
    await zone.startHost(id)
  }
  await expectFinished(zone, 80_000)
  expect(Object.values(zone.log.state().jobs.once!.outcomes)).toEqual(Array(4).fill('unknown'))
  expect(Object.values(zone.log.state().jobs.long!.outcomes)).toEqual(Array(8).fill('succeeded'))
  await zone.propose({ kind: 'job.resolve', job: 'once', task: 0, outcome: 'succeeded', setBy: 'operator' })
  expect(zone.log.state().jobs.once!.outcomes[0]).toBe('succeeded')
})

test('a single host with a synced journal restarts without losing or repeating tasks', async () => {
  const { zone } = await startBusyZone(1, { stores: { h1: createSyncedJournalStore() } })
  zone.crashHost('h1')
  await zone.advance(2_000)
  await zone.startHost('h1')
  await expectFinished(zone, 50_000)
  expect(countAttempts(zone)).toBe(12)
})

test('a host whose term was superseded coordinates again when the coordinator of the higher term crashes', async () => {
  const { zone, holder } = await startBusyZone(2)
  const other = holder === 'h1' ? 'h2' : 'h1'
  zone.hosts.forEach((_, id) => isolate(zone, id, ['leader']))
  zone.pauseHost(holder, true)
  await zone.advance(8_000)
  expect(zone.listActive()).toContain(other)
  zone.pauseHost(holder, false)
  await zone.advance(2_000)
  zone.network.healAll()
  zone.hosts.forEach((_, id) => zone.setLogReachable(id, true))
  await zone.advance(3_000)
  expect(zone.listActive()).toEqual([other])
  zone.crashHost(other)
  expect(await measureTakeover(zone, other)).toBeLessThanOrEqual(4_000)
  await zone.startHost(other)
  await expectFinished(zone, 60_000)
})

test('after a planned stop, another host takes over before a failure would be detected', async () => {
  const { zone, holder } = await startBusyZone(3)
  const stopped = zone.hosts.get(holder)!.coordinator!.stop()
  expect(await measureTakeover(zone, holder)).toBeLessThanOrEqual(1_500)
  await stopped
  await expectFinished(zone, 40_000)
  expect(countAttempts(zone)).toBe(12)
})

test('a new epoch is issued when more than a tenth of the workers are new, and not for fewer', async () => {
  const zone = await createFakeZone({ hosts: 2, workers: 12 })
  await zone.advance(6_000)
  const register = (id: string): Promise<void> =>
    zone.propose({ kind: 'worker.register', worker: { id, availabilityZone: ZONE, rack: 'r', capacity: FAKE_CAPACITY, url: id } })
  const { epoch } = zone.findActive()!.status()
  await register('w13')
  await zone.advance(5_000)
  expect(zone.findActive()!.status().epoch).toBe(epoch)
  await register('w14')
  await zone.advance(5_000)
  expect(zone.findActive()!.status().epoch).toBe(epoch + 1)
  expect(zone.log.state().zones[ZONE]!.witnesses).toHaveLength(14)
})

test('a zone without workers keeps its tasks until workers register with any host', async () => {
  const zone = await createFakeZone({ hosts: 2, workers: 3, registered: 0 })
  await zone.addJob({ id: 'early', tasks: 3 })
  await zone.advance(6_000)
  expect(zone.findActive()!.listTasks({ state: 'queued' })).toHaveLength(3)
  const standby = [...zone.hosts.values()].find((host) => !zone.listActive().includes(host.id))!
  const announced = [...zone.workers.keys()].map((id) => standby.coordinator!.registerWorker({ id, availabilityZone: ZONE, rack: 'r', capacity: FAKE_CAPACITY, url: id }))
  await zone.advance(100)
  expect(await Promise.all(announced)).toEqual([true, true, true])
  await expectFinished(zone, 15_000)
})

test('a coordinator lease needs a majority of every witness set that an earlier coordinator may still use', () => {
  const witnesses = createWitnesses([['a', 'b', 'c', 'd', 'e'], ['x', 'y', 'z']])
  const grant = (ids: string[]): void => ids.forEach((id) => witnesses.recordGrant(id, 0, 1))
  grant(['a', 'b', 'x', 'y'])
  expect(witnesses.getDeadline()).toBe(-Infinity)
  witnesses.removeGrant('x')
  witnesses.removeGrant('y')
  grant(['c'])
  expect([witnesses.getDeadline(), witnesses.isInSyncSetStored(1)]).toEqual([-Infinity, false])
  grant(['x', 'y'])
  expect([witnesses.getDeadline(), witnesses.isInSyncSetStored(1), witnesses.isInSyncSetStored(2)]).toEqual([2_475, true, false])
})
