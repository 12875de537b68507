import { expect, test } from 'vitest'
import { countRuns, createCluster, createRequest, getText, settle, type Cluster } from './cluster.js'

async function startOne (): Promise<Cluster> {
  const cluster = createCluster()
  cluster.startHost('h1', 'z1')
  cluster.startHost('h2', 'z1')
  cluster.addExecutor({ id: 'e1', availabilityZone: 'z1' })
  await cluster.clock.advance(2000)
  return cluster
}

test('a request reaches an announced executor and its caller gets the whole answer', async () => {
  const cluster = await startOne()
  for (const host of ['h1', 'h2']) {
    const outcome = await settle(cluster, cluster.router(host).routeRequest(createRequest(cluster, `w-${host}`)))
    expect(outcome).toMatchObject({ kind: 'answered', status: 200, key: expect.any(String) })
    expect(getText(outcome)).toBe(`w-${host} body of w-${host}`)
  }
  await cluster.stop()
})

test('without an executor the outcome is "not-run", so that the caller may send it again elsewhere', async () => {
  const cluster = createCluster()
  cluster.startHost('h1', 'z1')
  expect(await settle(cluster, cluster.router('h1').routeRequest(createRequest(cluster, 'w')))).toMatchObject({ kind: 'not-run', reason: 'no-capacity' })
  await cluster.stop()
})

test('a request that ran without an answer is "unknown" and a resend does not run it again', async () => {
  const cluster = await startOne()
  const executor = cluster.executors.get('e1')
  if (executor === undefined) throw new Error('no executor')
  executor.behaviour.mode = 'truncating'
  const first = await settle(cluster, cluster.router('h1').routeRequest(createRequest(cluster, 'w')))
  expect(first).toMatchObject({ kind: 'unknown', reason: 'truncated', next: 'ask-again' })
  executor.behaviour.mode = 'normal'
  const second = await settle(cluster, cluster.router('h2').routeRequest(createRequest(cluster, 'w', { key: first.key })))
  expect(second).toMatchObject({ kind: 'unknown', reason: 'truncated' })
  expect(countRuns(cluster, 'w')).toBe(1)
  await cluster.stop()
})
