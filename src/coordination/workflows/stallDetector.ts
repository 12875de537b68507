import { parseTaskName, type Step } from '../../state/index.js'
import type { RunView, WorkerView } from './sessionState.js'

/** No run counts as stalled before this time without progress; covers the interval between two readings. */
const MIN_STALL_MS = 2500
/** A run may go without progress for this many times as long as sound runs of the same work did. */
const STILL_FACTOR = 3
/** A run may go without progress for this share of the time that it has run or is estimated to run, as progress may be uneven. */
const UNEVEN_SHARE = 0.25
/** Without any progress seen of the work, a run may take this many times its estimate, which may be wrong by a factor of ten. */
const ESTIMATE_FACTOR = 12
/** Work that stood still alone on this many workers progresses unevenly by itself. */
const UNEVEN_WORKERS = 2
/** Maximum number of steps with known progress; beyond it, those known first are dropped. */
const MAX_KNOWN_STEPS = 2000

/** What is known of the progress of a step, over all occurrences and workers. */
interface Work {
  /** The longest time without progress after which a run progressed again; undefined before any progress was seen. */
  longestStillMs: number | undefined
  /** Workers on which the work stood still while nothing else did. */
  stoodStillOn: Set<string>
}

/** Progress of a run at its last reading. `stillMs`: time without progress up to that reading. `work`: kept, as it takes long to find by the name of the task. */
interface Progress { percent: number, stillMs: number, work: Work }

/** `isWorkerStill`: no run of the worker makes progress, so the worker is the likely cause. */
export interface Stall { tasks: string[], isWorkerStill: boolean }

/** Finds runs that stand still, by the progress that is known or expected of their work. */
export interface StallDetector {
  /** Records the progress of a run in a reading that its worker took at `readAt`; 100 percent for a run that has succeeded. */
  observeProgress (run: RunView, percent: number, readAt: number): void
  findStall (session: WorkerView, findStep: (task: string) => Step | undefined): Stall
}

export function createStallDetector (): StallDetector {
  const works = new Map<string, Work>()
  const progressByRun = new WeakMap<RunView, Progress>()

  const getWork = (task: string): Work => {
    const name = parseTaskName(task)
    const key = `${name?.workflow}.${name?.step}`
    const known = works.get(key)
    if (known !== undefined) return known
    const oldest = works.size >= MAX_KNOWN_STEPS ? works.keys().next().value : undefined
    if (oldest !== undefined) works.delete(oldest)
    const created: Work = { longestStillMs: undefined, stoodStillOn: new Set() }
    works.set(key, created)
    return created
  }

  const findWork = (run: RunView): Work => progressByRun.get(run)?.work ?? getWork(run.task)

  /** How long a run may go without progress. */
  const computeAllowedMs = (run: RunView, { expectedRunMs }: Step): number => {
    const work = findWork(run)
    const byEstimate = expectedRunMs > 0 ? ESTIMATE_FACTOR * expectedRunMs : Infinity
    if (work.longestStillMs === undefined || work.stoodStillOn.size >= UNEVEN_WORKERS) return Math.max(MIN_STALL_MS, byEstimate)
    const progressedMs = run.progressAt - (run.confirmedAt ?? run.progressAt)
    return Math.max(MIN_STALL_MS, STILL_FACTOR * work.longestStillMs, UNEVEN_SHARE * Math.max(progressedMs, expectedRunMs))
  }

  return {
    observeProgress: (run, percent, readAt) => {
      const known = progressByRun.get(run)
      if (known?.percent === percent) {
        known.stillMs = Math.max(0, readAt - run.progressAt)
        return
      }
      const work = known?.work ?? getWork(run.task)
      progressByRun.set(run, { percent, stillMs: 0, work })
      // The first reading shows no progress, unless the run has ended before it.
      if (known === undefined && percent !== 100) return
      work.longestStillMs = Math.max(work.longestStillMs ?? 0, known?.stillMs ?? 0)
    },
    findStall: (session, findStep) => {
      // Counts up to the last reading, as nothing is known of the time since then.
      const getStillMs = (run: RunView): number => session.readAt - run.progressAt
      const runs = [...session.runs.values()].flatMap((run) => {
        const step = findStep(run.task)
        const isObserved = run.confirmedAt !== undefined && run.stopReason === undefined && run.status !== undefined && run.status.percent !== 100
        return step === undefined || step.lasting || !isObserved ? [] : [{ run, step }]
      })
      const stalled = runs.filter(({ run, step }) => getStillMs(run) > MIN_STALL_MS && getStillMs(run) > computeAllowedMs(run, step))
      if (stalled.length === 0) return { tasks: [], isWorkerStill: false }
      const isWorkerStill = runs.every(({ run }) => getStillMs(run) > MIN_STALL_MS)
      const stalledWorks = new Set(stalled.map(({ run }) => findWork(run)))
      if (stalledWorks.size === 1) stalledWorks.forEach(({ stoodStillOn }) => stoodStillOn.add(session.worker))
      // Runs of which less is known stand still as well if several others do, and none makes progress.
      const isProven = isWorkerStill && stalledWorks.size > 1
      return { tasks: (isProven ? runs : stalled).map(({ run }) => run.task), isWorkerStill }
    }
  }
}
