import type { PlacementCandidate, Pool } from './candidates.js'
import { addCapacity, type Capacity } from './capacityForecast.js'
import { compareUrgencyClasses, type WaitingGroup } from './plan.js'
import type { RunDurations } from './runDurations.js'

export interface Reservation {
  /** Key of the group, see `TrackedGroup`. */
  group: string
  workers: readonly string[]
  /** Time at which the workers are expected to have the capacity for the group. */
  readyAt: number
  expiresAt: number
}

export interface StoredReservation extends Reservation {
  waiting: WaitingGroup
  service: string
  waitingSince: number
  /** Held for an interrupted long-running task: no other work may use the workers meanwhile. */
  isExclusive: boolean
  /** What the workers are expected to have free at `readyAt` beside the tasks of the group. */
  spare: Map<string, Capacity>
  /** A more urgent group has taken capacity of the workers. */
  isOvertaken: boolean
  idleCoreMs: number
}

/** Records that a group took capacity of workers that are reserved for another one. */
export function recordOthers (reservation: StoredReservation, group: WaitingGroup, workers: readonly string[], wallTime: number): void {
  if (compareUrgencyClasses(group, reservation.waiting, wallTime) < 0) reservation.isOvertaken = true
  const { step } = group
  workers.forEach((worker) => {
    const spare = reservation.spare.get(worker)
    if (spare !== undefined) reservation.spare.set(worker, addCapacity(spare, step.fills ? { ...step, cores: 0 } : step, -1))
  })
}

/** Steady-clock time at which a task of the group ends in nine of ten cases if it starts now; infinite for long-running tasks. */
export function estimateEndAt (runDurations: RunDurations, { record, stepNumber, step }: WaitingGroup, now: number): number {
  if (step.lasting) return Infinity
  return now + runDurations.forecast({ queue: record.queue, image: step.image, step: stepNumber }, step.expectedRunMs).lateMs
}

/**
 * Wait that a reservation saves. How long the group would wait without one is not known; at least as long again as it has
 * waited is assumed, and if it can still be on time, until it cannot, but no longer than it will run.
 */
export function estimateSavedMs (group: WaitingGroup, waitedMs: number, wallTime: number): number {
  const slackMs = group.dueAt - wallTime - group.step.expectedRunMs
  return Math.max(waitedMs, group.step.lasting ? 0 : Math.min(slackMs, group.step.expectedRunMs))
}

/** Cores that are idle on the workers because of a reservation: the free ones that the group will use. */
export function measureIdleCores ({ workers, waiting: { step } }: StoredReservation, candidates: ReadonlyMap<string, PlacementCandidate>): number {
  return workers.reduce((sum, worker) => sum + Math.max(0, Math.min(step.cores, candidates.get(worker)?.freeCores ?? 0)), 0)
}

export function removeWorkers ({ workers, freed, busy }: Pool, excluded: ReadonlySet<string>): Pool {
  const isAllowed = ({ id }: PlacementCandidate): boolean => !excluded.has(id)
  return { workers: workers.filter(isAllowed), freed: freed.filter(isAllowed), busy }
}
