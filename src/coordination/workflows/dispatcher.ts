import { runSupervised, type Clock, type Logger, type Metrics, type EventLoopMeter } from '../../common/index.js'
import type { Assignment, WorkflowsState } from '../../state/index.js'
import type { Competition } from './competition.js'
import { createStartRate, type SchedulerLoad } from './admission.js'
import { createCandidates, createTaskStepIndex, formatStepName, type CandidateOptions, type PlacementCandidate, type Pool } from './candidates.js'
import { placeOnWorkers, type GroupOptions } from './groups.js'
import { createSettledRoom, createYieldReport, findSmallestTask, isInterrupted, canYield, splitPass } from './longRunningRoom.js'
import { drainWorkers, observeInterference, stopIncompleteGangs, stopInterfering, stopStalled, type MoveOptions } from './moves.js'
import { canHold, SAMPLE_SIZE, type PlacementNeeds } from './placement.js'
import { compareGroups, getLateness } from './plan.js'
import { createCompetingDemand } from './competingDemand.js'
import { createReservations, type SelectedPool } from './reservations.js'
import { createReservationSearch } from './reservationSearch.js'
import type { RunDurations } from './runDurations.js'
import type { RunCopies } from './runCopies.js'
import type { WorkerView } from './sessionState.js'
import type { Signal } from './signal.js'
import type { StartBackoff } from './startBackoff.js'
import { updateStarved } from './starvation.js'
import { createWaitingIndex, type TrackedGroup } from './waiting.js'

/** Minimum pause between scheduling passes, so that a burst of changes is handled by one pass. */
const MIN_PASS_INTERVAL_MS = 8
/**
 * A group that found too little capacity is tried on all workers again after this. Loads oscillate within 10 s and trials of
 * image pairs take 2 s, so little changes meanwhile. Workers whose free capacity has grown are tried in each pass.
 */
const BLOCKED_RETRY_MS = 100
/** Interval of the check for starved groups; a fraction of the shortest starvation threshold. */
const STARVED_CHECK_MS = 50
/** The competing demand is cached this long: it changes slowly, with the backlog, and needs an estimate for each image on each worker. */
const COMPETING_DEMAND_CACHE_MS = 200
/** Interval of the check for tasks to move off draining workers; the shortest notice period is a few seconds. */
const DRAIN_CHECK_MS = 100
/** Interval of the check for stalled runs; a tenth of the time without progress after which a run is stalled. */
const STALL_CHECK_MS = 250
const LOAD_LOG_MS = 1000
/** Limit for one pass, so that the log entry with its assignments stays small. */
const MAX_ASSIGNMENTS = 400
/** A pass that has taken this long places no further gangs, which are tried member by member on all workers, often in vain. */
const GANG_TIME_MS = 100

export interface DispatcherOptions extends CandidateOptions, GroupOptions, MoveOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  work: EventLoopMeter
  startBackoff: StartBackoff
  runDurations: RunDurations
  /** Whether workers are reserved for groups that fit on none now; interrupted long-running tasks get reservations in any case. Absent: yes. */
  looksAhead?: boolean | undefined
  competition: Competition
  isActive (): boolean
  /** Resolves when the assignments are committed or rejected, or when the attempt has timed out with an unknown outcome. `copies`: second runs of tasks that are running. */
  assign (assignments: Assignment[], copies: Assignment[]): Promise<void>
  /** Copies of stragglers; absent: none. */
  copies?: RunCopies
  wake: Signal
}

export interface Dispatcher {
  /** Requests a scheduling pass. */
  schedule (): void
  /** Marks the waiting tasks of one workflow, or of all, as possibly changed. */
  markChanged (workflow?: string): void
  /** Marks the runs of one worker, or of all, as possibly changed. */
  markWorkerChanged (worker?: string): void
  /** Updates the interference model from a worker's last report; to be called before the next report replaces it. */
  observeReport (worker: WorkerView): void
  /** Stops the best-effort tasks that, by the worker's new report, keep a latency-critical task over its target. */
  stopInterfering (worker: WorkerView): void
  /** Tasks that wait for the scheduler, of the given priority and more urgent ones. */
  getLoad (priority: number): SchedulerLoad
  stop (): void
}

