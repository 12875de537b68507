import { expect, test } from 'vitest'
import { createManualClock } from '../../src/common/index.js'
import { createLeaseTable } from '../../src/coordination/routing/leaseTable.js'
import { announcementSchema, type RequestOutcome } from '../../src/coordination/routing/index.js'
import { createCluster, createRequest, settle, type Cluster } from './cluster.js'

async function start (zones: Record<string, string[]>, executors: Record<string, string>): Promise<Cluster> {
  const cluster = createCluster()
  for (const [zone, hosts] of Object.entries(zones)) hosts.forEach((host) => cluster.startHost(host, zone))
  for (const [id, availabilityZone] of Object.entries(executors)) cluster.addExecutor({ id, availabilityZone })
  await cluster.clock.advance(2000)
  return cluster
}

const sendMany = (cluster: Cluster, host: string, count: number, timeoutMs: number, idempotent = true): Array<Promise<RequestOutcome>> =>
  Array.from({ length: count }, (_, index) => cluster.router(host).routeRequest(createRequest(cluster, `${host}-${index}`, { idempotent }, timeoutMs)))

const findOwner = (cluster: Cluster, executor: string): string =>
  [...cluster.hosts.values()].find((host) => host.router.listTargets().some((item) => item.id === executor && item.home))?.id ?? ''

test('requests of all hosts together never exceed the slots and connections of an executor, and all of them are served', async () => {
  const cluster = await start({ z1: ['h1', 'h2'], z2: ['h3'] }, { e1: 'z1' })
  const { record } = cluster.executors.get('e1') as { record: { maxRunning: number, maxConnections: number } }
  const work = Promise.all(['h1', 'h2', 'h3'].flatMap((host) => sendMany(cluster, host, 14, 4000)))
  const outcomes = await settle(cluster, work, 6000)
  expect(outcomes.filter((outcome) => outcome.kind !== 'answered')).toEqual([])
  expect(record.maxRunning).toBe(8)
  expect(record.maxConnections).toBeLessThanOrEqual(60)
  await cluster.stop()
})

test('a new owner leases out no slot that requests of the failed owner still occupy', async () => {
  const cluster = await start({ z1: ['h1', 'h2'] }, { e1: 'z1' })
  const executor = cluster.executors.get('e1')
  const owner = findOwner(cluster, 'e1')
  const other = owner === 'h1' ? 'h2' : 'h1'
  if (executor !== undefined) executor.behaviour.serviceMs = () => 4000
  sendMany(cluster, owner, 6, 10_000, false)
  await cluster.clock.advance(500)
  cluster.crashHost(owner)
  sendMany(cluster, other, 8, 10_000)
  await cluster.clock.advance(2500)
  expect(executor?.countRunning()).toBe(8)
  expect(executor?.record.maxRunning).toBe(8)
  await cluster.stop()
})

test('a new owner grants leases only after those of the failed owner have expired, because their holders may still use them', async () => {
  // Without the wait, slots are exceeded only between the new owner's first grant and the expiry of the old leases, so
  // several offsets are tried.
  for (const [offset, wait] of [0, 80, 160].flatMap((first) => [500, 600, 700].map((second) => [first, second] as const))) {
    const cluster = await start({ z1: ['h1', 'h2', 'h3'] }, { e1: 'z1' })
    const executor = cluster.executors.get('e1')
    const owner = findOwner(cluster, 'e1')
    const hosts = ['h1', 'h2', 'h3']
    // The executor changes its owner to the next host of the list; the lease holder is the third one.
    const [other, holder] = [1, 2].map((step) => hosts[(hosts.indexOf(owner) + step) % hosts.length]) as [string, string]
    for (let round = 0; round < 10; round++) {
      sendMany(cluster, holder, 8, 400)
      await cluster.clock.advance(20)
    }
    await cluster.clock.advance(offset)
    cluster.crashHost(owner)
    // When the holder resumes, it uses its leases before it receives any message.
    const gate = cluster.hosts.get(holder)?.gate
    gate?.setFrozen(true)
    gate?.wait().then(() => sendMany(cluster, holder, 8, 3000))
    if (executor !== undefined) executor.behaviour.serviceMs = () => 2000
    sendMany(cluster, other, 8, 3000)
    await cluster.clock.advance(wait)
    gate?.setFrozen(false)
    await cluster.clock.advance(1500)
    expect(executor?.record.maxRunning).toBe(8)
    await cluster.stop()
  }
})

