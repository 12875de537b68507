import { expect, test } from 'vitest'
import { createMemberEntry as putMember } from '../../src/fakes/entries.js'
import { getStatus, listFollowers, listMembers, startCluster } from './cluster.js'

const VOTERS = ['a', 'b', 'c', 'd', 'e']
const SPACE = 1e9

// Guards against an acknowledgement that waits for the full disk of the leader, and against a leader that keeps its role.
test('the acknowledgement of an evacuation does not wait for a leader whose disk is full', async () => {
  const { clock, cluster, run, proposeOn } = await startCluster()
  const full = cluster.findLeader()!
  full.disk!.setCapacity(10)
  expect(await run(proposeOn(full, { kind: 'zone.evacuate', zone: 'a', at: 1 }, 900), 1000)).toMatchObject({ ok: true })
  await clock.advance(1000)
  expect([cluster.findLeader()!.name === full.name, full.replica()!.failure()]).toEqual([false, undefined])
  expect(await run(proposeOn(full, { kind: 'zone.readmit', zone: 'a', at: 2 }, 900), 1000)).toMatchObject({ ok: true })
})

const SNAPSHOT_LIMITS = { snapshotBytes: 1e9, snapshotEntries: 40, retainedEntries: 2, retainedBytes: 100 }
const PREFILLED = 200
/** Upper bound of the size of one entry on the disk. */
const MAX_MEMBER_BYTES = 300

/** Starts voters with a state whose snapshot is large, and lets the disk of one of them have room for some entries, but not for a snapshot. */
async function startWithoutSnapshotSpace (voters: string[], role: string) {
  const scene = await startCluster({ voters, spares: [], limits: SNAPSHOT_LIMITS })
  const { clock, cluster, proposeOn } = scene
  const fill = async (count: number): Promise<number> => {
    let acknowledged = 0
    for (let index = 0; index < count; index += 1) {
      proposeOn(cluster.findLeader()!, putMember(`m${index}`), 5000).then(({ ok }) => { acknowledged += Number(ok) })
      await clock.advance(20)
    }
    await clock.advance(2000)
    return acknowledged
  }
  await fill(PREFILLED)
  const full = role === 'leader' ? cluster.findLeader()! : listFollowers(cluster)[0]!
  const bytes = full.disk!.getUsedBytes()
  full.disk!.setCapacity(bytes + 20_000)
  return { ...scene, fill, full, bytes }
}

// Guards against a snapshot that ends the process, and against one that is given up: the log would then grow without limit.
test.each(['leader', 'follower'])('a snapshot of a %s waits for space on a full disk while entries are committed, and a full leader hands over', async (role) => {
  const { clock, cluster, fill, full, bytes } = await startWithoutSnapshotSpace(['a', 'b', 'c'], role)
  const acknowledged = await fill(60)
  // Only entries fit; the log was not cut, as it is after a snapshot.
  const whileFull = { failure: full.replica()!.failure(), leads: cluster.findLeader() === full, acknowledged, hasOnlyGrown: full.disk!.getUsedBytes() > bytes }
  full.disk!.setCapacity(SPACE)
  await fill(120)
  const used = full.disk!.getUsedBytes()
  full.crash()
  full.start()
  await clock.advance(3000)
  expect({ whileFull, isCut: used < bytes + SNAPSHOT_LIMITS.snapshotEntries * MAX_MEMBER_BYTES, members: listMembers(full).length })
    .toEqual({ whileFull: { failure: undefined, leads: false, acknowledged: 60, hasOnlyGrown: true }, isCut: true, members: PREFILLED })
})

// Guards against a voter that is elected while its snapshot waits for space, and goes on leading when it can store nothing.
test('a voter that is elected while its disk is full hands leadership over again', async () => {
  const { clock, cluster, fill, full } = await startWithoutSnapshotSpace(VOTERS, 'leader')
  await fill(60)
  const deadline = (): number => cluster.findLeader()!.process().clock.now() + 1000
  // The others hand over until the full one leads, as after a planned stop of each.
  for (let round = 0; round < 40 && cluster.findLeader() !== full; round += 1) {
    cluster.findLeader()!.replica()!.transferLeadership(deadline())
    await clock.advance(1500)
  }
  const hasLed = cluster.findLeader() === full
  await fill(200)
  await clock.advance(10_000)
  expect({ hasLed, leads: cluster.findLeader() === full, failure: full.replica()!.failure() }).toEqual({ hasLed: true, leads: false, failure: undefined })
})

// Guards against a vote that is given and not stored, and against a candidate that cannot store its term and deposes each leader.
test.each(VOTERS)('while the disk of voter %s is full it neither leads nor keeps the others from electing a leader that stays', async (name) => {
  const { clock, cluster, run, proposeOn } = await startCluster({ voters: VOTERS, spares: [] })
  const leader = cluster.findLeader()!
  const full = cluster.getHost(name) === leader ? listFollowers(cluster)[0]! : cluster.getHost(name)
  full.disk!.setCapacity(10)
  leader.crash()
  await clock.advance(5000)
  const next = cluster.findLeader()!
  const { term } = getStatus(next)
  const committed = await run(proposeOn(next, putMember('m')))
  await clock.advance(10_000)
  const isStable = cluster.findLeader() === next && getStatus(next).term === term
  full.disk!.setCapacity(SPACE)
  await clock.advance(3000)
  expect({ ledByFull: next === full, committed: committed.ok, isStable, failure: full.replica()!.failure(), members: listMembers(full) })
    .toEqual({ ledByFull: false, committed: true, isStable: true, failure: undefined, members: ['m'] })
})

// Guards against a process that ends again and again, or joins without its store, when it starts while its disk is full.
test('a voter that starts on a full disk takes part once there is space', async () => {
  const { clock, cluster, run, proposeOn } = await startCluster()
  const full = listFollowers(cluster).find(({ name }) => name !== 'd')!
  await run(proposeOn(cluster.findLeader()!, putMember('m')))
  full.crash()
  full.disk!.setCapacity(10)
  full.start()
  await clock.advance(5000)
  const whileFull = [full.replica(), full.openFailure()]
  const committed = await run(proposeOn(cluster.findLeader()!, putMember('n')))
  full.disk!.setCapacity(SPACE)
  await clock.advance(4000)
  expect({ whileFull, committed: committed.ok, members: listMembers(full), voters: getStatus(cluster.findLeader()!).voters.length })
    .toEqual({ whileFull: [undefined, undefined], committed: true, members: ['m', 'n'], voters: 3 })
})
