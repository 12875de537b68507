import type { Clock, Logger, Metrics, WorkMeter } from '../../common/index.js'
import type { Assignment, WorkflowsState } from '../../state/index.js'
import { createStartRate, type SchedulerLoad } from './admission.js'
import { createCandidates, createTaskIndex, getPeerKey, type CandidateOptions, type Placing, type Pool } from './candidates.js'
import { findReserved, placeAmong, type GroupOptions } from './groups.js'
import { drainWorkers, observeSharing, stopPressing, stopStalled, type MoveOptions } from './moves.js'
import { canHold, SAMPLE_SIZE, type PlacementNeeds } from './placing.js'
import { compareGroups, getLateness } from './plan.js'
import { createScarcity } from './scarcity.js'
import type { WorkerView } from './sessionState.js'
import type { Signal } from './signal.js'
import { createWaitingIndex, type WaitingWork } from './waiting.js'

/** Passes over the waiting tasks are at least this far apart, so that a burst of changes shares one. */
const PASS_GAP_MS = 8
/**
 * A group without room is tried on all workers again after this: loads swing within 10 s and trials of pairs take 2 s, so
 * less changes within it. Workers that have more room than before are tried in each pass.
 */
const RETRY_MS = 100
/** How often it is looked which groups have waited too long; a part of the shortest time that counts. */
const STARVED_CHECK_MS = 50
/** What waiting images need of workers changes with the backlog, hence slowly, and takes a look at each image and worker. */
const SCARCITY_AGE_MS = 200
/** Part of a pool's workers that may be kept for lasting tasks that have stopped; those are a small part of the load. */
const RESERVED_SHARE = 0.05
/** How often it is looked what has to leave a worker that goes away; the shortest stay is some seconds. */
const DRAIN_CHECK_MS = 100
/** How often it is looked which runs stand still; a tenth of the time that counts as a standstill. */
const STALL_CHECK_MS = 250
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
  /** The runs of a worker, or of all, may have changed. */
  markWorkerChanged (worker?: string): void
  /** Learns from the last report of a worker, before the next is taken in. */
  observeReport (worker: WorkerView): void
  /** Acts on the report of a worker that has just been taken in. */
  stopPressing (worker: WorkerView): void
  /** What the scheduler is behind with at a priority or before it. */
  getLoad (priority: number): SchedulerLoad
  stop (): void
}

