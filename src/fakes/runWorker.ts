import { Err, Ok, type Clock, type Result } from '../common/index.js'
import type { AdviceClient, PollOrder, PollReply, HostClient, OrderRefusal, OrderReply, RunStatus, WorkerClient, WorkerFailure } from '../coordination/workflows/index.js'
import type { RunEnd, WorkerIncarnation } from '../state/index.js'

/** A hold that waits looks for ends this often. */
const POLL_MS = 10

export interface RunPlan { runMs: number, result: 'succeeded' | 'failed' | 'never' }
export type OrderKind = 'start' | 'stop' | 'hold'
/** `lost-order`: never arrives. `lost-answer`: executed, without an answer. `late`: executed after `lateMs` of the fleet, without an answer. */
export type OrderFault = 'none' | 'lost-order' | 'lost-answer' | 'late'

export interface RunEvent { at: number, kind: 'started' | 'ended' | 'acknowledged', worker: string, task: string, attempt: number, cause?: string }

export interface RunningTask { attempt: number, startedAt: number, plan: RunPlan, reading: number | undefined }

/** A worker that follows the contract of orders: fences, one lease for all runs, numbered ends. */
export interface FakeRunWorker {
  readonly life: WorkerIncarnation
  readonly running: Map<string, RunningTask>
  /** Called for each order; decides what happens to it. */
  fault: (kind: OrderKind, task: string | undefined) => OrderFault
  reachable: boolean
  setReading (task: string, reading: number): void
  /** Everything that runs ends without a word, as in a crash. */
  crash (): void
}

export interface FakeRunFleet {
  readonly client: WorkerClient
  /** Takes the workers of a host down; `onUpkeep` decides when and as what they return. */
  readonly hosts: HostClient
  onUpkeep: (host: string, wave: number) => void
  readonly advice: AdviceClient
  /** The workers that may run a step; each start there needs the ticket. */
  approved: (step: string, worker: string) => boolean
  readonly events: RunEvent[]
  readonly workers: Map<string, FakeRunWorker>
  addWorker (life: Partial<WorkerIncarnation> & { id: string }): FakeRunWorker
  /** From a stop until the task has ended, ms. */
  stopMs: number
  /** From a late order until it is executed, ms. */
  lateMs: number
  /** How long the tasks run; by default 1 s to success. */
  plan: (task: string, worker: string) => RunPlan
  /** What a worker reads of a task, given all tasks that run there; by default what was set for the task. */
  measure: (task: string, running: ReadonlyMap<string, RunningTask>, now: number) => number | undefined
}

const DEFAULT_LIFE: Omit<WorkerIncarnation, 'id'> = {
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
    onUpkeep: () => {},
    stopMs: 0,
    lateMs: 3000,
    approved: () => true,
    advice: {
      ask: async (step, named) => {
        await clock.sleep(ADVICE_MS)
        return Ok(named.filter((worker) => fleet.approved(step, worker)).map((worker) => ({ worker, ticket: `${step}@${worker}` })))
      }
    },
    hosts: {
      startUpkeep: async ({ host, wave }) => {
        workers.forEach((worker) => { if (worker.life.host === host) worker.crash() })
        fleet.onUpkeep(host, wave)
        return Ok(undefined)
      }
    },
    plan: () => ({ runMs: 1000, result: 'succeeded' }),
    measure: (task, running) => running.get(task)?.reading,
    addWorker: (partial) => {
      const life = { ...DEFAULT_LIFE, ...partial }
      const state: FakeState = { clock, life, events, running: new Map(), ended: new Map(), fence: 0, leaseUntil: 0, ends: [], lastEnd: 0, getStopMs: () => fleet.stopMs, plan: (task) => fleet.plan(task, life.id), measure: (...inputs) => fleet.measure(...inputs) }
      const worker: FakeRunWorker = {
        life,
        running: state.running,
        fault: () => 'none',
        reachable: true,
        setReading: (task, reading) => {
          const run = state.running.get(task)
          if (run !== undefined) run.reading = reading
        },
        crash: () => {
          state.running.clear()
          state.ended.clear()
          worker.reachable = false
        }
      }
      workers.set(life.id, worker)
      states.set(life.id, state)
      return worker
    },
    client: {
      start: (life, order, deadline) => deliver(life, 'start', order.task, deadline, (state) => handleStart(state, order)),
      stop: (life, order, deadline) => deliver(life, 'stop', order.task, deadline, (state) => handleStop(state, order)),
      poll: (life, order, deadline) => deliver(life, 'hold', undefined, deadline, (state) => handleHold(state, order))
    }
  }

  const deliver = async <T>(life: WorkerIncarnation, kind: OrderKind, task: string | undefined, deadline: number, execute: (state: FakeState) => Promise<Result<T, WorkerFailure>>): Promise<Result<T, WorkerFailure>> => {
    const worker = workers.get(life.id)
    const state = states.get(life.id)
    await clock.sleep(1)
    const fault = worker?.reachable === true ? worker.fault(kind, task) : 'lost-order'
    if (state === undefined || fault === 'lost-order') return giveUp(deadline)
    if (fault === 'late') clock.sleep(fleet.lateMs).then(() => execute(state))
    if (fault === 'late') return giveUp(deadline)
    if (state.life.bornAt !== life.bornAt) return Err({ kind: 'other-life' })
    const reply = await execute(state)
    if (fault === 'lost-answer' || worker?.reachable !== true) return giveUp(deadline)
    await clock.sleep(1)
    return reply
  }

  const giveUp = async (deadline: number): Promise<Result<never, WorkerFailure>> => {
    await clock.sleep(deadline - clock.now())
    return Err({ kind: 'no-answer', message: 'no answer in time' })
  }
  return fleet
}