test('a report that was made before a lease expired does not free its slots, however late the report arrives', async () => {
  // Slots would be exceeded only if the report is made just before the holder uses its lease, so several waits are tried.
  for (let wait = 250; wait < 320; wait += 5) {
    const cluster = await start({ z1: ['h1', 'h2', 'h3'] }, { e1: 'z1' })
    const executor = cluster.executors.get('e1')
    const owner = findOwner(cluster, 'e1')
    const [holder, other] = ['h1', 'h2', 'h3'].filter((host) => host !== owner) as [string, string]
    const [ownerGate, holderGate] = [owner, holder].map((host) => cluster.hosts.get(host)?.gate)
    for (let round = 0; round < 10; round++) {
      sendMany(cluster, holder, 8, 400)
      await cluster.clock.advance(20)
    }
    holderGate?.setFrozen(true)
    holderGate?.wait().then(() => sendMany(cluster, holder, 8, 3000))
    await cluster.clock.advance(wait)
    if (executor !== undefined) executor.behaviour.serviceMs = () => 2000
    ownerGate?.setFrozen(true)
    cluster.network.setCut(owner, holder, 'silent')
    await cluster.clock.advance(40)
    holderGate?.setFrozen(false)
    sendMany(cluster, other, 8, 3000)
    await cluster.clock.advance(250)
    ownerGate?.setFrozen(false)
    await cluster.clock.advance(1000)
    expect(executor?.record.maxRunning).toBeLessThanOrEqual(8)
    await cluster.stop()
  }
})

test('a lease holder that was frozen does not use a lease that expired meanwhile', async () => {
  const cluster = await start({ z1: ['h1', 'h2', 'h3'] }, { e1: 'z1' })
  const executor = cluster.executors.get('e1')
  const owner = findOwner(cluster, 'e1')
  const [holder, other] = ['h1', 'h2', 'h3'].filter((host) => host !== owner) as [string, string]
  await settle(cluster, Promise.all(sendMany(cluster, holder, 8, 400)))
  const gate = cluster.hosts.get(holder)?.gate
  gate?.setFrozen(true)
  gate?.wait().then(() => sendMany(cluster, holder, 8, 3000))
  if (executor !== undefined) executor.behaviour.serviceMs = () => 2000
  sendMany(cluster, other, 8, 4000)
  await cluster.clock.advance(1800)
  expect(executor?.countRunning()).toBe(8)
  gate?.setFrozen(false)
  await cluster.clock.advance(50)
  expect(executor?.record.maxRunning).toBe(8)
  await cluster.stop()
})

test('an owner that its executor cannot reach any more stops granting leases, although it runs and other hosts reach it', async () => {
  const cluster = await start({ z1: ['h1', 'h2', 'h3'] }, { e1: 'z1' })
  const executor = cluster.executors.get('e1')
  const owner = findOwner(cluster, 'e1')
  const other = ['h1', 'h2', 'h3'].find((host) => host !== owner) as string
  cluster.deafHosts.add(owner)
  await cluster.clock.advance(2000)
  if (executor !== undefined) executor.behaviour.serviceMs = () => 2000
  sendMany(cluster, owner, 8, 3000)
  sendMany(cluster, other, 8, 3000)
  await cluster.clock.advance(1000)
  expect(executor?.record.maxRunning).toBe(8)
  await cluster.stop()
})

test('a lease request that arrives after a later one does not change the leases of its holder', async () => {
  const clock = createManualClock()
  const leaseTable = createLeaseTable({ clock, incarnation: '1', availabilityZone: 'z1' })
  const announcement = announcementSchema.parse({ kind: 'executor', id: 'e1', service: 'desk', availabilityZone: 'z1', rack: 'r', url: 'http://e1', incarnation: '1' })
  const state = { echo: undefined as string | undefined }
  for (let round = 0; round < 8; round++) {
    state.echo = leaseTable.announce({ ...announcement, echo: state.echo }).unwrap().echo
    await clock.advance(250)
  }
  const request = { holder: 'h1/1', availabilityZone: 'z1', sequence: 1, held: [], wants: [{ service: 'desk', slots: 1, avoid: [] }] }
  expect(leaseTable.applyRequest(request)?.loans[0]?.slots).toBe(1)
  expect(leaseTable.applyRequest({ ...request, sequence: 2, held: [{ executor: 'e1', slots: 1 }], wants: [{ service: 'desk', slots: 3, avoid: [] }] })?.loans[0]?.slots).toBe(4)
  expect(leaseTable.applyRequest(request)).toBeUndefined()
  expect(leaseTable.list()[0]?.lentSlots).toBe(4)
})

