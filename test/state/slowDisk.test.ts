import { Packr } from 'msgpackr'
import { expect, test } from 'vitest'
import { createManualClock, createRandom, createSilentLogger, type ManualClock } from '../../src/common/index.js'
import { createMemberEntry as putMember } from '../../src/fakes/entries.js'
import { createFakeDisk } from '../../src/fakes/fakeDisk.js'
import { createHostProcess } from '../../src/fakes/hostProcess.js'
import { createMemoryNetwork } from '../../src/fakes/memoryNetwork.js'
import { createReplica, type Disk, type LogLimits, type Replica } from '../../src/state/index.js'
import { decodeFrames } from '../../src/state/logStore/index.js'

const NAMES = ['a', 'b', 'c']
const GAP_MS = 20
const packr = new Packr({ useRecords: false })

interface WatchedDisk {
  disk: Disk
  stall (): void
  release (): void
  /** The highest entry that was synced. */
  getDurable (): number
  /** Index of each snapshot, and the highest synced entry when it was written. */
  snapshots: Array<{ index: number, durable: number }>
}

/** Wraps a disk so that a test can block its syncs, and records up to which entry the log is durable. */
function createWatchedDisk (disk: Disk): WatchedDisk {
  const snapshots: WatchedDisk['snapshots'] = []
  let durable = 0
  let written = 0
  let stalled: Promise<void> | undefined
  let release = (): void => {}
  const listIndexes = (bytes: Uint8Array): number[] => decodeFrames(bytes).payloads
    .flatMap((payload) => packr.unpack(payload) as Array<[number]>)
    .map(([index]) => index)
  return {
    snapshots,
    stall: () => { stalled = new Promise((resolve) => { release = resolve }) },
    release: () => {
      release()
      stalled = undefined
    },
    getDurable: () => durable,
    disk: {
      ...disk,
      append: (file, bytes) => {
        written = listIndexes(bytes).at(-1) ?? written
        return disk.append(file, bytes)
      },
      sync: async (file) => {
        const covered = written
        await stalled
        const result = await disk.sync(file)
        durable = Math.max(durable, covered)
        return result
      },
      writeAtomic: async (file, bytes) => {
        await stalled
        if (file === 'snapshot') snapshots.push({ index: (packr.unpack(decodeFrames(bytes).payloads[0]!) as { index: number }).index, durable })
        return disk.writeAtomic(file, bytes)
      }
    }
  }
}

interface Host { name: string, replica: Replica, watched: WatchedDisk, kill (): void }

async function startHosts (clock: ManualClock, limits: Partial<LogLimits> = {}): Promise<Host[]> {
  const network = createMemoryNetwork({ clock, random: createRandom(1) })
  const starting = NAMES.map(async (name, position): Promise<Host> => {
    const process = createHostProcess(clock)
    const watched = createWatchedDisk(createFakeDisk({ clock, random: createRandom(position), syncMs: 1 }).open())
    const replica = (await createReplica({
      deployment: 'test', self: name, availabilityZone: `zone-${name}`, clock: process.clock, random: createRandom(position + 1), network: network.connect(name, process), logger: createSilentLogger(), disk: watched.disk, bootstrapVoters: NAMES, limits, createId: () => name
    })).unwrap()
    return { name, replica, watched, kill: () => { process.kill(); network.disconnect(name) } }
  })
  await clock.advance(4000)
  return Promise.all(starting)
}

const isLeader = ({ replica }: Host): boolean => replica.status().role === 'leader'
const listMembers = ({ replica }: Host): string[] => Object.keys(replica.state().members)

// Guards against a follower that applies entries late because its disk is slow: a host sends an assignment to a worker only
// after it has applied the entry.
test('a follower whose disk is blocked applies the entries that the other voters commit, at most one entry late', async () => {
  const clock = createManualClock()
  const hosts = await startHosts(clock)
  const leader = hosts.find(isLeader)!
  const slow = hosts.find((host) => !isLeader(host))!
  slow.watched.stall()
  const lags: number[] = []
  for (let round = 0; round < 100; round += 1) {
    leader.replica.propose(putMember(`m${round}`), clock.now() + 2000)
    await clock.advance(GAP_MS)
    lags.push(leader.replica.status().appliedIndex - slow.replica.status().appliedIndex)
  }
  expect(listMembers(leader)).toHaveLength(100)
  expect(Math.max(...lags)).toBeLessThanOrEqual(1)
  slow.watched.release()
  await clock.advance(1000)
  expect(slow.watched.getDurable()).toBe(leader.replica.status().appliedIndex)
  expect(leader.replica.status().progress.map(({ matchIndex }) => matchIndex)).toEqual(NAMES.map(() => slow.watched.getDurable()))
})

// Guards against commits that count an entry on a follower that has it only in memory, where a crash would lose it.
test('an entry that a majority has only in memory is not committed', async () => {
  const clock = createManualClock()
  const hosts = await startHosts(clock)
  const leader = hosts.find(isLeader)!
  const [slow, killed] = hosts.filter((host) => !isLeader(host)) as [Host, Host]
  killed.kill()
  slow.watched.stall()
  const answers: unknown[] = []
  leader.replica.propose(putMember('m'), clock.now() + 5000).then((answer) => answers.push(answer))
  await clock.advance(1500)
  expect([answers, ...[leader, slow].map(listMembers)]).toEqual([[], [], []])
  expect(isLeader(leader)).toBe(true)
  slow.watched.release()
  await clock.advance(200)
  expect([answers, ...[leader, slow].map(listMembers)]).toMatchObject([[{ ok: true }], ['m'], ['m']])
})

// Guards against a snapshot that covers entries beyond the end of the log on the disk, because the log then has a gap.
test.each(['leader', 'follower'])('no snapshot of a %s covers entries that are not on its disk yet, and snapshots are made once they are', async (role) => {
  const clock = createManualClock()
  const hosts = await startHosts(clock, { snapshotBytes: 1e6, snapshotEntries: 20, retainedEntries: 2, retainedBytes: 100 })
  const leader = hosts.find(isLeader)!
  const slow = role === 'leader' ? leader : hosts.find((host) => !isLeader(host))!
  const before = slow.watched.snapshots.length
  for (let round = 0; round < 10; round += 1) {
    slow.watched.stall()
    for (let index = 0; index < 15; index += 1) {
      leader.replica.propose(putMember(`m${round}-${index}`), clock.now() + 5000)
      await clock.advance(GAP_MS)
    }
    slow.watched.release()
    await clock.advance(5)
  }
  await clock.advance(1000)
  expect(slow.watched.snapshots.length - before).toBeGreaterThan(1)
  expect(slow.watched.snapshots.filter(({ index, durable }) => index > durable)).toEqual([])
  expect(hosts.map((host) => listMembers(host).length)).toEqual([150, 150, 150])
  expect(hosts.map(({ replica }) => replica.failure())).toEqual([undefined, undefined, undefined])
})
