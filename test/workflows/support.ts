import { Err, createManualClock, createNoopMetrics, createNoopEventLoopMeter, createSilentLogger, type Clock, type ManualClock, type RequestHandler } from '../../src/common/index.js'
import { createWorkflowCoordinator, type WorkerClient, type WorkflowCoordinator, type WorkflowCoordinatorOptions, type WorkflowReply, type WorkflowRequest } from '../../src/coordination/workflows/index.js'
import type { Candidate } from '../../src/coordination/workflows/placement.js'
import { WORKFLOW_MESSAGE } from '../../src/coordination/workflows/messages.js'
import { COMMIT_MS, createEmulatedHosts, DEFAULT_SERVICE_BOUND, HOST_LEASE_MS, ONE_QUEUE, PLAIN_STEP, type EmulatedHosts } from '../../src/emulator/index.js'
import { createMemoryLog, type MemoryLog } from '../../src/fakes/memoryLog.js'
import { createFakeRunFleet, type FakeRunFleet, type RunEvent } from '../../src/fakes/runFleet.js'
import { findSessionHost, type Catalog, type Entry, type Step, type Workflow } from '../../src/state/index.js'

export { DEFAULT_SERVICE_BOUND as SERVICE_BOUND, HOST_LEASE_MS, ONE_QUEUE as CATALOG, PLAIN_STEP as STEP }
export type { EmulatedHosts as Hosts }

/** From the start of a session on, orders of an earlier session host may be under way for at most this long. */
export const INHERITED_ORDERS_MS = 15_000

export function createCandidate (id: string, more: Partial<Candidate> = {}): Candidate {
  return {
    id, service: 'desk', availabilityZone: 'a', labels: [], rack: undefined, cores: 32, memoryMb: 100_000, accelerators: 0, freeCores: 32, spareCores: 32, freeMemoryMb: 100_000, freeAccelerators: 0, latencyCritical: [], bestEffort: [], slowness: 1, ...more
  }
}

export interface Scene {
  clock: ManualClock
  log: MemoryLog
  fleet: FakeRunFleet
  coordinator: WorkflowCoordinator
  /** While true, the coordinator knows of no leader, like a process that has just started and reads its log. */
  setReplaying (isReplaying: boolean): void
  /** Ends the term of the present coordinator and starts a later one on the same log, as after a loss of the leader. */
  changeLeader (): Promise<void>
  send (request: WorkflowRequest): Promise<WorkflowReply>
  /** Submits a workflow and advances the clock until the reply. */
  submit (id: string, steps: Array<Partial<Step>>, more?: Partial<Workflow>, queue?: string): Promise<WorkflowReply>
  /** Advances the clock in steps of 10 ms, so that orders and answers interleave as in real time. */
  run (ms: number): Promise<void>
  listEvents (kind: RunEvent['kind']): RunEvent[]
}

/** Creates a leader with a replicated log in memory, and workers that can fail. */
export async function createScene (workers: string[], catalog: Catalog = ONE_QUEUE, more: Partial<WorkflowCoordinatorOptions> = {}): Promise<Scene> {
  const clock = createManualClock(1000)
  const log = createMemoryLog('h1', { clock, commitMs: COMMIT_MS })
  const fleet = createFakeRunFleet(clock)
  const handlers = new Map<string, RequestHandler>()
  const network = { self: 'h1', request: async () => Err({ kind: 'unreachable' as const, to: 'h2', message: 'no peers' }), handle: (kind: string, handler: RequestHandler) => { handlers.set(kind, handler) } }
  let term = 1
  let isReplaying = false
  const createCoordinator = (): WorkflowCoordinator => {
    const fence = term
    // Everything else goes to the shared log, of which tests replace functions.
    const ownLog: MemoryLog = Object.assign(Object.create(log), { status: () => ({ ...log.status(), term: fence, ...isReplaying && { leader: undefined } }) })
    return createWorkflowCoordinator({ clock, logger: createSilentLogger(), metrics: createNoopMetrics(), work: createNoopEventLoopMeter(), network, log: ownLog, availabilityZone: 'a', serviceBound: DEFAULT_SERVICE_BOUND, process: `p${term}`, client: fleet.client, hosts: fleet.hosts, hostLeaseMs: HOST_LEASE_MS, advice: fleet.advice, ...more })
  }
  let coordinator = createCoordinator()
  const commitEntry = async (entry: Entry): Promise<void> => {
    log.propose(entry, Infinity)
    await clock.advance(COMMIT_MS)
  }
  await commitEntry({ kind: 'catalog.put', catalog })
  for (const id of workers) {
    const { life } = fleet.addWorker({ id, address: `127.0.0.1:${fleet.workers.size + 1}` })
    await commitEntry({ kind: 'life.report', life })
  }
  const run = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += 10) await clock.advance(10)
  }
  await run(200)
  const send = async (request: WorkflowRequest): Promise<WorkflowReply> => {
    const replies: WorkflowReply[] = []
    handlers.get(WORKFLOW_MESSAGE)?.('edge', request).then((value) => replies.push(value as WorkflowReply))
    while (replies.length === 0) await clock.advance(1)
    return replies[0] as WorkflowReply
  }
  return {
    clock,
    log,
    fleet,
    get coordinator () { return coordinator },
    setReplaying: (value) => { isReplaying = value },
    changeLeader: async () => {
      const stopped = coordinator.stop()
      await Promise.all([stopped, run(1000)])
      term += 1
      coordinator = createCoordinator()
    },
    send,
    run,
    submit: (id, steps, more = {}, queue = 'quotes') => send({
      kind: 'submit', address: { hostName: 'desk.example', path: `/${queue}/${id}` }, remainingMs: 1000, heldMs: 0, workflow: { id, command: 'run', steps: steps.map((step) => ({ ...PLAIN_STEP, ...step })), ...more }
    }),
    listEvents: (kind) => fleet.events.filter((event) => event.kind === kind)
  }
}

/** Creates hosts with workers; `useClient` may wrap the client by which a host reaches its workers. */
export function createHosts (names: readonly string[], workers: number, useClient?: (clock: Clock, client: WorkerClient, host: string) => WorkerClient): Promise<EmulatedHosts> {
  return createEmulatedHosts({ names, workers, ...useClient !== undefined && { useClient } })
}

/** Lists tasks of which two runs existed at the same time, once for each time. */
export function listDoubled (events: readonly RunEvent[]): string[] {
  const running = new Map<string, number>()
  return events.toSorted((a, b) => a.at - b.at).flatMap(({ kind, task }) => {
    const count = (running.get(task) ?? 0) + (kind === 'started' ? 1 : kind === 'ended' || kind === 'lost' ? -1 : 0)
    running.set(task, count)
    return count > 1 ? [task] : []
  })
}

/** Lists the workers whose session host is `host` by the session assignment in the replicated log. */
export function listOwned ({ log }: EmulatedHosts, host: string): string[] {
  const { workers, sessionHosts } = log.state().workflows
  return Object.values(workers).filter(({ life }) => findSessionHost(sessionHosts, life) === host).map(({ life }) => life.id)
}
