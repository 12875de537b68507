import type { Queue, Workflow } from '../../state/index.js'
import { createTaskStepIndex, findRecord, type Pool } from './candidates.js'
import { formatUse, listOverShare, type QueueUse } from './fairShares.js'
import { createShortDemand } from './longRunningLimit.js'
import { getLateness, type WaitingGroup } from './plan.js'
import { createPreemptor, type PreemptorOptions } from './preemptor.js'
import { getWorkKind, hasWrongEstimates, type RoomForecastInput, type WorkKind } from './roomForecast.js'
import type { RunDurations } from './runDurations.js'
import type { TrackedGroup } from './waiting.js'
import { createWorkRates } from './workRates.js'
import { selectWorthy } from './worthlessWork.js'

/** The shares are computed again after this long; a pass starts at most a few hundred tasks. */
const SHARES_CACHE_MS = 100
/** Interval at which it is recorded whether work waits; several times within one bucket of the rates. */
const WAITING_CHECK_MS = 100
/** Minimum interval of the log line about queues over their shares. */
const SHARES_LOG_MS = 1000
const KINDS: readonly WorkKind[] = ['ordinary', 'bestEffort']

/** `reachability`: a worker has become reachable or unreachable. `expiry`: the leases of an unreachable worker have ended. */
export type Disturbance = 'reachability' | 'expiry'

/**
 * Workers count as coming and going for this long after such a change. The platform counts an interrupted long-running task as
 * lost after 7 s of calm, and 9 s after its last run, of which the lease takes 6 s; it has to be assigned and started before.
 */
const DISTURBED_MS: Record<Disturbance, number> = { reachability: 3000, expiry: 2000 }

export interface CompetitionSettings {
  preemption: boolean
  fairShares: boolean
  /** Refuses long-running workflows that would take the cores of short work. */
  longRunningLimit: boolean
  /** While workers come and go, long-running tasks take only the cores that short work has left free for a while. */
  longRunningYields: boolean
  /** Workers whose connections are lost again and again get no new tasks for a while. */
  flapSuspension: boolean
  /** Work in ms between two checkpoints of a task, and the time that a restore takes. */
  checkpointMs: number
  restoreMs: number
}

/** Defaults: the interval and restore time of the reference sites with the rarest checkpoints. */
export const DEFAULT_COMPETITION: CompetitionSettings = { preemption: true, fairShares: true, longRunningLimit: true, longRunningYields: false, flapSuspension: true, checkpointMs: 1000, restoreMs: 250 }

export interface CompetitionOptions extends PreemptorOptions { settings: CompetitionSettings, runDurations: Pick<RunDurations, 'forecast' | 'forecastEnd'> }

/** What the leader learns and decides about work that competes for capacity. It is lost with the term and learned again. */
export interface Competition {
  recordAccepted (queue: Queue, workflow: Workflow): void
  recordSucceeded (task: string): void
  /** Measured rates for the forecast of a workflow; none when its estimates are known to be wrong. */
  getRates (queue: Queue, workflow: Workflow): RoomForecastInput['rates']
  readonly hasFairShares: boolean
  /** Whether long-running tasks ever yield to short work. */
  readonly longRunningYields: boolean
  recordDisturbance (disturbance: Disturbance): void
  /** True while long-running tasks yield to short work. */
  yieldsToShortWork (): boolean
  /** Cores that short work of the service needs; 0 if long-running work is not limited. */
  getShortDemand (service: string): number
  /** The groups that may be placed now. */
  selectStartable (trackedGroups: TrackedGroup[], wallTime: number): TrackedGroup[]
  /** 1 for a group whose queue holds more than its share of the pool, otherwise 0. */
  getShareRank (group: WaitingGroup): number
  /** Takes in the result of a pass, and stops best-effort runs for urgent groups that are blocked. */
  observePass (trackedGroups: TrackedGroup[], pools: ReadonlyMap<string, Pool>, wallTime: number): void
}

