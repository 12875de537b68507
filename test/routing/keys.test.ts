import { expect, test } from 'vitest'
import type { RequestOutcome } from '../../src/coordination/routing/index.js'
import { countRuns, createCluster, createRequest, getText, settle, type Cluster } from './cluster.js'

async function start (options: Parameters<typeof createCluster>[0] = {}): Promise<Cluster> {
  const cluster = createCluster(options)
  for (const host of ['h1', 'h2', 'h3']) cluster.startHost(host, 'z1')
  cluster.addExecutor({ id: 'e1', availabilityZone: 'z1' })
  await cluster.clock.advance(2000)
  return cluster
}

const send = (cluster: Cluster, host: string, work: string, key?: string, extra = {}): Promise<RequestOutcome> =>
  settle(cluster, cluster.router(host).routeRequest(createRequest(cluster, work, { ...(key === undefined ? {} : { key }), ...extra })))

test('a resend at any host returns the recorded answer and does not run the request again', async () => {
  const cluster = await start()
  const key = cluster.router('h1').issueKey('misterios')
  expect(getText(await send(cluster, 'h1', 'w', key))).toBe('w body of w')
  for (const host of ['h1', 'h2', 'h3']) expect(getText(await send(cluster, host, 'w', key))).toBe('w body of w')
  expect(countRuns(cluster, 'w')).toBe(1)
  await cluster.stop()
})

test('a key that is forged, malformed, expired, or of another member or request is refused with the failure kind of that fault', async () => {
  const cluster = await start({ limits: { keyLifetimeMs: 3000 } })
  const key = cluster.router('h1').issueKey('misterios')
  await send(cluster, 'h1', 'w', key)
  const other = cluster.router('h2').issueKey('misterios')
  const forged = `${other.split('.')[0]}.${key.split('.')[1]}`
  const kinds = [
    await send(cluster, 'h2', 'w', forged), await send(cluster, 'h2', 'w', 'no key'), await send(cluster, 'h2', 'w', key, { member: 'rum' }),
    await send(cluster, 'h2', 'w', key, { body: Buffer.from('other') })
  ].map((outcome) => outcome.kind === 'refused' ? outcome.failure.kind : outcome.kind)
  await cluster.clock.advance(3000)
  const late = await send(cluster, 'h3', 'w', key)
  expect([...kinds, late.kind === 'refused' ? late.failure.kind : late.kind])
    .toEqual(['forged-key', 'malformed-key', 'wrong-member', 'key-reused', 'expired-key'])
  expect(countRuns(cluster, 'w')).toBe(1)
  await cluster.stop()
})

test('after the issuer has failed a peer returns the recorded answer', async () => {
  const cluster = await start()
  const key = cluster.router('h1').issueKey('misterios')
  await send(cluster, 'h1', 'w', key)
  cluster.crashHost('h1')
  expect(getText(await send(cluster, 'h3', 'w', key))).toBe('w body of w')
  cluster.startHost('h1', 'z1')
  expect(getText(await send(cluster, 'h1', 'w', key))).toBe('w body of w')
  expect(countRuns(cluster, 'w')).toBe(1)
  await cluster.stop()
})

test('if the issuer fails while the request runs, a resend is "unknown", not "not-run", and does not run it again', async () => {
  const cluster = await start()
  const executor = cluster.executors.get('e1')
  if (executor !== undefined) executor.behaviour.serviceMs = () => 400
  const key = cluster.router('h1').issueKey('misterios')
  cluster.router('h1').routeRequest(createRequest(cluster, 'w', { key }))
  await cluster.clock.advance(100)
  cluster.crashHost('h1')
  expect(await send(cluster, 'h2', 'w', key)).toMatchObject({ kind: 'unknown', reason: 'in-progress', next: 'ask-again' })
  cluster.startHost('h1', 'z1')
  expect(await send(cluster, 'h2', 'w', key)).toMatchObject({ kind: 'unknown', reason: 'issuer-lost', next: 'check-by-other-means' })
  expect(countRuns(cluster, 'w')).toBe(1)
  await cluster.stop()
})

test('a resend waits for the answer while the request runs, and gets an answer that came after the deadline', async () => {
  const cluster = await start()
  const executor = cluster.executors.get('e1')
  if (executor !== undefined) executor.behaviour.serviceMs = () => 1500
  const key = cluster.router('h1').issueKey('misterios')
  expect(await send(cluster, 'h1', 'w', key)).toMatchObject({ kind: 'unknown', next: 'ask-again' })
  await cluster.clock.advance(1000)
  expect(getText(await send(cluster, 'h2', 'w', key))).toBe('w body of w')
  expect(countRuns(cluster, 'w')).toBe(1)
  await cluster.stop()
})

test('memory for idempotency records is bounded: a full store refuses new keys, and old answers are evicted while their records stay', async () => {
  const cluster = await start({ limits: { records: 3, answerBytes: 300 } })
  const keys = [1, 2, 3, 4].map(() => cluster.router('h1').issueKey('misterios'))
  for (const [index, key] of keys.entries()) {
    const outcome = await send(cluster, 'h1', `w${index}`, key, { body: Buffer.alloc(120) })
    expect(outcome.kind).toBe(index < 3 ? 'answered' : 'unknown')
  }
  expect(await send(cluster, 'h1', 'w0', keys[0], { body: Buffer.alloc(120) })).toMatchObject({ kind: 'unknown', reason: 'answer-dropped' })
  expect([0, 1, 2, 3].map((index) => countRuns(cluster, `w${index}`))).toEqual([1, 1, 1, 0])
  await cluster.stop()
})
