import { Err, Ok, type Clock, type Result } from '../common/index.js'
import type { AdviceClient, PollOrder, PollReply, HostClient, OrderRefusal, OrderReply, RunStatus, WorkerClient, WorkerFailure } from '../coordination/workflows/index.js'
import type { RunEnd, WorkerIncarnation } from '../state/index.js'

/** Interval at which a waiting poll checks for ended runs. */
const CHECK_ENDS_MS = 10
/** Longer leases are shortened to this. */
const MAX_LEASE_MS = 10_000

/** `isLasting`: the run is fully at work from its start, as a long-running task is. */
export interface RunPlan { runMs: number, result: 'succeeded' | 'failed' | 'never', isLasting?: boolean }
/** `hold` is a poll: it renews the lease of the worker and returns its runs. */
export type OrderKind = 'start' | 'stop' | 'hold'
/**
 * Fault of one order. `lost-order`: it never arrives. `lost-answer`: it is executed, but the answer is lost.
 * `late`: it is executed after `FakeRunFleet.lateMs`, without an answer, by the incarnation that the worker has then.
 */
export type OrderFault = 'none' | 'lost-order' | 'lost-answer' | 'late'

export interface RunEvent {
  at: number
  /** `lost`: the run ended with the process of its worker. */
  kind: 'started' | 'ended' | 'acknowledged' | 'lost'
  worker: string
  task: string
  attempt: number
  cause?: string
  /** Of an acknowledgement: when the lease of the worker last ended without having been renewed. */
  lapsedAt?: number
}

export interface RunningTask { attempt: number, startedAt: number, plan: RunPlan, reading: number | undefined }

/** A fake worker that follows the contract of orders: fencing tokens, one lease for all runs, numbered ends of runs. */
export interface FakeRunWorker {
  /** Incarnation of the worker. */
  readonly life: WorkerIncarnation
  readonly running: Map<string, RunningTask>
  /** Called for each order; returns the fault to inject. */
  fault: (kind: OrderKind, task: string | undefined) => OrderFault
  reachable: boolean
  setReading (task: string, reading: number): void
  /** Makes the worker unreachable and ends all its runs without reporting their ends. */
  crash (): void
  /** Ends the incarnation with all its runs and starts a later one under the same id and address, whose clock and counts start anew. */
  restart (): void
}

export interface FakeRunFleet {
  readonly client: WorkerClient
  /** Starts maintenance of a host, which crashes its workers. `onMaintenance` may bring them back. */
  readonly hosts: HostClient
  onMaintenance: (host: string, wave: number) => void
  readonly advice: AdviceClient
  /** Decides whether a worker may run a step; the advice client returns a ticket for each approved worker. */
  approved: (step: string, worker: string) => boolean
  /** Time of an answer of the advice service about a number of workers. */
  computeAdviceMs: (workers: number) => number
  readonly events: RunEvent[]
  readonly workers: Map<string, FakeRunWorker>
  addWorker (life: Partial<WorkerIncarnation> & { id: string }): FakeRunWorker
  /** Most ends in one reply to a poll; the others are listed once these are acknowledged. */
  endsPerReply: number
  /** Time from a stop order to the end of the run, ms. */
  stopMs: number
  /** Time from a late order to its execution, ms. */
  lateMs: number
  /** Returns the run time and result of a task; by default success after 1 s. */
  plan: (task: string, worker: string) => RunPlan
  /** Returns the reading that a worker reports for a task, given all tasks that run there; by default the value of `setReading`. */
  measure: (task: string, running: ReadonlyMap<string, RunningTask>, now: number) => number | undefined
}

const DEFAULT_INCARNATION: Omit<WorkerIncarnation, 'id'> = {
  bornAt: 1, service: 'desk', address: '127.0.0.1:1', availabilityZone: 'a', cores: 32, memoryMb: 128_000, accelerators: 0, labels: [], draining: false
}
const ADVICE_MS = 50

