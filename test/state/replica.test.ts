import { expect, test } from 'vitest'
import { createManualClock } from '../../src/common/index.js'
import { createFakeCluster } from '../../src/fakes/fakeCluster.js'
import type { Entry } from '../../src/state/index.js'

const member = { id: 'parish', tokenHash: 'a'.repeat(64), quota: { cores: 8, memoryBytes: 1e9, accelerators: 0 }, weight: 1 }
const putMember = (id: string, requestId?: string): Entry => ({ kind: 'member.put', requestId, member: { ...member, id } })

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
  leader.kill()
  const killedAt = clock.now()
  while (cluster.findLeader() === undefined) await clock.advance(10)
  expect(clock.now() - killedAt).toBeLessThan(2000)
})
