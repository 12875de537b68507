import { expect, test } from 'vitest'
import { createManualClock } from '../../src/common/index.js'
import { createMemberEntry as putMember } from '../../src/fakes/entries.js'
import { createFakeCluster } from '../../src/fakes/fakeCluster.js'

test('a deployment of a single voter works at once', async () => {
  const clock = createManualClock()
  const cluster = createFakeCluster({ clock, seed: 1, voters: ['a'] })
  cluster.getHost('a').start()
  await clock.advance(100)
  const proposal = cluster.getHost('a').replica()!.propose(putMember('m1'), clock.now() + 1000)
  await clock.advance(50)
  expect(await proposal).toMatchObject({ ok: true, val: { index: 3 } })
})

test('three voters elect a leader, and a learner without a disk follows and can propose', async () => {
  const clock = createManualClock()
  const cluster = createFakeCluster({ clock, seed: 1, voters: ['a', 'b', 'c'], learners: ['d'] })
  cluster.hosts.forEach((host) => host.start())
  await clock.advance(3000)
  const leader = cluster.findLeader()!
  expect(leader.replica()!.status()).toMatchObject({ voters: ['a', 'b', 'c'], learners: ['d'], survivableLosses: 1 })
  const proposal = cluster.getHost('d').replica()!.propose(putMember('m1'), clock.now() + 1000)
  await clock.advance(100)
  expect(await proposal).toMatchObject({ ok: true })
  cluster.hosts.forEach((host) => expect(Object.keys(host.replica()!.state().members)).toEqual(['m1']))
})

test.each(['refused', 'silent'] as const)('a new leader is found within 2 s of the end of the old one, whose connections are %s', async (kind) => {
  const times: number[] = []
  for (const seed of Array.from({ length: 40 }, (_, index) => index)) {
    const clock = createManualClock()
    // Syncs as slow as on a busy machine make split votes likely.
    const cluster = createFakeCluster({ clock, seed, voters: ['a', 'b', 'c'], syncMs: 20 })
    cluster.hosts.forEach((host) => host.start())
    await clock.advance(3000 + seed * 7)
    const leader = cluster.findLeader()!
    if (kind === 'refused') leader.kill()
    else cluster.isolate(leader.name)
    const others = [...cluster.hosts.values()].filter((host) => host !== leader)
    const endedAt = clock.now()
    while (!others.some((host) => host.replica()!.status().role === 'leader')) await clock.advance(10)
    times.push(clock.now() - endedAt)
  }
  expect(Math.max(...times)).toBeLessThan(2000)
})

test('a host that does not vote learns of a new leader with its election, not only after the old one was silent for long', async () => {
  const clock = createManualClock()
  const cluster = createFakeCluster({ clock, seed: 4, voters: ['a', 'b', 'c'], learners: ['d'] })
  cluster.hosts.forEach((host) => host.start())
  await clock.advance(3000)
  const leader = cluster.findLeader()!
  const host = { availabilityZone: 'a', region: 'r', peerAddress: '', httpAddress: '', hasDisk: false }
  const added = leader.replica()!.propose({ kind: 'host.add', host: { ...host, id: 'd' } }, clock.now() + 1000)
  await clock.advance(200)
  expect(await added).toMatchObject({ ok: true })
  leader.kill()
  const others = [...cluster.hosts.values()].filter((each) => each !== leader && each.name !== 'd')
  while (!others.some((each) => each.replica()!.status().role === 'leader')) await clock.advance(10)
  await clock.advance(200)
  const next = others.find((each) => each.replica()!.status().role === 'leader')!
  expect(cluster.getHost('d').replica()!.status().leader).toBe(next.name)
})
