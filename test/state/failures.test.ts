import { expect, test } from 'vitest'
import { createJobEntry as createJob, createMemberEntry as putMember } from '../../src/fakes/entries.js'
import type { FakeHost } from '../../src/fakes/fakeCluster.js'
import { createManualClock, createRandom, createSilentLogger } from '../../src/common/index.js'
import { createFakeDisk } from '../../src/fakes/fakeDisk.js'
import { createHostProcess } from '../../src/fakes/hostProcess.js'
import { createMemoryNetwork } from '../../src/fakes/memoryNetwork.js'
import { createReplica, MAX_ENTRY_BYTES } from '../../src/state/index.js'
import { getStatus, listFollowers, listMembers, startCluster } from './cluster.js'

test('a leader that loses all connections silently steps down, and an entry that it could not commit is never applied', async () => {
  const { clock, cluster, run, proposeOn } = await startCluster()
  const old = cluster.findLeader()!
  const { term } = getStatus(old)
  cluster.isolate(old.name)
  const lost = proposeOn(old, putMember('lost'), 20_000)
  await clock.advance(1050)
  expect(getStatus(old).role).toBe('follower')
  await clock.advance(2000)
  const next = cluster.findLeader()!
  expect(getStatus(next).term).toBeGreaterThan(term)
  expect(await run(proposeOn(next, putMember('kept')))).toMatchObject({ ok: true })
  cluster.rejoin(old.name)
  await clock.advance(3000)
  expect(await lost).toMatchObject({ err: true, val: { kind: 'not-recorded' } })
  cluster.hosts.forEach((host) => expect(listMembers(host)).toEqual(['kept']))
})

test('a host that returns after long isolation does not disturb the leader', async () => {
  const { clock, cluster } = await startCluster()
  const leader = cluster.findLeader()!
  const { term } = getStatus(leader)
  const isolated = listFollowers(cluster)[0]!
  cluster.isolate(isolated.name)
  await clock.advance(120_000)
  cluster.rejoin(isolated.name)
  await clock.advance(3000)
  expect(getStatus(leader)).toMatchObject({ role: 'leader', term })
  expect(getStatus(isolated)).toMatchObject({ term, leader: leader.name })
})

test('a host that has lost only its connection to the leader does not depose it', async () => {
  const { clock, cluster } = await startCluster()
  const leader = cluster.findLeader()!
  const { term } = getStatus(leader)
  const cut = listFollowers(cluster)[0]!
  cluster.setCut([leader.name], [cut.name], 'silent')
  cluster.setCut([cut.name], [leader.name], 'silent')
  await clock.advance(20_000)
  expect(getStatus(leader)).toMatchObject({ role: 'leader', term })
})

test.each(['to', 'from'])('after a one-way loss of the connections %s the leader, another host leads and can commit', async (direction) => {
  const { clock, cluster, run, proposeOn } = await startCluster()
  const leader = cluster.findLeader()!
  const names = [...cluster.hosts.keys()]
  if (direction === 'to') cluster.setCut(names, [leader.name], 'silent')
  else cluster.setCut([leader.name], names, 'silent')
  await clock.advance(4000)
  const next = cluster.findLeader()!
  expect(next.name).not.toBe(leader.name)
  expect(getStatus(leader).role).not.toBe('leader')
  expect(await run(proposeOn(next, putMember('kept')))).toMatchObject({ ok: true })
})

test('a request that is resent after its reply was lost returns the first outcome and is applied once', async () => {
  const { cluster, run, proposeOn } = await startCluster()
  const leader = cluster.findLeader()!
  await run(proposeOn(leader, putMember('parish')))
  const [caller, other] = listFollowers(cluster) as [FakeHost, FakeHost]
  cluster.network.setFaults(leader.name, caller.name, { cut: 'silent' })
  const unknown = await run(proposeOn(caller, createJob('job', 'request-1'), 500), 600)
  expect(unknown).toMatchObject({ err: true, val: { kind: 'outcome-unknown' } })
  expect(await run(proposeOn(other, createJob('job', 'request-1')))).toMatchObject({ ok: true })
  // Another request for the same job shows that the first one did take effect.
  expect(await run(proposeOn(other, createJob('job', 'request-2')))).toMatchObject({ err: true, val: { rejection: { kind: 'already-exists' } } })
})

