import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { createManualClock, createRandom, createSilentLogger, createSystemClock } from '../common/index.js'
import { createJobEntry, createMemberEntry } from '../fakes/entries.js'
import { createFakeCluster } from '../fakes/fakeCluster.js'
import { createHostProcess, type HostProcess } from '../fakes/hostProcess.js'
import { createMemoryNetwork, type MemoryNetwork } from '../fakes/memoryNetwork.js'
import { createReplica, openDisk, type Disk, type Entry, type Replica } from '../state/index.js'

const VOTERS = ['a', 'b', 'c']
const PROPOSAL_TIMEOUT_MS = 10_000
/** One-way delay between the voters of one process; the deployments have 1 to 1.5 ms between zones. */
const LINK_DELAY_MS = 1
const SYNC_SAMPLES = 200
const MEMORY_SETTLE_MS = 500

/** Figures by name; the name ends with the unit. */
export type Figures = Record<string, number>

interface RealHost { name: string, replica: Replica, process: HostProcess, disk: Disk }

const clock = createSystemClock()

/** Measures commit throughput with many concurrent proposals and commit latency with one, with real disk syncs. A bare sync is the reference. */
export async function measureCommits (durationMs = 3000, concurrency = 256): Promise<Figures> {
  return runWithFolder(async (folder) => {
    const bareSyncs = await measureBareSyncs(join(folder, 'bare'))
    const hosts = await startVoters(folder, VOTERS)
    const leader = await waitForLeader(hosts)
    const single = await runProposers(leader, durationMs, 1)
    const many = await runProposers(leader, durationMs, concurrency)
    await stopHosts(hosts)
    return {
      bareSyncP50Ms: computeQuantile(bareSyncs, 0.5),
      bareSyncP99Ms: computeQuantile(bareSyncs, 0.99),
      commitP50Ms: computeQuantile(single, 0.5),
      commitP99Ms: computeQuantile(single, 0.99),
      commitsPerSecond: many.length / durationMs * 1000,
      loadedCommitP99Ms: computeQuantile(many, 0.99)
    }
  })
}

/** Measures the time from the end of the leader's process until another voter leads. */
export async function measureElections (trials = 10): Promise<Figures> {
  const times: number[] = []
  for (let trial = 0; trial < trials; trial += 1) times.push(await measureElection())
  return { newLeaderP50Ms: computeQuantile(times, 0.5), newLeaderMaxMs: Math.max(...times), trials }
}

/** Measures the time in which a single voter with 10,000 changes in its log restarts and accepts a change. */
export async function measureRestart (changes = 10_000): Promise<Figures> {
  return runWithFolder(async (folder) => {
    const first = await startVoters(folder, ['a'])
    const leader = await waitForLeader(first)
    await leader.replica.propose(createMemberEntry('parish'), clock.now() + PROPOSAL_TIMEOUT_MS)
    await proposeAll(leader.replica, changes)
    await stopHosts(first)
    const startedAt = clock.now()
    const again = await startVoters(folder, ['a'])
    const restarted = await waitForLeader(again)
    const result = await restarted.replica.propose({ kind: 'noop' }, clock.now() + PROPOSAL_TIMEOUT_MS)
    const restartMs = clock.now() - startedAt
    const jobs = Object.keys(restarted.replica.state().jobs).length
    await stopHosts(again)
    if (result.err || jobs !== changes) throw new Error(`${jobs} of ${changes} changes were found after the restart`)
    return { restartMs, changes }
  })
}

/** Measures the bytes of messages that each host sends and receives while nothing changes, without the overhead of the transport. */
export async function measureTraffic (hosts = 9, seconds = 60): Promise<Figures> {
  const manual = createManualClock()
  const learners = Array.from({ length: hosts - VOTERS.length }, (_, index) => `learner-${index}`)
  const cluster = createFakeCluster({ clock: manual, seed: 1, voters: VOTERS, learners })
  cluster.hosts.forEach((host) => host.start())
  await manual.advance(10_000)
  const readBytes = (): Array<[string, number]> => [...cluster.hosts.keys()].map((name) => [name, cluster.network.getTraffic(name).bytes])
  const before = new Map(readBytes())
  await manual.advance(seconds * 1000)
  const rates = new Map(readBytes().map(([name, bytes]) => [name, (bytes - (before.get(name) ?? 0)) / seconds]))
  const leader = cluster.findLeader()?.name ?? ''
  const followers = VOTERS.filter((name) => name !== leader)
  return {
    hosts,
    leaderBytesPerSecond: rates.get(leader) ?? 0,
    voterBytesPerSecond: Math.max(...followers.map((name) => rates.get(name) ?? 0)),
    learnerBytesPerSecond: Math.max(0, ...learners.map((name) => rates.get(name) ?? 0))
  }
}