test('executors of the own zone are used first, those of another zone only while the own zone has no free slot', async () => {
  const cluster = await start({ z1: ['h1'], z2: ['h2'] }, { e1: 'z1', e2: 'z2' })
  const count = (id: string): number => cluster.executors.get(id)?.record.runs.length ?? 0
  await settle(cluster, Promise.all(sendMany(cluster, 'h1', 5, 1000)))
  expect([count('e1'), count('e2')]).toEqual([5, 0])
  cluster.executors.forEach((executor) => { executor.behaviour.serviceMs = () => 500 })
  const outcomes = await settle(cluster, Promise.all(sendMany(cluster, 'h1', 12, 900)))
  expect(outcomes.every((outcome) => outcome.kind === 'answered')).toBe(true)
  expect(count('e2')).toBeGreaterThan(0)
  await cluster.clock.advance(2000)
  expect(cluster.router('h2').listTargets().find((item) => item.id === 'e2')?.lentSlots).toBe(0)
  await cluster.stop()
})

test('within 3 s of leaving, an executor gets no new requests from any host, even one that its owner cannot reach, and its running requests end', async () => {
  const cluster = await start({ z1: ['h1', 'h2'] }, { e1: 'z1' })
  const executor = cluster.executors.get('e1')
  const [owner, other] = findOwner(cluster, 'e1') === 'h1' ? ['h1', 'h2'] : ['h2', 'h1']
  if (executor !== undefined) executor.behaviour.serviceMs = () => 300
  await settle(cluster, Promise.all(sendMany(cluster, other as string, 2, 1000)))
  const running = sendMany(cluster, other as string, 2, 1000)
  await cluster.clock.advance(50)
  cluster.network.setCut(owner as string, other as string, 'silent')
  executor?.setLeaving(true)
  expect((await settle(cluster, Promise.all(running))).every((outcome) => outcome.kind === 'answered')).toBe(true)
  await cluster.clock.advance(2500)
  const before = executor?.record.runs.length
  const outcomes = await settle(cluster, Promise.all(['h1', 'h2'].flatMap((host) => sendMany(cluster, host, 3, 500))))
  expect(outcomes.every((outcome) => outcome.kind === 'not-run')).toBe(true)
  expect(executor?.record.runs.length).toBe(before)
  await cluster.stop()
})

test('a drain lets requests in flight end, returns leases and copies the answers to a peer', async () => {
  const cluster = await start({ z1: ['h1', 'h2'] }, { e1: 'z1' })
  const executor = cluster.executors.get('e1')
  const owner = findOwner(cluster, 'e1')
  const host = owner === 'h1' ? 'h2' : 'h1'
  if (executor !== undefined) executor.behaviour.serviceMs = () => 400
  const running = sendMany(cluster, host, 3, 2000, false)
  await cluster.clock.advance(50)
  const drained = cluster.router(host).drain()
  expect(await settle(cluster, cluster.router(host).routeRequest(createRequest(cluster, 'new')))).toMatchObject({ kind: 'not-run', reason: 'draining' })
  const outcomes = await settle(cluster, Promise.all(running))
  expect(outcomes.every((outcome) => outcome.kind === 'answered')).toBe(true)
  await settle(cluster, drained)
  expect(cluster.router(owner).listTargets()[0]?.lentSlots).toBe(0)
  cluster.crashHost(host)
  const again = createRequest(cluster, `${host}-0`, { key: outcomes[0]?.key as string })
  expect(await settle(cluster, cluster.router(owner).routeRequest(again))).toMatchObject({ kind: 'answered' })
  await cluster.stop()
})

test('the executor is told the time left until the deadline', async () => {
  const cluster = await start({ z1: ['h1'] }, { e1: 'z1' })
  const seen: number[] = []
  const executor = cluster.executors.get('e1')
  if (executor !== undefined) executor.behaviour.serviceMs = (request) => { seen.push(Number(request.headers['sequoiadrift-remaining-ms'])); return 1 }
  await settle(cluster, Promise.all(sendMany(cluster, 'h1', 1, 700)))
  expect(seen[0]).toBeGreaterThan(600)
  expect(seen[0]).toBeLessThanOrEqual(700)
  await cluster.stop()
})
