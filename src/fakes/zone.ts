import { createManualClock, createRandom, createSilentLogger, type Logger, type ManualClock, type Random } from '../common/index.js'
import type { Decision, Placement, Reason } from '../coordination/placement/types.js'
import { startSupervisor, heartbeatSchema } from '../coordination/authority/index.js'
import { createZoneCoordinator, type WorkerClient, type ZoneCoordinator } from '../coordination/tasks/index.js'
import type { Entry, Job, JournalStore, Resources } from '../state/index.js'
import { createFirstFitPlacement } from './firstFitPlacement.js'
import { createLogGroup, type HostLog } from './hostLog.js'
import { createMemoryLog, type MemoryLog } from './memoryLog.js'
import { createPausableClock, type PausableClock } from './pausableClock.js'
import { createSimpleNetwork, type SimpleNetwork } from './simpleNetwork.js'
import { createWorkerCore, type RunPlan, type WorkerCore, type WorkerEvent } from './worker.js'

export const ZONE = 'cerro-alegre'

export interface FakeZoneOptions {
  hosts: number
  workers: number
  seed?: number
  capacity?: Resources
  plan?: (task: string, attempt: number) => RunPlan
  createPlacement?: () => Placement
  clock?: ManualClock
  /** Number of workers to register, from the first on; all by default. */
  registered?: number
  /** Journal stores that outlive a restart of their host, by host. */
  stores?: Record<string, JournalStore>
  logger?: Logger
  /** Clock rates of hosts and workers; 1 by default. */
  clockRates?: Record<string, number>
}

/** An availability zone of entry hosts and fake workers on one manual clock, with fault injection. */
export interface FakeZone {
  clock: ManualClock
  random: Random
  network: SimpleNetwork
  log: MemoryLog
  hosts: Map<string, FakeHost>
  workers: Map<string, WorkerCore>
  events: WorkerEvent[]
  /** Totals of the exchanges with workers; `workerMs` is the real time spent in the fake workers. */
  exchange: { requests: number, requestBytes: number, replyBytes: number, workerMs: number }
  propose (entry: Entry): Promise<void>
  addJob (job: Partial<Job> & { id: string }): Promise<void>
  startHost (host: string): Promise<void>
  crashHost (host: string): void
  /** Pauses a host as by SIGSTOP: it runs nothing, while its clock goes on. */
  pauseHost (host: string, paused: boolean): void
  setLogReachable (host: string, reachable: boolean): void
  findActive (): ZoneCoordinator | undefined
  listActive (): string[]
  /** Makes the placement of the active coordinator evict the task. */
  evict (task: string, worker: string): void
  crashWorker (worker: string): void
  restartWorker (worker: string): void
  advance (ms: number): Promise<void>
}

export interface FakeHost { id: string, log: HostLog, coordinator: ZoneCoordinator | undefined, generation: number, gate: PausableClock }

const REASON: Reason = { summary: 'requested by the test', figures: [], alternatives: [], preset: 'ordinary', revision: 0 }
export const FAKE_CAPACITY: Resources = { cores: 4, memoryBytes: 4e9, accelerators: 0 }

