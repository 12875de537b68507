import { createManualClock, createNoopMetrics, createNoopEventLoopMeter, createRandom, createSilentLogger, type Clock, type ManualClock } from '../common/index.js'
import { createWorkflowCoordinator, type ServiceBound, type WorkerClient, type WorkflowCoordinator } from '../coordination/workflows/index.js'
import { createMemoryLog, type MemoryFollower, type MemoryLog } from '../fakes/memoryLog.js'
import { createFakeRunFleet, type FakeRunFleet } from '../fakes/runFleet.js'
import { createSimpleNetwork, type SimpleNetwork } from '../fakes/simpleNetwork.js'
import type { Catalog, Entry, Step } from '../state/index.js'

/** Time to commit an entry on the reference hosts: one disk sync and the round trip to a majority. */
export const COMMIT_MS = 12
const STARTUP_MS = 1000
const DEFAULT_WORKER_CORES = 32
/** Value of the reference sites. */
export const HOST_LEASE_MS = 3000
export const DEFAULT_SERVICE_BOUND: ServiceBound = { overTargetMs: 4000, stopMs: 400 }

/** A step of one ordinary task, with no constraint and no optional feature. */
export const PLAIN_STEP: Step = {
  count: 1, cores: 2, memoryMb: 1000, accelerators: 0, expectedRunMs: 1000, dependsOn: [], gang: false, rackSensitive: false, speculative: false, checkpoints: false, lasting: false, fills: false
}

/** A catalog with one queue of one service. */
export const ONE_QUEUE: Catalog = {
  version: 1,
  queues: [{ name: 'quotes', hostName: 'desk.example', pathPrefix: '/quotes/', service: 'desk', requestTimeoutMs: 3000, priority: 0, maxAttempts: 2, slackFactor: 2, objectiveMs: 500 }],
  pools: [{ service: 'desk', rejectsOverload: true, maxConnections: 64, standby: false }],
  document: '{}'
}

export interface EmulatedHosts {
  clock: ManualClock
  /** The first host's replica of the log; this host is the leader. */
  log: MemoryLog
  followers: Map<string, MemoryFollower>
  network: SimpleNetwork
  fleet: FakeRunFleet
  coordinators: Map<string, WorkflowCoordinator>
  propose (entry: Entry): Promise<unknown>
  submit (id: string, steps: Array<Partial<Step>>): void
  stop (): Promise<void>
}

export interface EmulatedHostsOptions {
  /** Names of the hosts; the first is the leader. */
  names: readonly string[]
  workers: number
  workerCores?: number
  serviceBound?: ServiceBound
  /** Seed of the random delays and losses of messages. */
  seed?: number
  /** Wraps the client by which a host calls the workers, for example to inject faults. */
  useClient? (clock: Clock, client: WorkerClient, host: string): WorkerClient
}

/** Creates hosts in virtual time, each with a replica of one log, and workers that are registered with them. */
export async function createEmulatedHosts ({ names, workers, workerCores = DEFAULT_WORKER_CORES, serviceBound = DEFAULT_SERVICE_BOUND, seed = 1, useClient }: EmulatedHostsOptions): Promise<EmulatedHosts> {
  const clock = createManualClock(1000)
  const [first = 'h1', ...others] = names
  const log = createMemoryLog(first, { clock, commitMs: COMMIT_MS })
  const followers = new Map(others.map((host) => [host, log.join(host)]))
  const fleet = createFakeRunFleet(clock)
  const network = createSimpleNetwork(clock, createRandom(seed))
  const coordinators = new Map(names.map((host) => [host, createWorkflowCoordinator({
    clock,
    logger: createSilentLogger(),
    metrics: createNoopMetrics(),
    work: createNoopEventLoopMeter(),
    network: network.join(host),
    log: followers.get(host) ?? log,
    availabilityZone: 'a',
    serviceBound,
    process: host,
    client: useClient?.(clock, fleet.client, host) ?? fleet.client,
    hosts: fleet.hosts,
    hostLeaseMs: HOST_LEASE_MS,
    advice: fleet.advice
  })]))
  const propose = async (entry: Entry): Promise<unknown> => log.propose(entry, Infinity)
  propose({ kind: 'catalog.put', catalog: ONE_QUEUE })
  Array.from({ length: workers }, (_, index) => fleet.addWorker({ id: `w${index}`, address: `127.0.0.1:${index}`, cores: workerCores }))
    .forEach(({ life }) => propose({ kind: 'life.report', life }))
  await clock.advance(STARTUP_MS)
  return {
    clock,
    log,
    followers,
    network,
    fleet,
    coordinators,
    propose,
    submit: (id, steps) => {
      propose({ kind: 'workflow.submit', queue: 'quotes', workflow: { id, command: 'run', steps: steps.map((step) => ({ ...PLAIN_STEP, ...step })) }, at: clock.wall() })
    },
    stop: async () => {
      await Promise.all([...[...coordinators.values()].map((coordinator) => coordinator.stop()), clock.advance(2000)])
    }
  }
}