test('a proposal whose message is delivered twice is appended once', async () => {
  const { cluster, run, proposeOn } = await startCluster()
  await run(proposeOn(cluster.findLeader()!, putMember('parish')))
  const before = getStatus(cluster.findLeader()!).commitIndex
  cluster.network.setAllFaults({ duplication: 1 })
  const caller = listFollowers(cluster)[0]!
  expect(await run(proposeOn(caller, createJob('job')))).toMatchObject({ ok: true })
  expect(getStatus(cluster.findLeader()!).commitIndex).toBe(before + 1)
})

test('without a majority a proposal fails with no-leader, which guarantees that it was not recorded', async () => {
  const { clock, cluster, run, proposeOn } = await startCluster()
  const [first, second] = listFollowers(cluster) as [FakeHost, FakeHost]
  cluster.findLeader()!.kill()
  first.kill()
  await clock.advance(3000)
  expect(await run(proposeOn(second, putMember('m')))).toMatchObject({ err: true, val: { kind: 'no-leader' } })
  expect(getStatus(second).survivableLosses).toBe(0)
})

test('a leader whose process was suspended does not answer a read with outdated state', async () => {
  const { clock, cluster, run, proposeOn, deadlineOf } = await startCluster()
  const old = cluster.findLeader()!
  old.process().freeze()
  await clock.advance(10_000)
  const next = cluster.listRunning().filter((host) => host !== old).find((host) => getStatus(host).role === 'leader')!
  await run(proposeOn(next, putMember('new')))
  old.process().resume()
  expect(getStatus(old).role).toBe('leader')
  const read = old.replica()!.readBarrier(deadlineOf(old)).then((result) => ({ result, members: listMembers(old) }))
  expect(await run(read)).toMatchObject({ result: { ok: true }, members: ['new'] })
})

test('a leader whose process was suspended and that is isolated answers no read, although its role is still leader', async () => {
  const { clock, cluster, run, deadlineOf } = await startCluster()
  const old = cluster.findLeader()!
  old.process().freeze()
  cluster.isolate(old.name)
  await clock.advance(10_000)
  old.process().resume()
  expect(getStatus(old).role).toBe('leader')
  expect(await run(old.replica()!.readBarrier(deadlineOf(old)))).toMatchObject({ err: true, val: { kind: 'no-leader' } })
})

test('a planned stop of the leader transfers the leadership within 100 ms', async () => {
  const { clock, cluster } = await startCluster()
  const old = cluster.findLeader()!
  old.replica()!.stop()
  await clock.advance(100)
  const next = cluster.listRunning().find((host) => host !== old && getStatus(host).role === 'leader')
  expect(next).toBeDefined()
})

test('a voter whose store fails stops and reports the failure, and the others continue', async () => {
  const { clock, cluster, run, proposeOn } = await startCluster()
  const broken = cluster.findLeader()!
  broken.disk!.setSyncFailures(1)
  await run(proposeOn(broken, putMember('m')))
  expect(broken.replica()!.failure()).toMatchObject({ kind: 'sync-failed' })
  expect(await proposeOn(broken, putMember('n'))).toMatchObject({ err: true, val: { kind: 'stopped' } })
  await clock.advance(2000)
  const next = cluster.findLeader()!
  expect(next.name).not.toBe(broken.name)
  expect(await run(proposeOn(next, putMember('o')))).toMatchObject({ ok: true })
})