export function createFakeRunFleet (clock: Clock): FakeRunFleet {
  const events: RunEvent[] = []
  const workers = new Map<string, FakeRunWorker>()
  const states = new Map<string, FakeState>()
  const fleet: FakeRunFleet = {
    events,
    workers,
    onMaintenance: () => {},
    endsPerReply: Infinity,
    stopMs: 0,
    lateMs: 3000,
    approved: () => true,
    computeAdviceMs: () => ADVICE_MS,
    advice: {
      ask: async (step, named) => {
        await clock.sleep(fleet.computeAdviceMs(named.length))
        return Ok(named.filter((worker) => fleet.approved(step, worker)).map((worker) => ({ worker, ticket: `${step}@${worker}` })))
      }
    },
    hosts: {
      startUpkeep: async ({ host, wave }) => {
        workers.forEach((worker) => { if (worker.life.host === host) worker.crash() })
        fleet.onMaintenance(host, wave)
        return Ok(undefined)
      }
    },
    plan: () => ({ runMs: 1000, result: 'succeeded' }),
    measure: (task, running) => running.get(task)?.reading,
    addWorker: (partial) => {
      const createState = (life: WorkerIncarnation, startedAt: number): FakeState => ({ clock, startedAt, life, events, running: new Map(), ended: new Map(), fence: 0, leaseUntil: 0, lapsedAt: -Infinity, ends: [], lastEnd: 0, getEndsPerReply: () => fleet.endsPerReply, getStopMs: () => fleet.stopMs, plan: (task) => fleet.plan(task, life.id), measure: (...inputs) => fleet.measure(...inputs) })
      let state = createState({ ...DEFAULT_INCARNATION, ...partial }, 0)
      const worker: FakeRunWorker = {
        get life () { return state.life },
        get running () { return state.running },
        fault: () => 'none',
        reachable: true,
        setReading: (task, reading) => {
          const run = state.running.get(task)
          if (run !== undefined) run.reading = reading
        },
        crash: () => {
          removeRuns(state)
          worker.reachable = false
        },
        restart: () => {
          removeRuns(state)
          state = createState({ ...state.life, bornAt: state.life.bornAt + 1 }, clock.now())
          states.set(state.life.id, state)
          worker.reachable = true
        }
      }
      workers.set(state.life.id, worker)
      states.set(state.life.id, state)
      return worker
    },
    client: {
      start: (life, order, deadline) => deliver(life, 'start', order.task, deadline, (state) => handleStart(state, order)),
      stop: (life, order, deadline) => deliver(life, 'stop', order.task, deadline, (state) => handleStop(state, order)),
      poll: (life, order, deadline) => deliver(life, 'hold', undefined, deadline, (state) => handlePoll(state, order))
    }
  }

  const deliver = async <T>(life: WorkerIncarnation, kind: OrderKind, task: string | undefined, deadline: number, execute: (state: FakeState) => Promise<Result<T, WorkerFailure>>): Promise<Result<T, WorkerFailure>> => {
    const worker = workers.get(life.id)
    await clock.sleep(1)
    const state = states.get(life.id)
    const fault = worker?.reachable === true ? worker.fault(kind, task) : 'lost-order'
    if (state === undefined || fault === 'lost-order') return waitForDeadline(deadline)
    if (fault === 'late') {
      clock.sleep(fleet.lateMs).then(() => {
        const present = states.get(life.id)
        if (present !== undefined) return execute(present)
      })
      return waitForDeadline(deadline)
    }
    if (state.life.bornAt !== life.bornAt) return Err({ kind: 'other-life', bornAt: state.life.bornAt })
    const reply = await execute(state)
    if (fault === 'lost-answer' || worker?.reachable !== true) return waitForDeadline(deadline)
    await clock.sleep(1)
    return reply
  }

  const waitForDeadline = async (deadline: number): Promise<Result<never, WorkerFailure>> => {
    await clock.sleep(deadline - clock.now())
    return Err({ kind: 'no-answer', message: 'no answer in time' })
  }
  return fleet
}

interface FakeState {
  clock: Clock
  /** Time at which the worker's own clock started. */
  startedAt: number
  life: WorkerIncarnation
  events: RunEvent[]
  running: Map<string, RunningTask>
  /** Highest attempt that was stopped or has ended, by task. */
  ended: Map<string, number>
  fence: number
  /** By the shared clock, as all times of this state. */
  leaseUntil: number
  lapsedAt: number
  ends: RunEnd[]
  lastEnd: number
  getEndsPerReply (): number
  getStopMs (): number
  plan (task: string): RunPlan
  measure: FakeRunFleet['measure']
}

function getWorkerTime ({ clock, startedAt }: FakeState): number {
  return clock.now() - startedAt
}

/** Extends the lease to a time of the worker's own clock, as far as the worker grants leases. */
function renewLease (state: FakeState, until: number): void {
  const granted = Math.min(until, getWorkerTime(state) + MAX_LEASE_MS)
  state.leaseUntil = Math.max(state.leaseUntil, state.startedAt + granted)
}

/** Ends all runs with the process of the worker, which reports none of these ends. */
function removeRuns (state: FakeState): void {
  updateRuns(state)
  state.running.forEach(({ attempt }, task) => state.events.push({ at: state.clock.now(), kind: 'lost', worker: state.life.id, task, attempt }))
  state.running.clear()
  state.ended.clear()
}

