import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { createManualClock, createSystemClock, type ManualClock } from '../common/index.js'
import { createFakeZone, type FakeZone } from '../fakes/zone.js'

/** One of 10 zones of the intended deployment, which has 730 workers, 7,800 running tasks and 290 starts/s. */
const WORKERS = 73
const REPLICAS = 160
const BATCH_TASKS = 620
const STARTS_PER_SECOND = 29
const CAPACITY = { cores: 64, memoryBytes: 250e9, accelerators: 0 }
const WARM_UP_MS = 15_000

export interface TaskTraffic {
  /** Bytes of the bodies of requests and replies, without HTTP headers. */
  workerLinkBytesPerSecond: number
  exchangesPerWorkerPerSecond: number
  requestBytes: number
  replyBytes: number
  /** Sent by the coordinator's host to the other entry hosts. */
  coordinatorBytesPerSecond: number
  /** Sent by each other entry host of the zone. */
  standbyBytesPerSecond: number
  startsPerSecond: number
}

export interface TaskCost {
  /** Processor time without that of the fake workers, which run in the same process. */
  cpuMsPerExchange: number
  cpuMsPerStart: number
  coreShareAtRest: number
  coreShareAtPeak: number
}

/** Time from the acceptance of a job to the start of its tasks on a worker, with free capacity in the zone. */
export interface StartDelay { urgentMs: number, ordinaryMedianMs: number, ordinaryMaxMs: number }

export interface TaskMemory { bytesPerThousandQueued: number, bytesPerThousandRunning: number }

/** Measures traffic while all tasks run and none starts or ends. */
export async function measureTrafficAtRest (seconds = 60): Promise<TaskTraffic> {
  const zone = await createLoadedZone(createManualClock())
  return await measureTraffic(zone, seconds, async () => {})
}

/** Measures traffic while short tasks start at the rate of the intended deployment. */
export async function measureTrafficAtPeak (seconds = 60): Promise<TaskTraffic> {
  const zone = await createLoadedZone(createManualClock())
  return await measureTraffic(zone, seconds, (second) => startTasks(zone, second))
}

/** Measures on the manual clock with 1 ms between hosts, so that the result holds only the delays of the protocol. */
export async function measureStartDelay (): Promise<StartDelay> {
  const zone = await createLoadedZone(createManualClock())
  const submit = async (id: string, urgent: boolean, tasks: number): Promise<number[]> => {
    const submittedAt = zone.clock.now()
    await zone.addJob({ id, urgent, tasks, size: { cores: 0.1, memoryBytes: 1e8, accelerators: 0 } })
    await zone.advance(3_000)
    return zone.events
      .filter((event) => event.kind === 'started' && event.task.startsWith(`${id}/`))
      .map((event) => event.at - submittedAt)
      .sort((left, right) => left - right)
  }
  const urgent = await submit('short-urgent', true, 20)
  const ordinary = await submit('short-ordinary', false, 200)
  stopZone(zone)
  return { urgentMs: urgent.at(-1) ?? Infinity, ordinaryMedianMs: ordinary[ordinary.length >> 1] ?? Infinity, ordinaryMaxMs: ordinary.at(-1) ?? Infinity }
}

/** Measures processor time on the system clock, on which waiting takes no processor time. */
export async function measureCost (seconds = 10): Promise<TaskCost> {
  const system = createSystemClock()
  const clock: ManualClock = { ...system, advance: (ms) => system.sleep(ms), setWallOffset: () => {} }
  const zone = await createLoadedZone(clock)
  const rest = await measureCpu(zone, seconds, async () => {})
  const peak = await measureCpu(zone, seconds, (second) => startTasks(zone, second + 1_000))
  stopZone(zone)
  const perExchange = rest.cpuMs / rest.exchanges
  return {
    cpuMsPerExchange: perExchange,
    cpuMsPerStart: (peak.cpuMs - peak.exchanges * perExchange) / peak.starts,
    coreShareAtRest: rest.cpuMs / rest.elapsedMs,
    coreShareAtPeak: peak.cpuMs / peak.elapsedMs
  }
}

