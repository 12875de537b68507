import { expect, test } from 'vitest'
import { createCluster, type ConfigurationCluster } from '../support/configurationCluster.js'

async function startCluster (options: Parameters<typeof createCluster>[0] = {}): Promise<ConfigurationCluster> {
  const cluster = createCluster(options)
  cluster.logs.elect('h1')
  await cluster.advance(2500)
  expect(cluster.listClaimants()).toEqual(cluster.names())
  return cluster
}

/** Ms until every listed host claims the revision, in steps of 20 ms; fails after 3 s. */
async function measureUntilClaimed (cluster: ConfigurationCluster, revision: number, hosts: string[]): Promise<number> {
  const start = cluster.clock.now()
  const isDone = (): boolean => cluster.activated.length - 1 >= revision &&
    hosts.every((name) => cluster.listClaimants().includes(name))
  while (!isDone() && cluster.clock.now() < start + 3000) await cluster.advance(20)
  expect(isDone()).toBe(true)
  return cluster.clock.now() - start
}

test('with all hosts reachable, a change waits for their confirmations, not for their leases to expire', async () => {
  const cluster = await startCluster({ hosts: 9 })
  const outcome = cluster.change('h7', { preset: 'peak' })
  const ms = await measureUntilClaimed(cluster, 1, cluster.names())
  expect(ms).toBeLessThanOrEqual(200)
  expect(await outcome).toEqual({ kind: 'in-force', revision: 1, currentRevision: 1 })
  expect(cluster.violations).toEqual([])
})

test('an unreachable host delays a change by at most its lease, and claims no revision afterwards', async () => {
  const cluster = await startCluster({ hosts: 9 })
  cluster.isolate('h9')
  cluster.change('h2', { preset: 'peak' })
  const ms = await measureUntilClaimed(cluster, 1, cluster.names().filter((name) => name !== 'h9'))
  expect(ms).toBeLessThan(2000)
  const view = cluster.host('h9').configuration.getConfiguration()
  expect(view).toMatchObject({ claim: 'isolated', preset: undefined, revision: 0, lastKnownPreset: 'ordinary', leaseDeadline: undefined })
  expect(view.policy.evictionsPerMinute).toBe(0)
  expect(cluster.violations).toEqual([])
})

test('of two concurrent changes with the same base revision, one is accepted and the other is told which one', async () => {
  const cluster = await startCluster()
  const outcomes = [cluster.change('h2', { preset: 'peak', setBy: 'ana' }), cluster.change('h3', { preset: 'maintenance', setBy: 'bo' })]
  await cluster.advance(3000)
  const kinds = (await Promise.all(outcomes)).map((outcome) => outcome.kind).sort()
  expect(kinds).toEqual(['in-force', 'lost-race'])
  const lost = (await Promise.all(outcomes)).find((outcome) => outcome.kind === 'lost-race')
  expect(lost).toMatchObject({ winner: { revision: 1, preset: cluster.activated[1] } })
  expect(cluster.violations).toEqual([])
})

test('a request that is sent again after a lost reply gets the first outcome and changes nothing more', async () => {
  const cluster = await startCluster()
  const change = { requestId: 'resent', baseRevision: 0, preset: 'peak' }
  const first = cluster.change('h3', change, 300)
  await cluster.advance(1)
  cluster.network.setLink('h1', 'h3', false)
  await cluster.advance(400)
  expect(await first).toMatchObject({ kind: 'outcome-unknown', requestId: 'resent' })
  await cluster.advance(2000)
  const again = cluster.change('h2', change)
  await cluster.advance(500)
  expect(await again).toEqual({ kind: 'in-force', revision: 1, currentRevision: 1 })
  expect(cluster.activated).toEqual(['ordinary', 'peak'])
  expect(cluster.violations).toEqual([])
})

test('a leader that fails between acceptance and activation does not lose the change', async () => {
  const cluster = await startCluster()
  cluster.isolate('h5')
  const outcome = cluster.change('h2', { preset: 'peak' }, 6000)
  await cluster.advance(200)
  expect(cluster.logs.committedState().pending).toMatchObject({ preset: 'peak' })
  cluster.host('h1').process.crash()
  cluster.logs.elect('h3')
  await cluster.advance(2000)
  expect(await outcome).toMatchObject({ kind: 'in-force', revision: 1 })
  expect(cluster.violations).toEqual([])
})