/** Measures how the heap and buffers of a single voter grow with added jobs, and with changes that leave the state as large as before. */
export async function measureMemory (changes = 20_000): Promise<Figures> {
  return runWithFolder(async (folder) => {
    const hosts = await startVoters(folder, ['a'])
    const { replica } = await waitForLeader(hosts)
    await replica.propose(createMemberEntry('parish'), clock.now() + PROPOSAL_TIMEOUT_MS)
    await proposeAll(replica, changes, () => createMemberEntry('parish'))
    const start = await readMemory()
    await proposeAll(replica, changes, () => createMemberEntry('parish'))
    const afterEntries = await readMemory()
    await proposeAll(replica, changes)
    const afterJobs = await readMemory()
    await stopHosts(hosts)
    return {
      changes,
      bytesPer1000Entries: (afterEntries - start) / changes * 1000,
      bytesPer1000Jobs: (afterJobs - afterEntries) / changes * 1000
    }
  })
}

async function measureElection (): Promise<number> {
  return runWithFolder(async (folder) => {
    const hosts = await startVoters(folder, VOTERS)
    const leader = await waitForLeader(hosts)
    // Waits a random time, so that the kill falls anywhere between two heartbeats.
    await clock.sleep(500 + Math.random() * 250)
    leader.process.kill()
    const killedAt = clock.now()
    const others = hosts.filter((host) => host !== leader)
    await waitForLeader(others)
    const elapsed = clock.now() - killedAt
    await stopHosts(others)
    await leader.disk.close()
    return elapsed
  })
}

async function measureBareSyncs (folder: string): Promise<number[]> {
  const disk = (await openDisk(folder)).unwrap()
  const times: number[] = []
  for (let sample = 0; sample < SYNC_SAMPLES; sample += 1) {
    const startedAt = clock.now()
    await disk.append('bare', new Uint8Array(200));
    (await disk.sync('bare')).unwrap()
    times.push(clock.now() - startedAt)
  }
  await disk.close()
  return times
}

async function startVoters (folder: string, names: string[]): Promise<RealHost[]> {
  const network = createMemoryNetwork({ clock, random: createRandom(1), delayMs: LINK_DELAY_MS })
  return Promise.all(names.map((name, position) => startHost(folder, name, position, names, network)))
}

async function startHost (folder: string, name: string, position: number, voters: string[], network: MemoryNetwork): Promise<RealHost> {
  const process = createHostProcess(clock)
  const disk = (await openDisk(join(folder, name))).unwrap()
  const replica = (await createReplica({
    deployment: 'bench',
    self: name,
    availabilityZone: `zone-${position}`,
    clock: process.clock,
    random: createRandom(Math.floor(Math.random() * 1e6)),
    network: network.connect(name, process),
    logger: createSilentLogger(),
    disk,
    bootstrapVoters: voters
  })).unwrap()
  return { name, replica, process, disk }
}

async function waitForLeader (hosts: RealHost[]): Promise<RealHost> {
  const deadline = clock.now() + PROPOSAL_TIMEOUT_MS
  while (clock.now() < deadline) {
    const leader = hosts.find((host) => host.replica.status().role === 'leader')
    if (leader !== undefined) return leader
    await clock.sleep(2)
  }
  throw new Error('no leader was elected')
}

async function runProposers (leader: RealHost, durationMs: number, concurrency: number): Promise<number[]> {
  const end = clock.now() + durationMs
  const times: number[] = []
  const runProposer = async (): Promise<void> => {
    while (clock.now() < end) {
      const startedAt = clock.now();
      (await leader.replica.propose(createMemberEntry('parish'), startedAt + PROPOSAL_TIMEOUT_MS)).unwrap()
      times.push(clock.now() - startedAt)
    }
  }
  await Promise.all(Array.from({ length: concurrency }, runProposer))
  return times
}

/** Proposes in batches, which bounds the number of pending proposals. */
async function proposeAll (replica: Replica, count: number, create: (index: number) => Entry = (index) => createJobEntry(`job-${index}`, `request-${index}`)): Promise<void> {
  const batchSize = 500
  for (let done = 0; done < count; done += batchSize) {
    const results = await Promise.all(Array.from({ length: Math.min(batchSize, count - done) }, (_, offset) =>
      replica.propose(create(done + offset), clock.now() + PROPOSAL_TIMEOUT_MS)))
    results.forEach((result) => result.unwrap())
  }
}

async function stopHosts (hosts: RealHost[]): Promise<void> {
  for (const host of hosts) await host.replica.stop()
}

async function runWithFolder<T> (action: (folder: string) => Promise<T>): Promise<T> {
  const folder = await mkdtemp(join(tmpdir(), 'sequoiadrift-log-'))
  try {
    return await action(folder)
  } finally {
    await rm(folder, { recursive: true, force: true })
  }
}

/** Reads the memory in use after a snapshot in progress has ended and garbage was collected twice; buffers are freed after a collection. */
async function readMemory (): Promise<number> {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  await clock.sleep(MEMORY_SETTLE_MS)
  collect()
  await clock.sleep(MEMORY_SETTLE_MS)
  collect()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

function computeQuantile (values: number[], quantile: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0
}
