import type { Workflow } from '../../state/index.js'

/** The demand is measured over this time, most of a period of the reference loads. */
const DEMAND_WINDOW_MS = 10_000
/** The demand rises to this multiple of its mean; the reference loads vary by 15 to 55% with time. */
const PEAK_FACTOR = 1.5
/** Time for which a task holds its cores besides its run: from the assignment to the start, and from its end to the next assignment. */
const HANDLING_MS = 300

interface AcceptedWork { at: number, coreMs: number }

/** Demand for the requested cores of a pool by work that ends. A new leader measures it again. */
export interface ShortDemand {
  recordAccepted (service: string, workflow: Workflow, now: number): void
  /** Cores that the short work of the service needs at its peaks; 0 without such work. */
  get (service: string, now: number): number
}

export function createShortDemand (): ShortDemand {
  const accepted = new Map<string, AcceptedWork[]>()
  const listRecent = (service: string, now: number): AcceptedWork[] => (accepted.get(service) ?? []).filter(({ at }) => at > now - DEMAND_WINDOW_MS)

  return {
    recordAccepted: (service, { steps, recurrence }, now) => {
      if (recurrence !== undefined) return
      const coreMs = steps.filter(({ lasting, fills }) => !lasting && !fills)
        .reduce((sum, { count, cores, expectedRunMs }) => sum + count * cores * (expectedRunMs + HANDLING_MS), 0)
      if (coreMs > 0) accepted.set(service, [...listRecent(service, now), { at: now, coreMs }])
    },
    get: (service, now) => PEAK_FACTOR * listRecent(service, now).reduce((sum, { coreMs }) => sum + coreMs, 0) / DEMAND_WINDOW_MS
  }
}

export interface LongRunningLoad {
  /** Cores of the workers that may receive tasks. */
  cores: number
  /** Cores that the accepted long-running tasks request. */
  longRunningCores: number
  shortDemandCores: number
}

/**
 * True when the pool has cores for the long-running tasks of a workflow beside the peaks of short work. Handles loads in which
 * long-running tasks request nearly all cores: each keeps its cores for a minute or more, so short work would be late for as
 * long, although it yields more value per core. Without short work all cores may be used.
 */
export function canAdmitLongRunning ({ cores, longRunningCores, shortDemandCores }: LongRunningLoad, { steps }: Workflow): boolean {
  const requested = steps.filter(({ lasting, fills }) => lasting && !fills).reduce((sum, step) => sum + step.count * step.cores, 0)
  return requested === 0 || shortDemandCores === 0 || longRunningCores + requested <= cores - shortDemandCores
}