test('a leader that resumes after a freeze and a change neither claims nor grants the old revision', async () => {
  const cluster = await startCluster()
  cluster.host('h1').process.freeze()
  cluster.logs.elect('h2')
  cluster.change('h3', { preset: 'peak' }, 6000)
  await cluster.advance(4000)
  expect(cluster.activated).toEqual(['ordinary', 'peak'])
  cluster.host('h1').process.thaw()
  await cluster.advance(50)
  await cluster.advance(1500)
  expect(cluster.listClaimants()).toEqual(cluster.names())
  expect(cluster.violations).toEqual([])
})

test('a deposed leader that still reaches some hosts extends no lease beyond the next activation', async () => {
  const cluster = await startCluster();
  ['h3', 'h4', 'h5'].forEach((name) => ['h1', 'h2'].forEach((other) => {
    cluster.network.setLink(name, other, false)
    cluster.network.setLink(other, name, false)
  }))
  cluster.logs.elect('h3')
  await cluster.advance(100)
  const outcome = cluster.change('h4', { preset: 'maintenance' }, 5000)
  await cluster.advance(2500)
  expect(await outcome).toMatchObject({ kind: 'in-force' })
  expect(cluster.listClaimants()).toEqual(['h3', 'h4', 'h5'])
  expect(cluster.host('h2').configuration.getConfiguration()).toMatchObject({ claim: 'isolated' })
  expect(cluster.violations).toEqual([])
})

test('a host that receives messages of the leader but cannot send to it loses its claim before the activation', async () => {
  const cluster = await startCluster()
  cluster.names().filter((name) => name !== 'h4').forEach((other) => cluster.network.setLink('h4', other, false))
  cluster.change('h2', { preset: 'peak' })
  const ms = await measureUntilClaimed(cluster, 1, ['h1', 'h2', 'h3', 'h5'])
  expect(ms).toBeLessThan(2000)
  expect(cluster.violations).toEqual([])
})

test('a host with the slowest permitted clock has lost its claim when a leader with the fastest one activates a change', async () => {
  const cluster = await startCluster({ rates: [1.01, 1, 1, 1, 0.99] })
  cluster.isolate('h5')
  cluster.change('h2', { preset: 'peak' })
  await cluster.advance(2500)
  expect(cluster.activated).toEqual(['ordinary', 'peak'])
  expect(cluster.violations).toEqual([])
})

test('presets that change back and forth never revert by themselves during a leader change and with an unreachable host', async () => {
  const cluster = await startCluster()
  cluster.isolate('h5')
  const presets = ['peak', 'ordinary', 'peak', 'maintenance', 'ordinary']
  for (const [index, preset] of presets.entries()) {
    if (index === 2) cluster.logs.elect('h2')
    const outcome = cluster.change('h3', { preset }, 4000)
    await cluster.advance(4000)
    expect(await outcome).toEqual({ kind: 'in-force', revision: index + 1, currentRevision: index + 1 })
  }
  cluster.network.restoreLinks()
  await cluster.advance(1000)
  expect(cluster.listClaimants()).toEqual(cluster.names())
  expect(cluster.activated).toEqual(['ordinary', ...presets])
  expect(cluster.violations).toEqual([])
})

test('a planned stop releases the lease, so that a change does not wait for it', async () => {
  const cluster = await startCluster()
  const stopped = cluster.host('h4').configuration.stop()
  await cluster.advance(100)
  await stopped
  expect(cluster.host('h4').configuration.getConfiguration()).toMatchObject({ claim: 'isolated', preset: undefined })
  cluster.change('h2', { preset: 'peak' })
  expect(await measureUntilClaimed(cluster, 1, ['h1', 'h2', 'h3', 'h5'])).toBeLessThanOrEqual(300)
  expect(cluster.violations).toEqual([])
})

test('a change that cannot be accepted is reported with the reason', async () => {
  const cluster = await startCluster()
  const outcomes = [cluster.change('h2', { preset: 'siesta' }), cluster.change('h2', { preset: 'Not An Id' })]
  await cluster.advance(500)
  expect(await Promise.all(outcomes)).toMatchInlineSnapshot(`
    [
      {
        "kind": "unknown-preset",
        "known": [
          "ordinary",
          "peak",
          "maintenance",
        ],
        "preset": "siesta",
      },
      {
        "kind": "invalid-change",
        "message": "preset: lower-case letters, digits, dot, dash and underscore; at most 63",
      },
    ]
  `)
  cluster.isolate('h2')
  const cut = cluster.change('h2', { preset: 'peak' }, 500)
  await cluster.advance(1000)
  expect((await cut).kind).toBe('outcome-unknown')
})