/** Assigns waiting tasks to workers, most urgent first. Passes don't overlap, and each records its assignments in one log entry. */
export function createDispatcher (options: DispatcherOptions): Dispatcher {
  const { clock, logger, getState, wake, work } = options
  const waiting = createWaitingIndex(getState)
  const findTaskStep = createTaskStepIndex(getState)
  const candidates = createCandidates(options, findTaskStep)
  const reservations = createReservations({ ...options, looksAhead: options.looksAhead ?? true, search: createReservationSearch({ ...options, findTaskStep }) })
  const getCompetingDemand = createCompetingDemandCache(options)
  /** Open workflows of which a task was placed because they were starved. */
  const starvedWorkflows = new Set<string>()
  const startRate = createStartRate()
  const settledRoom = createSettledRoom()
  const reportYielding = createYieldReport(options)
  const interferenceOptions = { ...options, retainedLoggedAt: new WeakMap<WorkerView, number>() }
  const stopping = new AbortController()
  /** Waiting groups of the last pass. */
  let lastTracked: TrackedGroup[] = []
  let lastPools = new Map<string, Pool>()
  let loadLoggedAt = -Infinity
  let starvedCheckedAt = -Infinity
  let drainCheckedAt = -Infinity
  let stallCheckedAt = -Infinity
  /** By equivalence class: time until which its groups are tried only on workers whose free capacity has grown, because no other worker had enough. */
  const exhaustedUntil = new Map<string, number>()
  /** Position at which the next sample of workers begins. */
  let offset = 0

  const logLoad = (trackedGroups: TrackedGroup[], pools: Map<string, Pool>): void => {
    const now = clock.now()
    if (now - loadLoggedAt < LOAD_LOG_MS) return
    loadLoggedAt = now
    const all = [...pools.values()].flatMap(({ workers }) => workers)
    const groups = trackedGroups.map(({ group }) => group)
    logger.info('dispatch.load', {
      waiting: groups.reduce((sum, { indexes }) => sum + indexes.length, 0),
      waitingLongRunning: groups.filter(({ step }) => step.lasting).reduce((sum, { indexes }) => sum + indexes.length, 0),
      longestIdleMs: Math.round(trackedGroups.reduce((longest, { progress }) => Math.max(longest, now - (progress.idleSince ?? now)), 0)),
      groups: groups.length,
      workers: all.length,
      cores: Math.round(all.reduce((sum, { cores }) => sum + cores, 0)),
      freeCores: Math.round(all.reduce((sum, { freeCores }) => sum + freeCores, 0)),
      freeMemoryMb: Math.round(all.reduce((sum, { freeMemoryMb }) => sum + freeMemoryMb, 0)),
      spareCores: Math.round(all.reduce((sum, { spareCores }) => sum + spareCores, 0)),
      latencyCritical: all.reduce((sum, { latencyCritical }) => sum + latencyCritical.length, 0),
      latencyCriticalWorkers: all.filter(({ latencyCritical }) => latencyCritical.length > 0).length,
      bestEffort: all.reduce((sum, { bestEffort }) => sum + bestEffort.length, 0),
      mixedWorkers: all.filter(({ latencyCritical, bestEffort }) => latencyCritical.length > 0 && bestEffort.length > 0).length,
      slowWorkers: all.filter(({ slowness }) => slowness > 2).length
    })
  }

  const recordStarved = ({ group: { record, occurrence, stepNumber, indexes }, progress }: TrackedGroup): void => {
    const { id } = record.workflow
    if (starvedWorkflows.has(id)) return
    starvedWorkflows.add(id)
    logger.info('workflow.starved', { workflow: id, step: formatStepName(id, occurrence, stepNumber), waiting: indexes.length, idleMs: Math.round(clock.now() - (progress.idleSince ?? clock.now())) })
  }

  const placeWaiting = (): Assignment[] => {
    const now = clock.now()
    const wallTime = clock.wall()
    const pools = work.measure('dispatch.candidates', () => candidates.update(now))
    const trackedGroups = work.measure('dispatch.waiting', () => waiting.list(wallTime))
    lastPools = pools
    logLoad(trackedGroups, pools)
    if (now - starvedCheckedAt >= STARVED_CHECK_MS) {
      starvedCheckedAt = now
      starvedWorkflows.forEach((id) => { if (!isOpen(getState(), id)) starvedWorkflows.delete(id) })
      work.measure('dispatch.starved', () => updateStarved(trackedGroups, pools, starvedWorkflows, now))
    }
    return work.measure('dispatch.place', () => placeAll(trackedGroups, pools, now, wallTime))
  }

  const placeAll = (trackedGroups: TrackedGroup[], pools: Map<string, Pool>, now: number, wallTime: number): Assignment[] => {
    exhaustedUntil.forEach((until, equivalenceClass) => { if (until <= now) exhaustedUntil.delete(equivalenceClass) })
    const pass: Pass = { now, wallTime, getCompetingDemand: getCompetingDemand(trackedGroups, pools, now), exhausted: new Set() }
    const assignments: Assignment[] = []
    const compare = compareGroups(wallTime, options.competition.getShareRank)
    reservations.update(trackedGroups, pools, now, wallTime)
    const isDue = (tracked: TrackedGroup): boolean => {
      const pool = pools.get(tracked.group.record.service)
      // The retry time has come, or a worker whose free capacity has grown can hold a task of the group.
      return pool !== undefined && (tracked.progress.blockedUntil <= now || hasCapacity(tracked, reservations.selectFreed(tracked, pool, wallTime)))
    }
    const dueGroups = options.competition.selectStartable(trackedGroups, wallTime).filter(isDue).sort((a, b) => compare(a.group, b.group))
    const yields = options.competition.yieldsToShortWork()
    const order = splitPass(dueGroups, { yields, now, wallTime })
    const place = (tracked: TrackedGroup): Assignment[] => {
      const pool = pools.get(tracked.group.record.service)
      if (pool === undefined) return []
      const selected = reservations.selectPool(tracked, pool, now, wallTime)
      const isAdmitted = assignments.length < MAX_ASSIGNMENTS && !(tracked.group.step.gang && clock.now() >= now + GANG_TIME_MS)
      const placed = isAdmitted ? placeTracked(tracked, selected, pass) : []
      tracked.progress.isSchedulerLimited = assignments.length >= MAX_ASSIGNMENTS && hasCapacity(tracked, selected.pool.workers)
      placed.forEach((assignment) => assignments.push(assignment))
      return placed
    }
    trackedGroups.forEach(({ progress }) => { progress.isSchedulerLimited = false })
    order.first.forEach(place)
    reservations.openInterrupted(trackedGroups.filter((tracked) => isInterrupted(tracked) && !(yields && canYield(tracked, now))), pools, now)
    order.short.forEach(place)
    if (options.competition.longRunningYields) pools.forEach(({ workers }, service) => settledRoom.observe(service, workers, findSmallestTask(order.yielding, service), now))
    order.yielding.forEach((tracked) => placeSettled(tracked, place, now))
    reportYielding(order.yielding)
    order.rest.forEach(place)
    work.measure('dispatch.reserve', () => reservations.openBlocked(pools, now, wallTime))
    updateSchedulerLimited(trackedGroups, pools)
    options.competition.observePass(trackedGroups, pools, wallTime)
    lastTracked = trackedGroups
    startRate.record(now, assignments.length, trackedGroups.some(({ progress }) => progress.isSchedulerLimited))
    // Assignments take up capacity at once; the state shows later whether they were committed.
    assignments.forEach(([task, worker]) => candidates.recordPlaced(worker, task))
    return assignments
  }

  /** Places as many tasks of a long-running group as fit into the cores that short work has left free for a while. */
  const placeSettled = (tracked: TrackedGroup, place: (tracked: TrackedGroup) => Assignment[], now: number): void => {
    const { record: { service }, step, indexes } = tracked.group
    const count = settledRoom.countTasks(service, step.cores, now)
    const isPlaceable = step.gang ? count >= indexes.length : count > 0
    tracked.progress.isBlocked = true
    if (!isPlaceable) return
    const placed = place({ ...tracked, group: { ...tracked.group, indexes: indexes.slice(0, count) } })
    settledRoom.recordPlaced(service, placed.length * step.cores)
  }

  /** Returns the time until which a group is tried only on workers whose free capacity has grown, because the other workers recently had too little. */
  const getRetryAt = ({ group: { step }, progress }: TrackedGroup, equivalenceClass: string | undefined): number => {
    // Gangs and rack-sensitive groups are always tried on all workers, as they need the capacity of several together.
    if (step.gang || step.rackSensitive) return -Infinity
    return Math.max(progress.blockedUntil, exhaustedUntil.get(equivalenceClass ?? '') ?? -Infinity)
  }

  const isExhausted = (equivalenceClass: string | undefined, exhausted: ReadonlySet<string>): boolean => equivalenceClass !== undefined && exhausted.has(equivalenceClass)
  const recordPlaced = (tracked: TrackedGroup): void => {
    const { stepName, group, progress } = tracked
    options.startBackoff.recordPlacement(stepName)
    if (progress.isStarved) recordStarved(tracked)
    // One task started despite excess load is enough for the workflow to progress.
    if (!group.step.lasting) progress.isStarved = false
  }

  const placeTracked = (tracked: TrackedGroup, { pool, excluded }: SelectedPool, { now, wallTime, getCompetingDemand, exhausted }: Pass): Assignment[] => {
    const { group, progress, hasWorkerLimit } = tracked
    const { isStarved } = progress
    // A starved group accepts workers that the other groups of its equivalence class do not.
    const equivalenceClass = isStarved || tracked.equivalenceClass === undefined ? undefined : `${tracked.equivalenceClass}${excluded}`
    progress.isBlocked = true
    if (isExhausted(equivalenceClass, exhausted) || options.startBackoff.isDelayed(tracked.stepName)) return []
    const triesOnlyFreed = getRetryAt(tracked, equivalenceClass) > now
    offset += SAMPLE_SIZE
    const placed = placeOnWorkers(options, group, { pool: pool.workers, workers: triesOnlyFreed ? pool.freed : pool.workers, getCompetingDemand, isStarved, offset })
    progress.isBlocked = placed.length < group.indexes.length
    if (placed.length > 0) recordPlaced(tracked)
    if (placed.length > 0) reservations.recordPlaced(tracked, placed.map(([, worker]) => worker), now, wallTime)
    const hasTriedAll = progress.isBlocked && !triesOnlyFreed
    if (hasTriedAll) {
      progress.blockedUntil = now + BLOCKED_RETRY_MS
      reservations.recordBlocked(tracked, now)
    }
    if (equivalenceClass === undefined || hasWorkerLimit) return placed
    if (hasTriedAll) exhaustedUntil.set(equivalenceClass, progress.blockedUntil)
    if (progress.isBlocked) exhausted.add(equivalenceClass)
    else exhaustedUntil.delete(equivalenceClass)
    return placed
  }

  const moveRuns = (now: number): void => {
    if (now - stallCheckedAt >= STALL_CHECK_MS) {
      stallCheckedAt = now
      stopStalled(options)
      stopIncompleteGangs(options)
    }
    if (now - drainCheckedAt < DRAIN_CHECK_MS) return
    drainCheckedAt = now
    drainWorkers(options)
  }

  /** Runs a scheduling pass. Returns how long it occupied the thread; `runPasses` pauses as long, so passes take at most half of the thread. */
  const runPass = async (): Promise<number> => {
    const startedAt = clock.now()
    const assignments = placeWaiting()
    const copies = options.copies === undefined ? [] : work.measure('dispatch.copies', () => options.copies?.place({ pools: reservations.excludeReserved(lastPools), waiting: lastTracked, findTaskStep }) ?? [])
    copies.forEach(([task, worker]) => candidates.recordPlaced(worker, task))
    work.measure('dispatch.move', () => moveRuns(startedAt))
    const tookMs = clock.now() - startedAt
    if (assignments.length + copies.length === 0) return tookMs
    assignments.forEach(([task, worker, attempt]) => logger.info('run.assign', { task, attempt, worker }))
    options.metrics.count('run.assigned', assignments.length)
    await options.assign(assignments, copies)
    return tookMs
  }

  const runPasses = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      await wake.wait(Infinity)
      const tookMs = !stopping.signal.aborted && options.isActive() ? await runPass() : 0
      await clock.sleep(Math.max(MIN_PASS_INTERVAL_MS, tookMs))
    }
  }

  runSupervised({ clock, logger, event: 'dispatch.failed', isStopped: () => stopping.signal.aborted }, runPasses)

  return {
    schedule: () => wake.notify(),
    markChanged: (workflow) => waiting.markChanged(workflow),
    markWorkerChanged: (worker) => candidates.markChanged(worker),
    getLoad: (priority) => {
      // Groups that will be late are not counted: they wait until those that can be on time have been placed.
      const wallTime = clock.wall()
      const pendingGroups = lastTracked.filter(({ group, progress }) => progress.isSchedulerLimited && group.priority <= priority && !group.step.lasting && getLateness(group, wallTime) === 0)
      return { pendingTasks: pendingGroups.reduce((sum, { group }) => sum + group.indexes.length, 0), startsPerSecond: startRate.get(clock.now()) }
    },
    observeReport: (worker) => observeInterference(interferenceOptions, worker),
    stopInterfering: (worker) => stopInterfering(interferenceOptions, worker),
    stop: () => {
      stopping.abort()
      wake.notify()
    }
  }
}