// Guards against a process that ends again and again while its disk is full, and against a leader that stores nothing itself.
test('a leader whose disk is full transfers its leadership within 1 s, entries are committed meanwhile, and it stores them all once there is space again', async () => {
  const { clock, cluster, run, proposeOn } = await startCluster()
  const full = cluster.findLeader()!
  full.disk!.setCapacity(10)
  expect(await run(proposeOn(full, putMember('m')))).toMatchObject({ ok: true })
  await clock.advance(1000)
  const next = cluster.findLeader()!
  expect(next.name).not.toBe(full.name)
  expect(await run(proposeOn(next, putMember('n')))).toMatchObject({ ok: true })
  expect([full.replica()!.failure(), getStatus(full).role]).toEqual([undefined, 'follower'])
  full.disk!.setCapacity(1e9)
  await clock.advance(1500)
  expect(await run(proposeOn(next, putMember('o')))).toMatchObject({ ok: true })
  full.crash()
  listFollowers(cluster).forEach((host) => host.crash())
  await clock.advance(2000)
  full.start()
  next.kill()
  next.start()
  await clock.advance(4000)
  expect([listMembers(full), listMembers(next)]).toEqual([['m', 'n', 'o'], ['m', 'n', 'o']])
})

test('while the disks of a majority are full nothing is committed, and the proposals go on once there is space again', async () => {
  const { clock, cluster, run, proposeOn } = await startCluster()
  const full = cluster.listRunning().filter(({ name }) => ['a', 'b', 'c'].includes(name)).slice(0, 2)
  full.forEach((host) => host.disk!.setCapacity(10))
  expect((await run(proposeOn(cluster.findLeader()!, putMember('m')))).ok).toBe(false)
  expect(cluster.listRunning().flatMap(listMembers)).toEqual([])
  full.forEach((host) => host.disk!.setCapacity(1e9))
  await clock.advance(3000)
  expect(await run(proposeOn(cluster.findLeader()!, putMember('n')))).toMatchObject({ ok: true })
  expect(cluster.listRunning().map((host) => host.replica()!.failure())).toEqual([undefined, undefined, undefined, undefined])
})

test('a host with a corrupt store does not start until it is started with repair; it then catches up as a learner', async () => {
  const { clock, cluster, run, proposeOn } = await startCluster()
  await run(proposeOn(cluster.findLeader()!, putMember('m')))
  const host = listFollowers(cluster)[0]!
  host.crash()
  host.disk!.damage(host.disk!.listFiles().find((file) => file.startsWith('log-'))!, 40)
  host.start()
  await clock.advance(500)
  expect(host.openFailure()).toMatchObject({ kind: 'corrupt-record' })
  host.start({ repair: true })
  await clock.advance(4000)
  expect(getStatus(host)).toMatchObject({ role: 'learner' })
  expect(listMembers(host)).toEqual(['m'])
})

/** Restarts a host that was down while 300 entries of 4 KB were appended. Returns the bytes that it received to catch up. */
async function measureCatchUp (isInterrupted: boolean): Promise<{ bytes: number, largestBytes: number, jobs: number }> {
  const limits = { snapshotBytes: 1000, snapshotEntries: 100, retainedEntries: 1, retainedBytes: 1 }
  const { clock, cluster, run, proposeOn } = await startCluster({ limits })
  const host = listFollowers(cluster)[0]!
  host.kill()
  const leader = cluster.findLeader()!
  await run(proposeOn(leader, putMember('parish')))
  await run(Promise.all(Array.from({ length: 300 }, (_, index) => proposeOn(leader, createJob(`j${index}`, undefined, 'x'.repeat(4000))))))
  const before = cluster.network.getTraffic(host.name).bytes
  host.start()
  while (cluster.network.getTraffic(host.name).bytes - before < 500_000) await clock.advance(1)
  if (isInterrupted) cluster.setCut([leader.name], [host.name], 'silent')
  await clock.advance(700)
  cluster.rejoin(host.name)
  await clock.advance(3000)
  const { bytes, largestBytes } = cluster.network.getTraffic(host.name)
  return { bytes: bytes - before, largestBytes, jobs: Object.keys(host.replica()!.state().jobs).length }
}

