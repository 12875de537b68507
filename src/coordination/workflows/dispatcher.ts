import type { Clock, Logger, Metrics, WorkMeter } from '../../common/index.js'
import type { Assignment, WorkflowsState } from '../../state/index.js'
import { createTaskIndex, getPeerKey, listCandidates, type CandidateOptions, type Placing } from './candidates.js'
import { placeGroup, type GroupOptions } from './groups.js'
import { drainWorkers, observeSharing, stopStalled, type MoveOptions } from './moves.js'
import type { HoldReply } from './orders.js'
import { compareGroups, listWaiting, type WaitingGroup } from './plan.js'
import { createScarcity } from './scarcity.js'
import type { Session } from './sessionState.js'
import type { Signal } from './signal.js'

/** Passes over the waiting tasks are at least this far apart, so that a burst of changes shares one. */
const PASS_GAP_MS = 8
/** A workflow of which nothing runs for this long gets a task placed even beside a service that bears it badly. */
const STARVED_MS = 1000
/** The same while most cores of the pool are taken: a risky start soon has to leave again and helps nobody. */
const CROWDED_STARVED_MS = 5000
/** A pool with less than this part of its cores free is crowded. */
const CROWDED_SHARE = 0.35
/** While this part of a pool's cores is free, no workflow may stand still: the rule LOST asks for it below half of the capacity in use. */
const MOSTLY_FREE_SHARE = 0.5
/** How often the load is logged. */
const LOAD_LOG_MS = 1000
/** Assignments of one pass; an entry of the log stays small. */
const MAX_ASSIGNMENTS = 400

export interface DispatcherOptions extends CandidateOptions, GroupOptions, MoveOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  work: WorkMeter
  isActive (): boolean
  /** Resolves when the assignments are recorded, or it is known that they were not, or nothing is known. */
  assign (assignments: Assignment[]): Promise<void>
  wake: Signal
}

export interface Dispatcher {
  /** Asks for a pass soon. */
  schedule (): void
  /** The waiting tasks of a workflow, or of all, may have changed. */
  markChanged (workflow?: string): void
  observeReply (session: Session, reply: HoldReply): void
  stop (): void
}

/** Gives waiting tasks to workers, most urgent first. One pass at a time; each is one entry of the log. */
export function createDispatcher (options: DispatcherOptions): Dispatcher {
  const { clock, logger, getState, wake } = options
  const waiting = createWaitingIndex(options)
  const tasks = createTaskIndex(getState)
  /** Since when a step waits while nothing of it runs. */
  const idleSince = new Map<string, number>()
  /** Workflows that were started at a risk because they had waited. */
  const overdue = new Set<string>()
  const stopping = new AbortController()
  let loadLoggedAt = -Infinity

  const logLoad = (groups: WaitingGroup[], candidates: Map<string, Placing[]>): void => {
    const now = clock.now()
    if (now - loadLoggedAt < LOAD_LOG_MS) return
    loadLoggedAt = now
    const all = [...candidates.values()].flat()
    logger.info('dispatch.load', {
      waiting: groups.reduce((sum, { indexes }) => sum + indexes.length, 0),
      waitingLasting: groups.filter(({ step }) => step.lasting).reduce((sum, { indexes }) => sum + indexes.length, 0),
      longestIdleMs: Math.round(now - Math.min(now, ...idleSince.values())),
      groups: groups.length,
      workers: all.length,
      cores: Math.round(all.reduce((sum, { cores }) => sum + cores, 0)),
      freeCores: Math.round(all.reduce((sum, { freeCores }) => sum + freeCores, 0)),
      freeMemoryMb: Math.round(all.reduce((sum, { freeMemoryMb }) => sum + freeMemoryMb, 0)),
      spareCores: Math.round(all.reduce((sum, { spareCores }) => sum + spareCores, 0)),
      serving: all.reduce((sum, { serving }) => sum + serving.length, 0),
      servingWorkers: all.filter(({ serving }) => serving.length > 0).length,
      filling: all.reduce((sum, { filling }) => sum + filling.length, 0),
      mixedWorkers: all.filter(({ serving, filling }) => serving.length > 0 && filling.length > 0).length,
      slowWorkers: all.filter(({ slowness }) => slowness > 2).length
    })
  }

  const recordOverdue = ({ record, occurrence, stepNumber, indexes }: WaitingGroup): void => {
    const { id } = record.workflow
    if (overdue.has(id)) return
    overdue.add(id)
    const step = getPeerKey(id, occurrence, stepNumber)
    logger.info('workflow.overdue', { workflow: id, step, waiting: indexes.length, idleMs: Math.round(clock.now() - (idleSince.get(step) ?? clock.now())) })
  }

  const placeWaiting = (): Assignment[] => {
    const { work } = options
    const wallTime = clock.wall()
    const candidates = work.measure('dispatch.candidates', () => listCandidates(options, tasks))
    const groups = work.measure('dispatch.waiting', () => waiting.listGroups(wallTime))
    logLoad(groups, candidates)
    const assignments: Assignment[] = []
    const getScarcity = work.measure('dispatch.scarcity', () => createScarcity(groups, [...candidates.values()].flat(), (serving, filling) => options.sharing.estimateRisk(serving, filling, clock.now())))
    const starved = work.measure('dispatch.starved', () => updateStarved(idleSince, overdue, groups, candidates, clock.now()))
    overdue.forEach((id) => { if (!isOpen(getState(), id)) overdue.delete(id) })
    work.measure('dispatch.place', () => groups.forEach((group) => {
      if (assignments.length >= MAX_ASSIGNMENTS) return
      const placed = placeGroup(options, group, candidates, getScarcity, starved.has(group))
      if (starved.has(group) && placed.length > 0) recordOverdue(group)
      assignments.push(...placed)
    }))
    return assignments
  }

  const runPass = async (): Promise<void> => {
    const assignments = placeWaiting()
    options.work.measure('dispatch.move', () => {
      stopStalled(options)
      drainWorkers(options)
    })
    if (assignments.length === 0) return
    assignments.forEach(([task, worker, attempt]) => logger.info('run.assign', { task, attempt, worker }))
    options.metrics.count('run.assigned', assignments.length)
    await options.assign(assignments)
  }

  const runPasses = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      await wake.wait(Infinity)
      if (!stopping.signal.aborted && options.isActive()) await runPass()
      await clock.sleep(PASS_GAP_MS)
    }
  }

  runPasses().catch((error: unknown) => {
    logger.error('dispatch.failed', { message: error instanceof Error ? error.stack : String(error) })
  })

  return {
    schedule: () => wake.notify(),
    markChanged: (workflow) => waiting.markChanged(workflow),
    observeReply: (session) => observeSharing(options, session),
    stop: () => {
      stopping.abort()
      wake.notify()
    }
  }
}

