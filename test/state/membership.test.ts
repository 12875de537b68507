import { expect, test } from 'vitest'
import { createMemberEntry as putMember } from '../../src/fakes/entries.js'
import type { FakeHost } from '../../src/fakes/fakeCluster.js'
import { getStatus, listFollowers, listMembers, startCluster } from './cluster.js'

test('a host that lost its disk returns as a new incarnation, does not vote for the old one, and can replace it as a voter', async () => {
  const { clock, cluster, run, proposeOn, deadlineOf } = await startCluster()
  const leader = cluster.findLeader()!
  const [lost, other] = listFollowers(cluster) as [FakeHost, FakeHost]
  await run(proposeOn(leader, putMember('m')))
  lost.crash()
  lost.disk!.erase()
  lost.start()
  await clock.advance(4000)
  expect(getStatus(lost)).toMatchObject({ role: 'learner', voters: ['a', 'b', 'c'] })
  expect(listMembers(lost)).toEqual(['m'])
  expect(getStatus(leader).survivableLosses).toBe(0)
  // The old incarnation cannot vote any more, so without the other follower there is no majority.
  cluster.isolate(other.name)
  await clock.advance(2000)
  expect(cluster.findLeader()).toBeUndefined()
  cluster.rejoin(other.name)
  await clock.advance(4000)
  const again = cluster.findLeader()!
  expect(await run(again.replica()!.replaceVoter(lost.name, lost.name, deadlineOf(again)))).toMatchObject({ ok: true })
  expect(getStatus(again).survivableLosses).toBe(1)
})

test.each(['lost', 'working'])('if a second host fails right after a %s voter was replaced, no entry is lost', async (first) => {
  const { cluster, run, proposeOn, deadlineOf, clock } = await startCluster()
  const leader = cluster.findLeader()!
  const [replaced, second] = listFollowers(cluster) as [FakeHost, FakeHost]
  const entries = Array.from({ length: 50 }, (_, index) => putMember(`m${index}`))
  await run(Promise.all(entries.map((entry) => proposeOn(leader, entry))))
  if (first === 'lost') {
    replaced.crash()
    replaced.disk!.erase()
  }
  const change = leader.replica()!.replaceVoter(replaced.name, 'd', deadlineOf(leader))
  const progress = { isReplaced: false }
  change.then(() => { progress.isReplaced = true })
  while (!progress.isReplaced) await clock.advance(5)
  expect((await change).unwrap()).toMatchObject([leader.name, second.name, 'd'].sort().map((host) => ({ host })))
  leader.crash()
  leader.disk!.erase()
  replaced.crash()
  await clock.advance(4000)
  const next = cluster.findLeader()!
  expect(['d', second.name]).toContain(next.name)
  expect(listMembers(next)).toHaveLength(50)
  expect(await run(proposeOn(next, putMember('after')))).toMatchObject({ ok: true })
})

test('a change of the voters during a network partition never creates two majorities', async () => {
  const { cluster, run, proposeOn, deadlineOf, clock } = await startCluster({ spares: ['d', 'e'] })
  const old = cluster.findLeader()!
  const [left, right] = listFollowers(cluster) as [FakeHost, FakeHost]
  // The old leader keeps only the spares, which do not vote yet.
  const inside = [old.name, 'd', 'e']
  cluster.setCut(inside, [left.name, right.name], 'silent')
  cluster.setCut([left.name, right.name], inside, 'silent')
  const changes = await run(Promise.all(['d', 'e'].map((host) => old.replica()!.addVoter(host, deadlineOf(old)))))
  expect(changes.map((change) => change.err && change.val.kind)).toEqual([expect.stringMatching(/unsafe-change|not-recorded|outcome-unknown|no-leader/), 'change-in-progress'])
  const next = cluster.findLeader()!
  expect([left, right]).toContain(next)
  expect(await run(proposeOn(next, putMember('kept')))).toMatchObject({ ok: true })
  cluster.network.setAllFaults({ cut: 'none' })
  await clock.advance(4000)
  cluster.hosts.forEach((host) => expect([listMembers(host), getStatus(host).voters]).toEqual([['kept'], ['a', 'b', 'c']]))
})

