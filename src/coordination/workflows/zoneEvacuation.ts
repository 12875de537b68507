import type { Clock, Metrics } from '../../common/index.js'
import { hasEvacuatedZones, isStepDone, isZoneEvacuated, parseTaskName, type Entry, type Step, type WorkflowsState } from '../../state/index.js'
import { findStep } from './candidates.js'
import type { RunView, WorkerView } from './sessionState.js'
import { MAX_LAG_MS, MAX_SESSION_AUTHORITY_AGE_MS, ORDER_TIMEOUT_MS } from './timing.js'

/**
 * Which starts, runs and services an evacuated zone affects. Load: a few zones; the start orders of a session host, and for
 * the leader four times a second all runs, only while a zone is evacuated.
 */

/** Time from the acknowledgement of an evacuation until no task starts in the zone any more; the platform's default. */
export const DEFAULT_EVACUATE_MS = 5000
/** Members of a gang that was assigned before the evacuation may start for this long, so that the others do not reach their time-out. */
const GANG_GRACE_MS = 1000
/** A session host applies the entry at most this long after its commit, or gives no orders; its last order arrives within its time-out. */
const LAST_ORDER_MS = MAX_LAG_MS + MAX_SESSION_AUTHORITY_AGE_MS + ORDER_TIMEOUT_MS

export const EVACUATED_REASON = 'evacuated'

export interface ZoneEvacuations {
  /**
   * To be called after each applied entry. `hasAuthority`: this host gives orders now. A host without authority may be
   * applying an old entry, so it grants gangs no more time.
   */
  observeEntry (entry: Entry, hasAuthority: boolean): void
  /** To be called when a snapshot has replaced the state; it does not tell when a zone was evacuated. */
  reset (): void
  /** True if no start order for a run of the step may be sent to the workers of the zone. */
  isStartBlocked (zone: string, step: Step | undefined): boolean
}

/** Keeps until when the members of gangs may still start in each evacuated zone. */
export function createZoneEvacuations ({ clock, getState, metrics, evacuateMs = DEFAULT_EVACUATE_MS }: { clock: Clock, getState (): WorkflowsState, metrics?: Metrics, evacuateMs?: number }): ZoneEvacuations {
  const graceMs = Math.max(0, Math.min(GANG_GRACE_MS, evacuateMs - LAST_ORDER_MS))
  /** By zone. Zones without a deadline were evacuated before this host had a part in it. */
  const gangDeadlines = new Map<string, number>()
  const knownZones = new Set<string>()

  const syncZones = (): void => {
    const zones = getState().evacuatedZones?.map(({ zone }) => zone) ?? []
    knownZones.clear()
    zones.forEach((zone) => knownZones.add(zone))
    gangDeadlines.forEach((_deadline, zone) => { if (!knownZones.has(zone)) gangDeadlines.delete(zone) })
    metrics?.gauge('zones.evacuated', zones.length)
  }

  syncZones()
  return {
    observeEntry: (entry, hasAuthority) => {
      if (entry.kind !== 'zone.evacuate' && entry.kind !== 'zone.readmit') return
      // A repeated entry must not extend the deadline.
      const isNew = entry.kind === 'zone.evacuate' && !knownZones.has(entry.zone)
      syncZones()
      if (isNew && hasAuthority) gangDeadlines.set(entry.zone, clock.now() + graceMs)
    },
    reset: () => {
      gangDeadlines.clear()
      syncZones()
    },
    isStartBlocked: (zone, step) => isZoneEvacuated(getState(), zone) && (step?.gang !== true || clock.now() >= (gangDeadlines.get(zone) ?? -Infinity))
  }
}

/** True if workers of the service are known and all of them are in evacuated zones. */
export function isServiceEvacuated (state: WorkflowsState, service: string): boolean {
  if (!hasEvacuatedZones(state)) return false
  const workers = Object.values(state.workers).filter(({ life }) => life.service === service)
  return workers.length > 0 && workers.every(({ life }) => isZoneEvacuated(state, life.availabilityZone))
}

export interface GangRun { worker: WorkerView, run: RunView }

/**
 * Lists the runs of gangs that an evacuation has left incomplete: a member has not started and may no longer start, or has
 * already been released. The other members would wait for it until their time-out, and the gang is placed again only when all have ended.
 */
export function listIncompleteGangs (state: WorkflowsState, sessions: ReadonlyMap<string, WorkerView>, isStartBlocked: ZoneEvacuations['isStartBlocked']): GangRun[] {
  if (!hasEvacuatedZones(state)) return []
  const gangs = new Map<string, { count: number, isBlocked: boolean, runs: GangRun[] }>()
  sessions.forEach((worker) => {
    const zone = state.workers[worker.worker]?.life.availabilityZone ?? ''
    worker.runs.forEach((run) => {
      const step = findStep(state, run.task)
      if (step?.gang !== true) return
      const name = run.task.slice(0, run.task.lastIndexOf('.'))
      const gang = gangs.get(name) ?? { count: step.count, isBlocked: false, runs: [] }
      gangs.set(name, gang)
      gang.runs.push({ worker, run })
      gang.isBlocked ||= run.confirmedAt === undefined && isStartBlocked(zone, step)
    })
  })
  return [...gangs.values()].filter(({ count, isBlocked, runs }) => (isBlocked || runs.length < count) && isUnfinished(state, runs))
    .flatMap(({ runs }) => runs.filter(({ run }) => run.stopReason === undefined))
}

/** A gang whose step is done, or whose workflow has ended, is ending anyway. */
function isUnfinished (state: WorkflowsState, runs: readonly GangRun[]): boolean {
  const name = parseTaskName(runs[0]?.run.task ?? '')
  const record = state.workflows[name?.workflow ?? '']
  return name !== undefined && record !== undefined && record.outcome === undefined && !isStepDone(record, name.occurrence, name.step)
}