interface FakeState {
  clock: Clock
  life: WorkerIncarnation
  events: RunEvent[]
  running: Map<string, RunningTask>
  /** The highest attempt that was stopped or ended, by task. */
  ended: Map<string, number>
  fence: number
  leaseUntil: number
  ends: RunEnd[]
  lastEnd: number
  getStopMs (): number
  plan (task: string): RunPlan
  measure: FakeRunFleet['measure']
}

function updateRuns (state: FakeState): void {
  const now = state.clock.now()
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
  return Err({ kind: 'refused', reason, clock: state.clock.now() })
}

async function handleStart (state: FakeState, order: { task: string, attempt: number, fence: number, leaseUntil: number }): Promise<Result<OrderReply, WorkerFailure>> {
  const fenced = checkFence(state, order.fence)
  if (fenced.err) return fenced
  const now = state.clock.now()
  if (order.leaseUntil <= now) return reject(state, 'late')
  state.leaseUntil = Math.max(state.leaseUntil, order.leaseUntil)
  const current = state.running.get(order.task)
  if (current?.attempt === order.attempt) return Ok({ clock: now })
  if ((state.ended.get(order.task) ?? 0) >= order.attempt || current !== undefined) return reject(state, 'superseded')
  state.running.set(order.task, { attempt: order.attempt, startedAt: now, plan: state.plan(order.task), reading: undefined })
  state.events.push({ at: now, kind: 'started', worker: state.life.id, task: order.task, attempt: order.attempt })
  return Ok({ clock: now })
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
  return Ok({ clock: state.clock.now() })
}

async function handleHold (state: FakeState, order: PollOrder): Promise<Result<PollReply, WorkerFailure>> {
  const fenced = checkFence(state, order.fence)
  if (fenced.err) return fenced
  const { clock } = state
  if (order.leaseUntil !== undefined && order.leaseUntil > clock.now()) state.leaseUntil = Math.max(state.leaseUntil, order.leaseUntil)
  state.ends.filter(([number]) => number <= order.acknowledged).forEach(([, task, attempt, cause]) => {
    state.events.push({ at: clock.now(), kind: 'acknowledged', worker: state.life.id, task, attempt, cause })
  })
  state.ends = state.ends.filter(([number]) => number > order.acknowledged)
  const until = clock.now() + order.waitMs
  updateRuns(state)
  while (state.ends.length === 0 && clock.now() < until) {
    await clock.sleep(Math.min(POLL_MS, until - clock.now()))
    updateRuns(state)
  }
  const running = [...state.running].map(([task, { attempt, startedAt, plan }]): RunStatus => ({
    task,
    attempt,
    checkpoint: '',
    percent: plan.result === 'never' ? 100 : Math.min(99, Math.floor((clock.now() - startedAt) / plan.runMs * 100)),
    reading: state.measure(task, state.running, clock.now())
  }))
  return Ok({ clock: clock.now(), running, ends: [...state.ends] })
}