test('a learner that has not replicated all committed entries does not become a voter', async () => {
  const { cluster, run, proposeOn, deadlineOf, clock } = await startCluster()
  const leader = cluster.findLeader()!
  cluster.network.setFaults(leader.name, 'd', { minDelayMs: 400, maxDelayMs: 400 })
  await run(proposeOn(leader, putMember('m')), 5)
  const change = leader.replica()!.addVoter('d', deadlineOf(leader, 200))
  await clock.advance(250)
  expect(await change).toMatchObject({ err: true, val: { kind: 'not-caught-up', host: 'd' } })
  expect(getStatus(leader).voters).toEqual(['a', 'b', 'c'])
})

test('unsafe changes of the voters are rejected', async () => {
  const { cluster, run, deadlineOf } = await startCluster({ voters: ['a', 'b', 'c', 'g', 'h', 'i', 'j'], learners: ['f'] })
  const leader = cluster.findLeader()!
  const other = listFollowers(cluster)[0]!
  const replica = leader.replica()!
  const refuse = async (change: Promise<{ val: unknown }>) => (await run(change)).val
  expect(await refuse(replica.addVoter('d', deadlineOf(leader)))).toEqual({ kind: 'too-many-voters', limit: 7 })
  expect(await refuse(replica.replaceVoter(other.name, 'f', deadlineOf(leader)))).toEqual({ kind: 'no-disk', host: 'f' })
  expect(await refuse(replica.replaceVoter(other.name, 'nobody', deadlineOf(leader)))).toMatchObject({ kind: 'not-connected' })
  expect(await refuse(replica.removeVoter('nobody', deadlineOf(leader)))).toEqual({ kind: 'unknown-voter', host: 'nobody' })
  listFollowers(cluster).slice(0, 3).forEach((host) => host.kill())
  const alive = listFollowers(cluster)[0]!
  expect(await refuse(replica.removeVoter(alive.name, deadlineOf(leader)))).toMatchObject({ kind: 'unsafe-change', needed: 4 })
})

test('a request for a change of the voters that is delivered twice is applied once and confirmed', async () => {
  const { cluster, run, deadlineOf } = await startCluster()
  cluster.network.setAllFaults({ duplication: 1 })
  const caller = listFollowers(cluster)[0]!
  const change = await run(caller.replica()!.addVoter('d', deadlineOf(caller)))
  expect(change.unwrap()).toHaveLength(4)
})

test('a second change of the voters waits until the first is committed', async () => {
  const outcomes: string[] = []
  for (const cutAfterMs of [1, 2, 3, 4, 5, 6]) {
    const { clock, cluster, run, deadlineOf } = await startCluster()
    const leader = cluster.findLeader()!
    const others = [...cluster.hosts.keys()].filter((name) => name !== leader.name)
    const first = leader.replica()!.addVoter('d', deadlineOf(leader, 100))
    await clock.advance(cutAfterMs)
    cluster.setCut([leader.name], others, 'silent')
    await clock.advance(150)
    const isOpen = (await first).err && getStatus(leader).voters.includes('d')
    const second = await run(leader.replica()!.addVoter('e', deadlineOf(leader, 100)), 200)
    if (isOpen) outcomes.push(second.err ? second.val.kind : 'changed')
    const third = leader.replica()!.removeVoter(others[0]!, deadlineOf(leader, 100))
    const result = await run(third, 200)
    if (isOpen) outcomes.push(result.err ? result.val.kind : 'changed')
  }
  expect(outcomes.length).toBeGreaterThan(0)
  expect(outcomes.filter((kind) => !['not-connected', 'not-recorded'].includes(kind))).toEqual([])
})

test('a rejected replacement of the leader does not change the leader', async () => {
  const { cluster, run, proposeOn, deadlineOf } = await startCluster()
  const leader = cluster.findLeader()!
  const { term } = getStatus(leader)
  // Adds the host to the replicated state first, as the operator's command does: a new leader announces itself only to hosts that it knows.
  const host = { id: 'd', availabilityZone: 'a', region: 'r', peerAddress: '', httpAddress: '', hasDisk: true }
  expect(await run(proposeOn(leader, { kind: 'host.add', host }))).toMatchObject({ ok: true })
  const refused = await run(leader.replica()!.replaceVoter(leader.name, 'nobody', deadlineOf(leader)))
  expect(refused).toMatchObject({ err: true, val: { kind: 'not-connected', host: 'nobody' } })
  expect(getStatus(leader)).toMatchObject({ role: 'leader', term })
  expect(await run(leader.replica()!.replaceVoter(leader.name, 'd', deadlineOf(leader)))).toMatchObject({ ok: true })
  expect(cluster.findLeader()!.name).not.toBe(leader.name)
})