/** True when one of the workers has the capacity for a task of the group. */
function hasCapacity ({ group, progress }: TrackedGroup, workers: readonly PlacementCandidate[]): boolean {
  const needs = { step: group.step, countStepRuns: () => 0, acceptsExcessLoad: progress.isStarved }
  return workers.some((worker) => canHold(worker, needs))
}

/** Marks blocked groups that would fit on busy workers: they wait for the scheduler, not for capacity. */
function updateSchedulerLimited (trackedGroups: TrackedGroup[], pools: Map<string, Pool>): void {
  const busy = new Map([...pools].filter(([, pool]) => pool.busy.length > 0).map(([service, pool]) => [service, pool.busy]))
  if (busy.size === 0) return
  trackedGroups.filter(({ progress, group }) => progress.isBlocked && group.isResumed !== true).forEach((tracked) => {
    tracked.progress.isSchedulerLimited ||= hasCapacity(tracked, busy.get(tracked.group.record.service) ?? [])
  })
}

/** State of one scheduling pass. `exhausted` holds the equivalence classes that no longer fit anywhere; capacity only shrinks during a pass. */
interface Pass { now: number, wallTime: number, getCompetingDemand: GetCompetingDemand, exhausted: Set<string> }

type GetCompetingDemand = PlacementNeeds['getCompetingDemand']

/** Computes the competing demand on first use, and again once the cached one has expired. */
function createCompetingDemandCache ({ interferenceModel }: DispatcherOptions): (trackedGroups: TrackedGroup[], pools: Map<string, Pool>, now: number) => GetCompetingDemand {
  let cached: { get: GetCompetingDemand, until: number } | undefined
  return (trackedGroups, pools, now) => (worker, image) => {
    if (cached === undefined || cached.until <= now) {
      const workers = [...pools.values()].flatMap(({ workers }) => workers)
      const get = createCompetingDemand(trackedGroups.map(({ group }) => group), workers, (latencyCritical, bestEffort) => interferenceModel.estimateExcessLoad(latencyCritical, bestEffort, now))
      cached = { get, until: now + COMPETING_DEMAND_CACHE_MS }
    }
    return cached.get(worker, image)
  }
}

function isOpen (state: WorkflowsState, workflow: string): boolean {
  const record = state.workflows[workflow]
  return record !== undefined && record.outcome === undefined
}
