import { expect, test } from 'vitest'
import type { RequestOutcome } from '../../src/coordination/routing/index.js'
import type { FakeExecutor } from '../../src/fakes/executor.js'
import { countRuns, createCluster, createRequest, settle, type Cluster } from './cluster.js'

async function start (executors: number, options: Parameters<typeof createCluster>[0] = {}, progressMs = 0): Promise<{ cluster: Cluster, first: FakeExecutor }> {
  const cluster = createCluster(options)
  cluster.startHost('h1', 'z1')
  const [first] = Array.from({ length: executors }, (_, index) => cluster.addExecutor({ id: `e${index}`, availabilityZone: 'z1', progressMs }))
  await cluster.clock.advance(2000)
  return { cluster, first: first as FakeExecutor }
}

const send = (cluster: Cluster, work: string, extra = {}, timeoutMs = 1000): Promise<RequestOutcome> =>
  cluster.router('h1').routeRequest(createRequest(cluster, work, extra, timeoutMs))

async function sendSeries (cluster: Cluster, count: number, everyMs: number, extra = {}): Promise<RequestOutcome[]> {
  const sent: Array<Promise<RequestOutcome>> = []
  for (let index = 0; index < count; index++) {
    sent.push(send(cluster, `s${cluster.clock.now()}`, extra))
    await cluster.clock.advance(everyMs)
  }
  return await settle(cluster, Promise.all(sent))
}

test('a request that is not idempotent is not sent on a connection that fell silent while idle', async () => {
  const { cluster, first } = await start(1)
  await settle(cluster, send(cluster, 'before'))
  first.silenceConnections()
  await cluster.clock.advance(1200)
  expect(await settle(cluster, send(cluster, 'after'))).toMatchObject({ kind: 'answered' })
  await cluster.stop()
})

test('an idempotent request on a connection that falls silent is retried elsewhere long before its deadline', async () => {
  const { cluster, first } = await start(2)
  await sendSeries(cluster, 30, 20, { idempotent: true })
  first.behaviour.mode = 'swallowing'
  const startedAt = cluster.clock.now()
  const outcomes = await settle(cluster, Promise.all([1, 2, 3, 4].map((n) => send(cluster, `w${n}`, { idempotent: true }, 4000))))
  expect(outcomes.every((outcome) => outcome.kind === 'answered')).toBe(true)
  expect(cluster.clock.now() - startedAt).toBeLessThan(1000)
  await cluster.stop()
})

test('if the executor announces progress lines, a silent connection ends even a non-idempotent request before its deadline', async () => {
  const { cluster, first } = await start(1, {}, 100)
  first.behaviour.mode = 'mute'
  const startedAt = cluster.clock.now()
  expect(await settle(cluster, send(cluster, 'w', {}, 4000))).toMatchObject({ kind: 'unknown', next: 'ask-again' })
  expect(cluster.clock.now() - startedAt).toBeLessThan(1000)
  await cluster.stop()
})

test('a failing executor is ejected, and gets requests again after it has recovered', async () => {
  const { cluster, first } = await start(4)
  first.behaviour.mode = 'failing'
  const outcomes = await sendSeries(cluster, 200, 5, { idempotent: true })
  const failed = first.record.runs.length
  expect(outcomes.filter((outcome) => outcome.kind !== 'answered' || outcome.status >= 500).length).toBeLessThanOrEqual(4)
  expect(failed).toBeLessThan(20)
  first.behaviour.mode = 'normal'
  await sendSeries(cluster, 1000, 5, { idempotent: true })
  expect(first.record.runs.length - failed).toBeGreaterThan(100)
  await cluster.stop()
})

test('at most 30% of the executors are ejected, so that a fault of all of them does not leave none', async () => {
  const { cluster } = await start(10)
  cluster.executors.forEach((executor) => { executor.behaviour.mode = 'failing' })
  await sendSeries(cluster, 150, 5)
  const ejected = cluster.router('h1').listTargets().filter((item) => item.ejected).length
  expect(ejected).toBeGreaterThan(0)
  expect(ejected).toBeLessThanOrEqual(3)
  await cluster.stop()
})

