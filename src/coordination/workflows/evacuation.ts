import type { Step } from '../../state/index.js'

/** Time reserved for a stop and for writing a checkpoint; a stop takes 200 to 400 ms on the reference sites. */
export const STOP_MARGIN_MS = 500
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
 * Lists the tasks to move off a worker that leaves in `noticeMs`. Long-running tasks move at once, so that they run
 * elsewhere as early as possible. Others move when they cannot end in time and moving them loses little: they have a
 * checkpoint, or little progress.
 */
export function listEvacuated (runs: readonly EvacuatedRun[], noticeMs: number): string[] {
  return runs.filter((run) => run.step.lasting || (!canFinish(run, noticeMs) && (run.step.checkpoints || hasLittleProgress(run)))).map(({ task }) => task)
}

function canFinish (run: EvacuatedRun, noticeMs: number): boolean {
  return estimateRemainingMs(run) <= noticeMs - STOP_MARGIN_MS
}

export function estimateRemainingMs ({ elapsedMs, percent, step }: EvacuatedRun): number {
  if (elapsedMs === undefined || percent <= 0) return Math.max(0, step.expectedRunMs - (elapsedMs ?? 0))
  return elapsedMs * (100 - percent) / percent
}

/** True when losing the progress costs less than waiting until the worker leaves. */
function hasLittleProgress ({ percent }: EvacuatedRun): boolean {
  return percent < 30
}
