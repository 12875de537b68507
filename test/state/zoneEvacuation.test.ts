import { expect, test } from 'vitest'
import { createMemberEntry as putMember } from '../../src/fakes/entries.js'
import type { FakeHost } from '../../src/fakes/fakeCluster.js'
import { listFollowers, startCluster } from './cluster.js'

const listZones = (host: FakeHost): string[] => host.replica()!.state().workflows.evacuatedZones?.map(({ zone }) => zone) ?? []

// Guards against an evacuation that a snapshot, a wiped voter or a power loss of all hosts forgets.
test('an acknowledged evacuation survives a snapshot, a wiped voter and a power loss of all hosts, until the zone is readmitted', async () => {
  const { clock, cluster, run, proposeOn } = await startCluster({ limits: { snapshotBytes: 1e6, snapshotEntries: 20, retainedEntries: 2, retainedBytes: 100 } })
  expect(await run(proposeOn(cluster.findLeader()!, { kind: 'zone.evacuate', zone: 'a', at: 1 }))).toMatchObject({ ok: true })
  const wiped = listFollowers(cluster)[0]!
  wiped.kill()
  wiped.disk!.erase()
  for (let index = 0; index < 60; index += 1) {
    proposeOn(cluster.findLeader()!, putMember(`m${index}`))
    await clock.advance(20)
  }
  wiped.start()
  await clock.advance(5000)
  const afterWipe = listZones(wiped)
  cluster.hosts.forEach((host) => host.crash())
  await clock.advance(500)
  cluster.hosts.forEach((host) => host.start())
  await clock.advance(6000)
  const afterPowerLoss = cluster.listRunning().map(listZones)
  expect(await run(proposeOn(cluster.findLeader()!, { kind: 'zone.readmit', zone: 'a', at: 2 }))).toMatchObject({ ok: true })
  expect({ afterWipe, afterPowerLoss, atLast: cluster.listRunning().map(listZones) })
    .toEqual({ afterWipe: ['a'], afterPowerLoss: [['a'], ['a'], ['a'], ['a']], atLast: [[], [], [], []] })
})

// Guards against a repeat of a lost answer that fails or changes the state after the leader is lost.
test.each([0, 20])('a request whose leader is lost after %i ms is acknowledged when it is repeated on another host', async (ms) => {
  const { clock, cluster, run, proposeOn } = await startCluster()
  const old = cluster.findLeader()!
  proposeOn(old, { kind: 'zone.evacuate', zone: 'a', at: 1 })
  await clock.advance(ms)
  old.crash()
  const other = listFollowers(cluster)[0]!
  expect(await run(proposeOn(other, { kind: 'zone.evacuate', zone: 'a', at: 2 }, 4500), 5000)).toMatchObject({ ok: true })
  expect(cluster.listRunning().map(listZones)).toEqual([['a'], ['a'], ['a']])
})