export async function createFakeZone (options: FakeZoneOptions): Promise<FakeZone> {
  const clock = options.clock ?? createManualClock()
  const random = createRandom(options.seed ?? 1)
  const network = createSimpleNetwork(clock, random)
  const log = createMemoryLog('leader')
  const names = Array.from({ length: options.hosts }, (_, index) => `h${index + 1}`)
  // The leader of the log is a host of another zone, so that this zone can be cut off from it.
  const group = createLogGroup(log, 'leader')
  const events: WorkerEvent[] = []
  const exchange = { requests: 0, requestBytes: 0, replyBytes: 0, workerMs: 0 }
  const workers = new Map<string, WorkerCore>()
  const hosts = new Map<string, FakeHost>()

  const evictions: Array<{ task: string, worker: string }> = []

  const createPlacement = (): Placement => {
    const placement = (options.createPlacement ?? createFirstFitPlacement)()
    return {
      ...placement,
      decide: (now) => [
        ...placement.decide(now),
        ...evictions.splice(0).map(({ task, worker }): Decision => ({
          kind: 'stop', task, worker, cause: 'interference', causingMember: 'parish', causingTask: '', reason: REASON
        }))
      ]
    }
  }

  const propose = async (entry: Entry): Promise<void> => {
    const result = await log.propose(entry, clock.now() + 1_000)
    if (result.err) throw new Error(JSON.stringify(result.val))
  }

  const createClient = (host: string): WorkerClient => ({
    exchange: async (url, request, deadline) => await network.carry(host, url, deadline, async () => {
      const worker = workers.get(url)
      if (worker === undefined || !worker.isUp()) throw new Error('the worker is down')
      const sent = JSON.stringify(request)
      const startedAt = performance.now()
      const answered = JSON.stringify(worker.handle(JSON.parse(sent)))
      exchange.workerMs += performance.now() - startedAt
      exchange.requests += 1
      exchange.requestBytes += sent.length
      exchange.replyBytes += answered.length
      return JSON.parse(answered)
    })
  })

  const startHost = async (id: string): Promise<void> => {
    const known = hosts.get(id)
    const host: FakeHost = {
      id,
      log: known?.log ?? group.join(id),
      generation: (known?.generation ?? 0) + 1,
      gate: createPausableClock(clock, options.clockRates?.[id] ?? 1),
      coordinator: undefined
    }
    hosts.set(id, host)
    network.setDown(id, false)
    host.coordinator = await createZoneCoordinator({
      clock: host.gate,
      network: host.gate.guard(network.join(id)),
      logger: options.logger ?? createSilentLogger(),
      log: host.log,
      availabilityZone: ZONE,
      incarnation: `${id}-${host.generation}`,
      client: host.gate.guardClient(createClient(id)),
      createPlacement,
      journalStore: options.stores?.[id]
    })
  }

  const crashHost = (id: string): void => {
    const host = hosts.get(id)
    host?.coordinator?.abort()
    host?.gate.setPaused(false)
    if (host !== undefined) host.coordinator = undefined
    network.setDown(id, true)
  }

  const zone: FakeZone = {
    clock,
    random,
    network,
    log,
    hosts,
    workers,
    events,
    exchange,
    propose,
    startHost,
    crashHost,
    addJob: async (job) => {
      const full: Job = {
        member: 'parish',
        jobClass: 'match',
        size: { cores: 1, memoryBytes: 1e8, accelerators: 0 },
        tasks: 1,
        expectedRunMs: 2_000,
        urgent: false,
        idempotent: true,
        command: 'run',
        ...job
      }
      await propose({ kind: 'job.create', job: full, zones: [{ availabilityZone: ZONE, tasks: full.tasks }], wallTime: clock.wall() })
    },
    pauseHost: (id, paused) => {
      hosts.get(id)?.gate.setPaused(paused)
      network.setDown(id, paused)
    },
    setLogReachable: (id, reachable) => hosts.get(id)?.log.setReachable(reachable),
    listActive: () => [...hosts.values()].filter((host) => host.coordinator?.status().active === true).map((host) => host.id),
    findActive: () => [...hosts.values()].find((host) => host.coordinator?.status().active === true)?.coordinator,
    evict: (task, worker) => { evictions.push({ task, worker }) },
    crashWorker: (id) => { workers.get(id)?.crash() },
    restartWorker: (id) => { workers.get(id)?.restart() },
    advance: async (ms) => {
      await clock.advance(ms)
      workers.forEach((worker) => worker.update())
    }
  }

  await propose({ kind: 'member.put', member: { id: 'parish', tokenHash: 'a'.repeat(64), quota: { cores: 1e3, memoryBytes: 1e12, accelerators: 0 }, weight: 1 } })
  for (const id of names) {
    await propose({ kind: 'host.add', host: { id, availabilityZone: ZONE, region: 'r', peerAddress: '', httpAddress: '', hasDisk: false } })
  }
  for (let index = 1; index <= options.workers; index++) {
    const id = `w${index}`
    const capacity = options.capacity ?? FAKE_CAPACITY
    const plan = options.plan ?? (() => ({ runMs: 2_000, result: 'succeeded' as const }))
    workers.set(id, createWorkerCore({
      id,
      clock: createPausableClock(clock, options.clockRates?.[id] ?? 1),
      plan: (start) => plan(start.task, start.attempt),
      onEvent: (event) => events.push({ ...event, at: event.at / (options.clockRates?.[id] ?? 1) })
    }))
    if (index <= (options.registered ?? options.workers)) await propose({ kind: 'worker.register', worker: { id, availabilityZone: ZONE, rack: `rack-${index % 2}`, capacity, url: id } })
  }
  startLeader(clock, network, group.join('leader'))
  for (const id of names) await startHost(id)
  return zone
}

/** Starts a host of another zone, which leads the log and issues the epochs. */
function startLeader (clock: ManualClock, network: SimpleNetwork, log: HostLog): void {
  const peer = network.join('leader')
  const supervisor = startSupervisor({ clock, network: peer, logger: createSilentLogger(), log, signal: new AbortController().signal })
  peer.handle('zone.heartbeat', async (from, body) => { supervisor.observe(from, heartbeatSchema.parse(body)) })
}