/** Gives waiting tasks to workers, most urgent first. One pass at a time; each is one entry of the log. */
export function createDispatcher (options: DispatcherOptions): Dispatcher {
  const { clock, logger, getState, wake, work } = options
  const waiting = createWaitingIndex(getState)
  const candidates = createCandidates(options, createTaskIndex(getState))
  const getScarcity = createScarcityCache(options)
  /** Workflows that were started at a risk because they had waited. */
  const overdue = new Set<string>()
  const startRate = createStartRate()
  const sharingOptions = { ...options, keptLoggedAt: new WeakMap<WorkerView, number>() }
  const stopping = new AbortController()
  /** Waiting groups as of the last pass. */
  let lastWorks: WaitingWork[] = []
  let loadLoggedAt = -Infinity
  let starvedAt = -Infinity
  let drainedAt = -Infinity
  let stalledAt = -Infinity
  /** Until when kinds of groups count as without room on the workers that have no more of it than before. */
  const fullUntil = new Map<string, number>()
  /** Where the next sample of workers begins. */
  let offset = 0

  const logLoad = (works: WaitingWork[], pools: Map<string, Pool>): void => {
    const now = clock.now()
    if (now - loadLoggedAt < LOAD_LOG_MS) return
    loadLoggedAt = now
    const all = [...pools.values()].flatMap(({ workers }) => workers)
    const groups = works.map(({ group }) => group)
    logger.info('dispatch.load', {
      waiting: groups.reduce((sum, { indexes }) => sum + indexes.length, 0),
      waitingLasting: groups.filter(({ step }) => step.lasting).reduce((sum, { indexes }) => sum + indexes.length, 0),
      longestIdleMs: Math.round(now - Math.min(now, ...works.map(({ progress }) => progress.idleSince ?? now))),
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

  const recordOverdue = ({ group: { record, occurrence, stepNumber, indexes }, progress }: WaitingWork): void => {
    const { id } = record.workflow
    if (overdue.has(id)) return
    overdue.add(id)
    logger.info('workflow.overdue', { workflow: id, step: getPeerKey(id, occurrence, stepNumber), waiting: indexes.length, idleMs: Math.round(clock.now() - (progress.idleSince ?? clock.now())) })
  }

  const placeWaiting = (): Assignment[] => {
    const now = clock.now()
    const wallTime = clock.wall()
    const pools = work.measure('dispatch.candidates', () => candidates.update(now))
    const works = work.measure('dispatch.waiting', () => waiting.list(wallTime))
    logLoad(works, pools)
    if (now - starvedAt >= STARVED_CHECK_MS) {
      starvedAt = now
      overdue.forEach((id) => { if (!isOpen(getState(), id)) overdue.delete(id) })
      work.measure('dispatch.starved', () => updateStarved(works, pools, overdue, now))
    }
    return work.measure('dispatch.place', () => placeAll(works, pools, now, wallTime))
  }

  const placeAll = (works: WaitingWork[], pools: Map<string, Pool>, now: number, wallTime: number): Assignment[] => {
    fullUntil.forEach((until, kind) => { if (until <= now) fullUntil.delete(kind) })
    const pass: Pass = { now, getScarcity: getScarcity(works, pools, now), full: new Set() }
    const assignments: Assignment[] = []
    const compare = compareGroups(wallTime)
    const due = works.filter((work) => isDue(work, pools.get(work.group.record.service), now)).sort((a, b) => compare(a.group, b.group))
    const placeEach = (some: WaitingWork[], poolsLeft: Map<string, Pool>): void => some.forEach((work) => {
      const pool = poolsLeft.get(work.group.record.service)
      if (pool === undefined) return
      if (assignments.length < MAX_ASSIGNMENTS) assignments.push(...placeWork(work, pool, pass))
      else work.progress.isBehind = true
    })
    works.forEach(({ progress }) => { progress.isBehind = false })
    const resumed = works.filter(({ group }) => group.isResumed === true)
    placeEach(due.filter(({ group }) => group.isResumed === true), pools)
    placeEach(due.filter(({ group }) => group.isResumed !== true), removeReserved(pools, resumed))
    updateBehind(works, pools)
    lastWorks = works
    startRate.record(now, assignments.length, works.some(({ progress }) => progress.isBehind))
    // What is assigned counts from now on; whether it was recorded is seen in the state.
    assignments.forEach(([task, worker]) => candidates.recordPlaced(worker, task))
    return assignments
  }

  /** Until when a group is tried only on workers with more room than before, because the others had none a moment ago. */
  const getBlockedUntil = ({ group: { step }, progress }: WaitingWork, kind: string | undefined): number => {
    // These need the view of all workers: several of them together may have the room.
    if (step.gang || step.rackSensitive) return -Infinity
    return Math.max(progress.blockedUntil, fullUntil.get(kind ?? '') ?? -Infinity)
  }

  const placeWork = (work: WaitingWork, pool: Pool, { now, getScarcity, full }: Pass): Assignment[] => {
    const { group, progress, isBounded } = work
    const { isStarved } = progress
    // A starved group accepts what the others of its kind do not.
    const kind = isStarved ? undefined : work.kind
    progress.isBlocked = true
    if (kind !== undefined && full.has(kind)) return []
    const isPartial = getBlockedUntil(work, kind) > now
    offset += SAMPLE_SIZE
    const placed = placeAmong(options, group, { pool: pool.workers, workers: isPartial ? pool.freed : pool.workers, getScarcity, isStarved, offset })
    if (isStarved && placed.length > 0) recordOverdue(work)
    // One task at a risk is enough for the workflow to go on.
    if (placed.length > 0 && !group.step.lasting) progress.isStarved = false
    progress.isBlocked = placed.length < group.indexes.length
    const isFull = progress.isBlocked && !isPartial
    if (isFull) progress.blockedUntil = now + RETRY_MS
    if (kind === undefined || isBounded) return placed
    if (isFull) fullUntil.set(kind, progress.blockedUntil)
    if (progress.isBlocked) full.add(kind)
    else fullUntil.delete(kind)
    return placed
  }

  const moveRuns = (now: number): void => {
    if (now - stalledAt >= STALL_CHECK_MS) {
      stalledAt = now
      stopStalled(options)
    }
    if (now - drainedAt < DRAIN_CHECK_MS) return
    drainedAt = now
    drainWorkers(options)
  }

  /** Passes take up to half of the thread, whatever waits. Returns how long the thread was taken. */
  const runPass = async (): Promise<number> => {
    const startedAt = clock.now()
    const assignments = placeWaiting()
    work.measure('dispatch.move', () => moveRuns(startedAt))
    const tookMs = clock.now() - startedAt
    if (assignments.length === 0) return tookMs
    assignments.forEach(([task, worker, attempt]) => logger.info('run.assign', { task, attempt, worker }))
    options.metrics.count('run.assigned', assignments.length)
    await options.assign(assignments)
    return tookMs
  }

  const runPasses = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      await wake.wait(Infinity)
      const tookMs = !stopping.signal.aborted && options.isActive() ? await runPass() : 0
      await clock.sleep(Math.max(PASS_GAP_MS, tookMs))
    }
  }

  runPasses().catch((error: unknown) => {
    logger.error('dispatch.failed', { message: error instanceof Error ? error.stack : String(error) })
  })

  return {
    schedule: () => wake.notify(),
    markChanged: (workflow) => waiting.markChanged(workflow),
    markWorkerChanged: (worker) => candidates.markChanged(worker),
    getLoad: (priority) => {
      // Late work waits until what can still be on time has been placed.
      const wallTime = clock.wall()
      const ahead = lastWorks.filter(({ group, progress }) => progress.isBehind && group.priority <= priority && !group.step.lasting && getLateness(group, wallTime) === 0)
      return { ahead: ahead.reduce((sum, { group }) => sum + group.indexes.length, 0), startsPerSecond: startRate.get(clock.now()) }
    },
    observeReport: (worker) => observeSharing(sharingOptions, worker),
    stopPressing: (worker) => stopPressing(sharingOptions, worker),
    stop: () => {
      stopping.abort()
      wake.notify()
    }
  }
}

/** Groups without room wait for workers with more of it, or some time. */
function isDue ({ group, progress }: WaitingWork, pool: Pool | undefined, now: number): boolean {
  if (pool === undefined) return false
  if (progress.blockedUntil <= now) return true
  const needs = { step: group.step, countPeers: () => 0, acceptsRisk: progress.isStarved }
  return pool.freed.some((worker) => canHold(worker, needs))
}

/** The pools without the workers that are kept for lasting tasks that have stopped. */
function removeReserved (pools: Map<string, Pool>, resumed: WaitingWork[]): Map<string, Pool> {
  const blocked = resumed.filter(({ progress }) => progress.isBlocked)
  if (blocked.length === 0) return pools
  return new Map([...pools].map(([service, { workers, freed, busy }]) => {
    const most = Math.max(1, Math.floor(RESERVED_SHARE * workers.length))
    const reserved = new Set<Placing>()
    blocked.filter(({ group }) => group.record.service === service).forEach(({ group }) => group.indexes.forEach(() => {
      const worker = reserved.size < most ? findReserved(group, workers, reserved) : undefined
      if (worker !== undefined) reserved.add(worker)
    }))
    const isLeft = (worker: Placing): boolean => !reserved.has(worker)
    return [service, reserved.size === 0 ? { workers, freed, busy } : { workers: workers.filter(isLeft), freed: freed.filter(isLeft), busy }]
  }))
}

/** Marks groups without room for which workers have room that take no more starts for now. */
function updateBehind (works: WaitingWork[], pools: Map<string, Pool>): void {
  const busy = new Map([...pools].filter(([, pool]) => pool.busy.length > 0).map(([service, pool]) => [service, pool.busy]))
  if (busy.size === 0) return
  works.filter(({ progress, group }) => progress.isBlocked && group.isResumed !== true).forEach(({ group, progress }) => {
    const needs = { step: group.step, countPeers: () => 0, acceptsRisk: progress.isStarved }
    progress.isBehind ||= busy.get(group.record.service)?.some((worker) => canHold(worker, needs)) === true
  })
}

/** What one pass over the waiting groups shares; `full` are kinds of groups without room in this pass, which only shrinks. */
interface Pass { now: number, getScarcity: GetScarcity, full: Set<string> }

type GetScarcity = PlacementNeeds['getScarcity']

/** Computes scarcity when it is asked for and some time has passed. */
function createScarcityCache ({ sharing }: DispatcherOptions): (works: WaitingWork[], pools: Map<string, Pool>, now: number) => GetScarcity {
  let known: { get: GetScarcity, until: number } | undefined
  return (works, pools, now) => (worker, image) => {
    if (known === undefined || known.until <= now) {
      const workers = [...pools.values()].flatMap(({ workers }) => workers)
      const get = createScarcity(works.map(({ group }) => group), workers, (serving, filling) => sharing.estimateRisk(serving, filling, now))
      known = { get, until: now + SCARCITY_AGE_MS }
    }
    return known.get(worker, image)
  }
}

/**
 * Marks groups of which nothing has run for long; lasting tasks count each by itself. A workflow that has waited once
 * does not wait again between its tasks while most of the pool is free: with short tasks it would stand still most of
 * the time.
 */
function updateStarved (works: WaitingWork[], pools: Map<string, Pool>, overdue: ReadonlySet<string>, now: number): void {
  const freeShares = new Map([...pools].map(([service, { workers }]) => [service, computeFreeShare(workers)]))
  works.forEach(({ group: { step, indexes, record, occurrence, stepNumber }, progress }) => {
    const isIdle = step.lasting || indexes.length === step.count - (record.succeeded[`${occurrence}.${stepNumber}`] ?? 0)
    progress.idleSince = isIdle ? progress.idleSince ?? now : undefined
    const patienceMs = getStarvedMs(step.lasting, freeShares.get(record.service) ?? 0, overdue.has(record.workflow.id))
    const isStarved = progress.idleSince !== undefined && now - progress.idleSince >= patienceMs
    if (isStarved && !progress.isStarved) progress.blockedUntil = -Infinity
    progress.isStarved = isStarved
  })
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
