import type { Step } from '../../state/index.js'

/** Least time reserved for a stop and for writing a checkpoint. */
export const MIN_STOP_MARGIN_MS = 500
/** Time for a stop order to reach the worker, reserved in addition to the time that the worker takes to stop a run. */
const STOP_DELIVERY_MS = 100
/** Assumed notice period of a worker that does not announce when it leaves. */
export const DEFAULT_NOTICE_MS = 2000

export interface EvacuatedRun {
  task: string
  step: Step
  /** Time in ms since the start was confirmed; undefined before that. */
  elapsedMs: number | undefined
  percent: number
}

/**
 * Lists the tasks to move off a worker that leaves in `noticeMs` and takes up to `stopMs` to stop a run. Long-running tasks move at once, so that they run
 * elsewhere as early as possible. Others move when they cannot end in time and moving them loses little: they have a
 * checkpoint, or little progress.
 */
export function listEvacuated (runs: readonly EvacuatedRun[], noticeMs: number, stopMs: number): string[] {
  const usableMs = noticeMs - Math.max(MIN_STOP_MARGIN_MS, stopMs + STOP_DELIVERY_MS)
  return runs.filter((run) => run.step.lasting || (!canFinish(run, usableMs) && (run.step.checkpoints || hasLittleProgress(run)))).map(({ task }) => task)
}

function canFinish (run: EvacuatedRun, usableMs: number): boolean {
  return estimateRemainingMs(run) <= usableMs
}

export function estimateRemainingMs ({ elapsedMs, percent, step }: EvacuatedRun): number {
  if (elapsedMs === undefined || percent <= 0) return Math.max(0, step.expectedRunMs - (elapsedMs ?? 0))
  return elapsedMs * (100 - percent) / percent
}

/** True when losing the progress costs less than waiting until the worker leaves. */
function hasLittleProgress ({ percent }: EvacuatedRun): boolean {
  return percent < 30
}
