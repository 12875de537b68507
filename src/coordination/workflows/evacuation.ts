import type { Step } from '../../state/index.js'

/** Time for a stop to take effect and for a checkpoint to be written; a stop takes 200 to 400 ms on the reference sites. */
const STOP_RESERVE_MS = 500
/** When a worker does not say how long it stays, it is taken to stay this long. */
export const UNKNOWN_STAY_MS = 2000

export interface EvacuatedRun {
  task: string
  step: Step
  /** How long it has run, ms; nothing before its start was confirmed. */
  elapsedMs: number | undefined
  percent: number
}

/**
 * Tasks that have to leave a worker that goes away in `stayMs`: lasting ones at once, since each moment elsewhere
 * counts, and others when they would not end in time and more is saved than lost by moving them.
 */
export function listEvacuated (runs: readonly EvacuatedRun[], stayMs: number): string[] {
  return runs.filter((run) => run.step.lasting || (!canFinish(run, stayMs) && (run.step.checkpoints || isYoung(run)))).map(({ task }) => task)
}

function canFinish (run: EvacuatedRun, stayMs: number): boolean {
  return estimateRemainingMs(run) <= stayMs - STOP_RESERVE_MS
}

export function estimateRemainingMs ({ elapsedMs, percent, step }: EvacuatedRun): number {
  if (elapsedMs === undefined || percent <= 0) return Math.max(0, step.expectedRunMs - (elapsedMs ?? 0))
  return elapsedMs * (100 - percent) / percent
}

/** Too little has been done for its loss to matter more than the time until the worker leaves. */
function isYoung ({ percent }: EvacuatedRun): boolean {
  return percent < 30
}
