import { expect, test } from 'vitest'
import { createManualClock } from '../../src/common/index.js'
import { createMemberEntry as putMember } from '../../src/fakes/entries.js'
import { createFakeCluster } from '../../src/fakes/fakeCluster.js'

test('a deployment with a single voter is bootstrapped and applies a proposal within 150 ms', async () => {
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

test.each(['refused', 'silent'] as const)('after the leader fails with %s connections, a new leader is elected within 2 s', async (kind) => {
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

test('a new leader announces itself to a learner, which does not have to wait for its timeout for the old leader', async () => {
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
