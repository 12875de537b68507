import type { Clock } from '../../common/index.js'
import { getStepName } from '../../state/index.js'

/** Delay after the first round of refused starts of a step; doubles with each further round. */
const FIRST_DELAY_MS = 100
/** Long against the cost of a refused start, short against the time for which a job may have nothing running. */
const MAX_DELAY_MS = 2000
/** Maximum number of delayed steps; beyond it, those delayed first are dropped. */
const MAX_KNOWN_STEPS = 1000

/** `growsAt`: a refusal from this time on doubles the delay; earlier ones are answers to the same round of orders. */
interface Delay { ms: number, retryAt: number, growsAt: number }

/** Delays the next starts of a step whose starts are refused because of the work, on whatever worker. */
export interface StartBackoff {
  recordRefusal (task: string): void
  /** A worker has accepted a start. */
  recordStart (task: string): void
  /** Tasks of a step have been placed; the next ones wait until it is known whether their starts are refused. */
  recordPlacement (stepName: string): void
  /** True while no task of the step should be placed. */
  isDelayed (stepName: string): boolean
}

export function createStartBackoff ({ clock }: { clock: Clock }): StartBackoff {
  const delays = new Map<string, Delay>()
  return {
    recordRefusal: (task) => {
      const stepName = getStepName(task)
      const known = delays.get(stepName)
      if (known !== undefined && known.growsAt > clock.now()) return
      const ms = known === undefined ? FIRST_DELAY_MS : Math.min(MAX_DELAY_MS, known.ms * 2)
      const oldest = delays.size >= MAX_KNOWN_STEPS ? delays.keys().next().value : undefined
      if (oldest !== undefined) delays.delete(oldest)
      delays.set(stepName, { ms, retryAt: clock.now() + ms, growsAt: clock.now() + ms })
    },
    recordStart: (task) => { if (delays.size > 0) delays.delete(getStepName(task)) },
    recordPlacement: (stepName) => {
      const known = delays.get(stepName)
      if (known !== undefined) known.retryAt = clock.now() + known.ms
    },
    isDelayed: (stepName) => (delays.get(stepName)?.retryAt ?? -Infinity) > clock.now()
  }
}