function updateRuns (state: FakeState): void {
  const now = state.clock.now()
  if (state.leaseUntil <= now) state.lapsedAt = state.leaseUntil
  state.running.forEach((run, task) => {
    const endsAt = run.plan.result === 'never' ? Infinity : run.startedAt + run.plan.runMs
    if (endsAt <= Math.min(now, state.leaseUntil)) recordEnd(state, task, run.plan.result === 'failed' ? 'failed' : 'succeeded', endsAt)
    else if (state.leaseUntil <= now) recordEnd(state, task, 'lease-expired', state.leaseUntil)
  })
}

function recordEnd (state: FakeState, task: string, cause: RunEnd[3], at: number): void {
  const run = state.running.get(task)
  if (run === undefined) return
  state.running.delete(task)
  state.ended.set(task, Math.max(run.attempt, state.ended.get(task) ?? 0))
  state.lastEnd += 1
  state.ends.push([state.lastEnd, task, run.attempt, cause, ''])
  state.events.push({ at, kind: 'ended', worker: state.life.id, task, attempt: run.attempt, cause })
}

function checkFence (state: FakeState, fence: number): Result<void, WorkerFailure> {
  updateRuns(state)
  if (fence < state.fence) return reject(state, 'fenced')
  state.fence = fence
  return Ok(undefined)
}

function reject (state: FakeState, reason: OrderRefusal): Result<never, WorkerFailure> {
  return Err({ kind: 'refused', reason, clock: getWorkerTime(state) })
}

async function handleStart (state: FakeState, order: { task: string, attempt: number, fence: number, leaseUntil: number }): Promise<Result<OrderReply, WorkerFailure>> {
  const fenced = checkFence(state, order.fence)
  if (fenced.err) return fenced
  const now = state.clock.now()
  if (order.leaseUntil <= getWorkerTime(state)) return reject(state, 'late')
  renewLease(state, order.leaseUntil)
  const current = state.running.get(order.task)
  if (current?.attempt === order.attempt) return Ok({ clock: getWorkerTime(state) })
  if ((state.ended.get(order.task) ?? 0) >= order.attempt || current !== undefined) return reject(state, 'superseded')
  state.running.set(order.task, { attempt: order.attempt, startedAt: now, plan: state.plan(order.task), reading: undefined })
  state.events.push({ at: now, kind: 'started', worker: state.life.id, task: order.task, attempt: order.attempt })
  return Ok({ clock: getWorkerTime(state) })
}

async function handleStop (state: FakeState, order: { task: string, attempt: number, fence: number }): Promise<Result<OrderReply, WorkerFailure>> {
  const fenced = checkFence(state, order.fence)
  if (fenced.err) return fenced
  state.ended.set(order.task, Math.max(order.attempt, state.ended.get(order.task) ?? 0))
  const end = (): void => {
    if (state.running.get(order.task)?.attempt === order.attempt) recordEnd(state, order.task, 'stopped', state.clock.now())
  }
  if (state.getStopMs() === 0) end()
  else state.clock.sleep(state.getStopMs()).then(end)
  return Ok({ clock: getWorkerTime(state) })
}

async function handlePoll (state: FakeState, order: PollOrder): Promise<Result<PollReply, WorkerFailure>> {
  const fenced = checkFence(state, order.fence)
  if (fenced.err) return fenced
  const { clock } = state
  if (order.leaseUntil !== undefined) renewLease(state, order.leaseUntil)
  state.ends.filter(([number]) => number <= order.acknowledged).forEach(([, task, attempt, cause]) => {
    state.events.push({ at: clock.now(), kind: 'acknowledged', worker: state.life.id, task, attempt, cause, lapsedAt: state.lapsedAt })
  })
  state.ends = state.ends.filter(([number]) => number > order.acknowledged)
  const until = clock.now() + order.waitMs
  updateRuns(state)
  while (state.ends.length === 0 && clock.now() < until) {
    await clock.sleep(Math.min(CHECK_ENDS_MS, until - clock.now()))
    updateRuns(state)
  }
  const running = [...state.running].map(([task, { attempt, startedAt, plan }]): RunStatus => ({
    task,
    attempt,
    checkpoint: '',
    percent: plan.result === 'never' || plan.isLasting === true ? 100 : Math.min(99, Math.floor((clock.now() - startedAt) / plan.runMs * 100)),
    reading: state.measure(task, state.running, clock.now())
  }))
  const ends = state.ends.slice(0, state.getEndsPerReply())
  return Ok({ clock: getWorkerTime(state), running, ends, ...ends.length >= state.getEndsPerReply() && { hasMoreEnds: true } })
}