test('retries stay within a tenth of the requests when every executor fails', async () => {
  const { cluster } = await start(4)
  cluster.executors.forEach((executor) => { executor.behaviour.mode = 'failing' })
  await sendSeries(cluster, 300, 5, { idempotent: true })
  const runs = [...cluster.executors.values()].reduce((sum, executor) => sum + executor.record.runs.length, 0)
  expect(runs).toBeGreaterThanOrEqual(300)
  expect(runs).toBeLessThanOrEqual(300 * 1.1 + 10)
  await cluster.stop()
})

test('a request that an executor refuses is retried on another one, even if it is not idempotent', async () => {
  const { cluster, first } = await start(2)
  first.behaviour.mode = 'refusing'
  const outcomes = await sendSeries(cluster, 20, 20)
  expect(outcomes.filter((outcome) => outcome.kind !== 'answered')).toEqual([])
  await cluster.stop()
})

test('a burst of requests of one member does not delay another member, because the queue serves members in turn', async () => {
  const { cluster, first } = await start(1, { policy: { queuePerSlot: 20 } })
  first.behaviour.serviceMs = () => 50
  const wave = Array.from({ length: 100 }, (_, n) => send(cluster, `wave${n}`, { member: 'rum' }, 3000))
  await cluster.clock.advance(20)
  const startedAt = cluster.clock.now()
  expect((await settle(cluster, send(cluster, 'rival', {}, 3000))).kind).toBe('answered')
  expect(cluster.clock.now() - startedAt).toBeLessThan(120)
  await settle(cluster, Promise.all(wave))
  await cluster.stop()
})

test('a full queue rejects requests of the member that has the most queued, and a request that would miss its deadline is refused at once and never runs', async () => {
  const { cluster, first } = await start(1, { policy: { queuePerSlot: 2 } })
  first.behaviour.serviceMs = () => 200
  await settle(cluster, send(cluster, 'first'))
  const wave = Array.from({ length: 60 }, (_, n) => send(cluster, `wave${n}`, { member: 'rum' }, 5000))
  const rivals = Array.from({ length: 4 }, (_, n) => send(cluster, `rival${n}`, {}, 5000))
  await cluster.clock.advance(30)
  const startedAt = cluster.clock.now()
  expect(await settle(cluster, send(cluster, 'hopeless', {}, 100))).toMatchObject({ kind: 'not-run', reason: 'deadline-too-close' })
  expect(cluster.clock.now() - startedAt).toBeLessThan(20)
  const outcomes = await settle(cluster, Promise.all([...wave, ...rivals]), 8000)
  const shed = outcomes.filter((outcome) => outcome.kind === 'not-run' && outcome.reason === 'queue-full').length
  expect(shed).toBeGreaterThan(20)
  expect(outcomes.slice(60).every((outcome) => outcome.kind === 'answered')).toBe(true)
  expect(countRuns(cluster, 'hopeless')).toBe(0)
  await cluster.stop()
})

test('a host whose queues exceed its memory limit rejects requests of the service with the lowest weight first', async () => {
  const { cluster } = await start(0, { services: { light: 1, heavy: 5 } })
  const body = Buffer.alloc(12 * 1024 * 1024)
  const light = [1, 2, 3].map((n) => send(cluster, `l${n}`, { service: 'light', body, idempotent: true }, 500))
  const heavy = [1, 2, 3].map((n) => send(cluster, `h${n}`, { service: 'heavy', body, idempotent: true }, 500))
  const reasons = (await settle(cluster, Promise.all([...light, ...heavy]))).map((outcome) => outcome.kind === 'not-run' ? outcome.reason : outcome.kind)
  expect(reasons).toEqual(['no-capacity', 'no-capacity', 'shed', 'no-capacity', 'no-capacity', 'no-capacity'])
  await cluster.stop()
})