/** Measures the heap of the coordinator and the fake workers, which use little of it. */
export async function measureMemory (): Promise<TaskMemory> {
  const tasks = 10_000
  const queued = await createFakeZone({ hosts: 1, workers: 3, capacity: { cores: 0, memoryBytes: 0, accelerators: 0 } })
  await queued.advance(WARM_UP_MS)
  const before = readHeap()
  await queued.addJob({ id: 'queued', tasks })
  await queued.advance(2_000)
  const whenQueued = readHeap()
  stopZone(queued)

  const running = await createFakeZone({ hosts: 1, workers: 100, capacity: { cores: 1e3, memoryBytes: 1e12, accelerators: 0 }, plan: () => ({ runMs: Infinity, result: 'succeeded' }) })
  await running.advance(WARM_UP_MS)
  const beforeRunning = readHeap()
  await running.addJob({ id: 'running', tasks })
  await running.advance(5_000)
  const whenRunning = readHeap()
  stopZone(running)
  return {
    bytesPerThousandQueued: (whenQueued - before) / tasks * 1_000,
    bytesPerThousandRunning: (whenRunning - beforeRunning) / tasks * 1_000
  }
}

async function createLoadedZone (clock: ManualClock): Promise<FakeZone> {
  const zone = await createFakeZone({
    hosts: 3,
    workers: WORKERS,
    clock,
    capacity: CAPACITY,
    plan: (task) => ({ runMs: task.startsWith('short') ? 5_000 : Infinity, result: 'succeeded' })
  })
  await zone.propose({
    kind: 'service.put',
    service: { id: 'intake', member: 'parish', objective: { latencyMs: 50, quantile: 0.99, target: 0.99 }, replicasPerZone: REPLICAS, size: { cores: 2, memoryBytes: 4e9, accelerators: 0 }, weight: 1 }
  })
  // With these sizes a worker runs ten or eleven tasks, replicas included, as in the intended deployment.
  await zone.addJob({ id: 'long-catalogue-matching', tasks: BATCH_TASKS, size: { cores: 6.5, memoryBytes: 8e9, accelerators: 0 } })
  await zone.advance(WARM_UP_MS)
  return zone
}

async function startTasks (zone: FakeZone, second: number): Promise<void> {
  await zone.addJob({ id: `short-record-upkeep-${second}`, tasks: STARTS_PER_SECOND, expectedRunMs: 5_000, size: { cores: 0.1, memoryBytes: 1e8, accelerators: 0 } })
}

async function measureTraffic (zone: FakeZone, seconds: number, startLoad: (second: number) => Promise<void>): Promise<TaskTraffic> {
  const [coordinator] = zone.listActive()
  zone.network.bytes.clear()
  const exchange = { ...zone.exchange }
  const events = zone.events.length
  for (let second = 0; second < seconds; second++) {
    await startLoad(second)
    await zone.advance(1_000)
  }
  const requests = zone.exchange.requests - exchange.requests
  const requestBytes = zone.exchange.requestBytes - exchange.requestBytes
  const replyBytes = zone.exchange.replyBytes - exchange.replyBytes
  const standbys = [...zone.hosts.keys()].filter((host) => host !== coordinator)
  const standbyBytes = standbys.reduce((sum, host) => sum + (zone.network.bytes.get(host) ?? 0), 0)
  const starts = zone.events.slice(events).filter((event) => event.kind === 'started').length
  stopZone(zone)
  return {
    workerLinkBytesPerSecond: (requestBytes + replyBytes) / seconds / WORKERS,
    exchangesPerWorkerPerSecond: requests / seconds / WORKERS,
    requestBytes: requestBytes / requests,
    replyBytes: replyBytes / requests,
    coordinatorBytesPerSecond: (zone.network.bytes.get(coordinator ?? '') ?? 0) / seconds,
    standbyBytesPerSecond: standbyBytes / standbys.length / seconds,
    startsPerSecond: starts / seconds
  }
}

async function measureCpu (zone: FakeZone, seconds: number, startLoad: (second: number) => Promise<void>): Promise<{ cpuMs: number, elapsedMs: number, exchanges: number, starts: number }> {
  const usage = process.cpuUsage()
  const exchange = { ...zone.exchange }
  const events = zone.events.length
  const startedAt = performance.now()
  for (let second = 0; second < seconds; second++) {
    await startLoad(second)
    await zone.advance(1_000)
  }
  const { user, system } = process.cpuUsage(usage)
  return {
    cpuMs: (user + system) / 1_000 - (zone.exchange.workerMs - exchange.workerMs),
    elapsedMs: performance.now() - startedAt,
    exchanges: zone.exchange.requests - exchange.requests,
    starts: zone.events.slice(events).filter((event) => event.kind === 'started').length
  }
}

function stopZone (zone: FakeZone): void {
  zone.hosts.forEach((_, id) => zone.crashHost(id))
}

function readHeap (): number {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  collect()
  collect()
  return process.memoryUsage().heapUsed
}