export function createCompetition (options: CompetitionOptions): Competition {
  const { clock, settings, getState } = options
  const rates = createWorkRates()
  const shortDemand = createShortDemand()
  const findTaskStep = createTaskStepIndex(getState)
  const preemptor = createPreemptor(options)
  /** A new leader begins in a disturbance: its predecessor was lost, or workers have just connected. */
  let disturbedUntil = clock.now() + DISTURBED_MS.reachability
  let overShare: ReadonlySet<string> = new Set()
  let sharesUntil = -Infinity
  let waitingCheckedAt = -Infinity
  let sharesLoggedAt = -Infinity
  /** Groups that the last pass left out. */
  let deferred = 0

  const reportOverShare = (uses: readonly QueueUse[]): void => {
    uses.forEach(({ queue }) => options.metrics.count('queue.over_share', 1, { queue }))
    if (uses.length === 0 || clock.now() - sharesLoggedAt < SHARES_LOG_MS) return
    sharesLoggedAt = clock.now()
    uses.forEach(({ queue, kind, heldCores }) => options.logger.info('queue.over-share', { queue, work: kind, heldCores: Math.round(heldCores) }))
  }

  const updateShares = (trackedGroups: readonly TrackedGroup[]): void => {
    if (!settings.fairShares || clock.now() < sharesUntil) return
    sharesUntil = clock.now() + SHARES_CACHE_MS
    const uses = listWaitingQueues(trackedGroups)
    overShare = new Set()
    if (!hasRivals([...uses.values()])) return
    Object.values(getState().workers).forEach(({ assigned }) => Object.keys(assigned).forEach((task) => {
      const taskStep = findTaskStep(task)
      if (taskStep === undefined || taskStep.step.lasting) return
      const use = uses.get(formatUse(findRecord(getState(), taskStep.stepName)?.queue ?? '', getWorkKind(taskStep.step)))
      if (use !== undefined) use.heldCores += taskStep.step.cores
    }))
    overShare = listOverShare([...uses.values()])
    reportOverShare([...uses.values()].filter(({ queue, kind }) => overShare.has(formatUse(queue, kind))))
  }

  const recordWaiting = (trackedGroups: readonly TrackedGroup[], pools: ReadonlyMap<string, Pool>, wallTime: number): void => {
    if (clock.now() - waitingCheckedAt < WAITING_CHECK_MS) return
    waitingCheckedAt = clock.now()
    options.metrics.gauge('work.deferred', deferred)
    const blocked = trackedGroups.filter(({ group, progress }) => progress.isBlocked && !progress.isSchedulerLimited && !group.step.lasting && getLateness(group, wallTime) < 2)
    pools.forEach(({ workers }, service) => KINDS.forEach((kind) => {
      const waitingCores = blocked.filter(({ group }) => group.record.service === service && getWorkKind(group.step) === kind).reduce((sum, { group }) => sum + group.indexes.length * group.step.cores, 0)
      // With less waiting work the rate may be limited by what arrives, for example if only one image has no room.
      rates.recordWaiting(service, kind, waitingCores > 0 && waitingCores >= countRunningCores(workers, kind), clock.now())
    }))
  }

  return {
    recordAccepted: (queue, workflow) => {
      shortDemand.recordAccepted(queue.service, workflow, clock.now())
      workflow.steps.filter(({ lasting }) => !lasting && workflow.recurrence === undefined).forEach((step) => {
        rates.recordAccepted(queue, getWorkKind(step), step.count * step.cores * step.expectedRunMs, clock.now())
      })
    },
    getShortDemand: (service) => settings.longRunningLimit ? shortDemand.get(service, clock.now()) : 0,
    recordSucceeded: (task) => {
      const taskStep = findTaskStep(task)
      const record = taskStep === undefined ? undefined : findRecord(getState(), taskStep.stepName)
      if (taskStep === undefined || record === undefined || taskStep.step.lasting) return
      rates.recordCompleted(record.service, getWorkKind(taskStep.step), taskStep.step.cores * taskStep.step.expectedRunMs, clock.now())
    },
    hasFairShares: settings.fairShares,
    longRunningYields: settings.longRunningYields,
    recordDisturbance: (disturbance) => { disturbedUntil = Math.max(disturbedUntil, clock.now() + DISTURBED_MS[disturbance]) },
    yieldsToShortWork: () => settings.longRunningYields && clock.now() < disturbedUntil,
    getRates: (queue, workflow) => hasWrongEstimates(options.runDurations, queue, workflow) ? {} : Object.fromEntries(KINDS.map((kind) => [kind, rates.get(queue, kind, clock.now())]).filter(([, measured]) => measured !== undefined)),
    selectStartable: (trackedGroups, wallTime) => {
      updateShares(trackedGroups)
      const startable = selectWorthy(trackedGroups, wallTime)
      deferred = trackedGroups.length - startable.length
      return startable
    },
    getShareRank: ({ record, step }) => overShare.size > 0 && !step.lasting && overShare.has(formatUse(record.queue, getWorkKind(step))) ? 1 : 0,
    observePass: (trackedGroups, pools, wallTime) => {
      recordWaiting(trackedGroups, pools, wallTime)
      if (settings.preemption) preemptor.run(trackedGroups, pools, wallTime)
    }
  }
}

/** Queues with waiting short tasks, by `formatUse`. */
function listWaitingQueues (trackedGroups: readonly TrackedGroup[]): Map<string, QueueUse> {
  const uses = trackedGroups.filter(({ group: { step } }) => !step.lasting).map(({ group: { record, step, priority } }): QueueUse =>
    ({ queue: record.queue, service: record.service, priority, kind: getWorkKind(step), heldCores: 0, isWaiting: true }))
  return new Map(uses.map((use) => [formatUse(use.queue, use.kind), use]))
}

function hasRivals (uses: readonly QueueUse[]): boolean {
  return new Set(uses.map(({ service, priority, kind }) => `${service} ${priority} ${kind}`)).size < uses.length
}

/** Cores that the running short tasks of a kind hold. */
function countRunningCores (workers: Pool['workers'], kind: WorkKind): number {
  return workers.reduce((sum, { cores, freeCores, freeWithoutShortTasks, bestEffort }) => sum + (kind === 'bestEffort'
    ? bestEffort.reduce((held, { coreShare }) => held + coreShare * cores, 0)
    : (freeWithoutShortTasks?.freeCores ?? freeCores) - freeCores), 0)
}