interface WaitingIndex {
  listGroups (wallTime: number): WaitingGroup[]
  markChanged (workflow: string | undefined): void
}

/** Keeps the waiting tasks of each workflow until it changes; most workflows do not change between two passes. */
function createWaitingIndex ({ getState }: { getState (): WorkflowsState }): WaitingIndex {
  const known = new Map<string, WaitingGroup[]>()
  return {
    markChanged: (workflow) => workflow === undefined ? known.clear() : known.delete(workflow),
    listGroups: (wallTime) => {
      const state = getState()
      const queues = new Map(state.catalog?.queues.map((queue) => [queue.name, queue]) ?? [])
      return Object.values(state.workflows)
        .filter((record) => record.outcome === undefined)
        .flatMap((record) => {
          const { id, recurrence } = record.workflow
          const groups = known.get(id) ?? listWaiting(record, queues.get(record.queue), wallTime)
          // The tasks of a recurring workflow also change as time passes.
          if (recurrence === undefined) known.set(id, groups)
          return groups
        })
        .sort(compareGroups(wallTime))
    }
  }
}

/**
 * Groups of which nothing has run for long; lasting tasks count each by itself. A workflow that has waited once does not
 * wait again between its tasks while most of the pool is free: with short tasks it would stand still most of the time.
 */
function updateStarved (idleSince: Map<string, number>, overdue: ReadonlySet<string>, groups: WaitingGroup[], candidates: Map<string, Placing[]>, now: number): Set<WaitingGroup> {
  const freeShares = new Map([...candidates].map(([service, workers]) => [service, computeFreeShare(workers)]))
  const idle = groups.filter(({ step, indexes, record, occurrence, stepNumber }) =>
    step.lasting || indexes.length === step.count - (record.succeeded[`${occurrence}.${stepNumber}`] ?? 0))
  const keys = new Map(idle.map((group) => [getPeerKey(group.record.workflow.id, group.occurrence, group.stepNumber), group]))
  idleSince.forEach((_since, key) => { if (!keys.has(key)) idleSince.delete(key) })
  return new Set([...keys].filter(([key, { record, step }]) => {
    const since = idleSince.get(key) ?? now
    idleSince.set(key, since)
    return now - since >= getStarvedMs(step.lasting, freeShares.get(record.service) ?? 0, overdue.has(record.workflow.id))
  }).map(([, group]) => group))
}

function isOpen (state: WorkflowsState, workflow: string): boolean {
  const record = state.workflows[workflow]
  return record !== undefined && record.outcome === undefined
}

/** How long a group waits before it is placed at a risk. */
function getStarvedMs (isLasting: boolean, freeShare: number, isOverdue: boolean): number {
  if (isLasting) return STARVED_MS
  if (isOverdue && freeShare >= MOSTLY_FREE_SHARE) return 0
  return freeShare < CROWDED_SHARE ? CROWDED_STARVED_MS : STARVED_MS
}

function computeFreeShare (workers: readonly Placing[]): number {
  const cores = workers.reduce((sum, worker) => sum + worker.cores, 0)
  const free = workers.reduce((sum, worker) => sum + worker.freeCores, 0)
  return free / Math.max(1, cores)
}