test('a host that is far behind catches up by chunks of a snapshot, and an interrupted transfer is resumed', async () => {
  const uninterrupted = await measureCatchUp(false)
  const interrupted = await measureCatchUp(true)
  expect([uninterrupted.jobs, interrupted.jobs]).toEqual([300, 300])
  expect(Math.max(uninterrupted.largestBytes, interrupted.largestBytes)).toBeLessThanOrEqual(64 * 1024)
  // A transfer that started again would cost 500 KB more; a lost chunk costs 64 KB.
  expect(interrupted.bytes).toBeLessThan(uninterrupted.bytes + 150_000)
})

test('many small entries are sent in messages of at most 64 KB', async () => {
  const { clock, cluster, run, proposeOn } = await startCluster()
  const leader = cluster.findLeader()!
  cluster.isolate(leader.name)
  const results = Array.from({ length: 9000 }, () => proposeOn(leader, { kind: 'noop' }, 10_000))
  await clock.advance(300)
  cluster.rejoin(leader.name)
  expect((await run(Promise.all(results))).every((result) => result.ok)).toBe(true)
  cluster.hosts.forEach((host) => expect(cluster.network.getTraffic(host.name).largestBytes).toBeLessThanOrEqual(64 * 1024))
})

test('an entry that does not fit into one message is rejected', async () => {
  const { cluster, run, proposeOn } = await startCluster()
  const outcomes = Array.from({ length: Math.ceil(MAX_ENTRY_BYTES / 60) }, (_, index): [string, number, 'succeeded'] => ['x'.repeat(60), index, 'succeeded'])
  const result = await run(proposeOn(cluster.findLeader()!, { kind: 'job.summary', availabilityZone: 'z', outcomes }))
  expect(result).toMatchObject({ err: true, val: { kind: 'entry-too-large', limit: MAX_ENTRY_BYTES } })
})

test.each(['__proto__', 'constructor'])('the id %s, a property that every object inherits, is rejected and does not count as a known request id', async (key) => {
  const { cluster, run, proposeOn } = await startCluster()
  const leader = cluster.findLeader()!
  const proposals = [putMember('m', key), putMember(key)].map((entry) => proposeOn(leader, entry))
  const results = await run(Promise.all(proposals))
  results.forEach((result) => expect(result).toMatchObject({ err: true, val: { kind: 'invalid-entry' } }))
})

test('a jump of the wall clock does not affect the leadership', async () => {
  const { clock, cluster } = await startCluster()
  const before = getStatus(cluster.findLeader()!)
  clock.setWallOffset(-86_400_000)
  await clock.advance(5000)
  expect(getStatus(cluster.findLeader()!)).toMatchObject({ term: before.term, leader: before.leader })
})

test('without proposals the replication traffic stays below 2 KB/s on each of nine hosts', async () => {
  const { clock, cluster } = await startCluster({ spares: [], learners: ['d', 'e', 'f', 'g', 'h', 'i'] })
  const names = [...cluster.hosts.keys()]
  const before = names.map((name) => cluster.network.getTraffic(name).bytes)
  await clock.advance(60_000)
  const rates = names.map((name, position) => (cluster.network.getTraffic(name).bytes - before[position]!) / 60)
  expect(Math.max(...rates)).toBeLessThan(2048)
})

// Guards against a voter that never takes part in an election again after one unexpected error.
test('a voter whose elections have failed unexpectedly is elected later', async () => {
  const clock = createManualClock()
  const disk = createFakeDisk({ clock, random: createRandom(1) })
  const random = createRandom(1)
  let draws = 0
  // The second number is drawn for the first election deadline.
  const failing = { ...random, next: () => { draws += 1; if (draws === 2) throw new Error('unexpected'); return random.next() } }
  const starting = createReplica({
    deployment: 'test', self: 'a', availabilityZone: 'z', clock, random: failing, network: createMemoryNetwork({ clock, random: createRandom(1) }).connect('a', createHostProcess(clock)), logger: createSilentLogger(), disk: disk.open(), bootstrapVoters: ['a']
  })
  await clock.advance(5000)
  const replica = (await starting).unwrap()
  expect([draws > 2, replica.failure(), replica.status().role]).toEqual([true, undefined, 'leader'])
})
