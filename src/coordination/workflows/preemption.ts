import type { Step } from '../../state/index.js'
import { canHold, countHeld, type Candidate } from './placement.js'

/** A late workflow keeps about this share of its value on the reference sites, so work that is late anyway gains little. */
const LATE_VALUE_SHARE = 0.15
/** A long-running task counts as this much work, as it has no end of its own. */
const LONG_RUNNING_GAIN_MS = 10_000

/** A best-effort run of a less urgent queue. */
export interface PreemptibleRun {
  task: string
  worker: string
  step: Step
  /** Work in ms that a stop would lose. */
  unsavedMs: number
  /** Expected time in ms until the run ends by itself. */
  endsInMs: number
  /** Its workflow has no value any more. */
  isWorthless: boolean
}

export interface PreemptionWorker {
  candidate: Candidate
  runs: readonly PreemptibleRun[]
  /** Steps of other runs whose capacity becomes free in time: they are being stopped, or expected to end. */
  ending: readonly Step[]
}

export interface PreemptionNeed {
  step: Step
  /** Number of waiting tasks. */
  count: number
  /** Share of the workers of the pool on which runs could be stopped that is passed in; what ends in time on the others is estimated from it. */
  sampledShare: number
  /** Time in ms within which the tasks have to start. */
  startWithinMs: number
  countStepRuns (worker: string, candidate: Candidate): number
}

interface Choice { runs: PreemptibleRun[], cost: number }

/**
 * Chooses the best-effort runs to stop so that the tasks of an urgent group can start in time, for loads in which best-effort
 * work holds the memory, accelerators or idle cores that the group needs. Work that is lost and the restore are compared with
 * the work of the group that would otherwise be late. Capacity that is free, is becoming free by stops, or becomes free in
 * time because runs end is used first. A gang is served whole or not at all.
 */
export function choosePreempted (need: PreemptionNeed, workers: readonly PreemptionWorker[], restoreMs: number): PreemptibleRun[] {
  const { step } = need
  const choices: Choice[] = []
  let missing = need.count
  workers.forEach(({ candidate, runs, ending: others }) => {
    const room = addRoom(candidate, others)
    const ending = runs.filter(({ endsInMs }) => endsInMs <= need.startWithinMs)
    const held = countHeld(addRoom(room, ending.map((run) => run.step)), need, need.count)
    missing -= held / need.sampledShare
    if (held === 0) choices.push(...listChoices(need, room, runs, restoreMs))
  })
  const gain = step.cores * (step.lasting ? LONG_RUNNING_GAIN_MS : step.expectedRunMs) * (1 - LATE_VALUE_SHARE)
  const chosen = choices.filter(({ cost }) => cost < gain).sort((a, b) => a.cost - b.cost).slice(0, Math.max(0, Math.ceil(missing)))
  return step.gang && chosen.length < missing ? [] : chosen.flatMap(({ runs }) => runs)
}

/** True when best-effort runs may be what keeps a task of the group off a worker. */
export function canHelp (need: Pick<PreemptionNeed, 'step' | 'countStepRuns'>, candidate: Candidate): boolean {
  return !canHold(candidate, need) && canHold(createEmpty(candidate), need)
}

/** Chooses the runs on one worker that make room for one task, if that is possible. */
function listChoices (need: PreemptionNeed, room: Candidate, runs: readonly PreemptibleRun[], restoreMs: number): Choice[] {
  const getCost = ({ isWorthless, unsavedMs, step }: PreemptibleRun): number => isWorthless ? 0 : step.cores * (unsavedMs + restoreMs)
  const isEnough = (stopped: readonly PreemptibleRun[]): boolean => canHold(addRoom(room, stopped.map((run) => run.step)), need)
  // Most workers cannot help, and sorting would cost more than this.
  if (!isEnough(runs)) return []
  const ordered = runs.toSorted((a, b) => getCost(a) - getCost(b) || a.endsInMs - b.endsInMs)
  const count = ordered.findIndex((_run, index) => isEnough(ordered.slice(0, index + 1))) + 1
  // A run with a low cost that was added first may no longer be needed; the most expensive one that can stay is left running.
  const needed = ordered.slice(0, count).toReversed().reduce((kept, run) => {
    const others = kept.filter((other) => other !== run)
    return isEnough(others) ? others : kept
  }, ordered.slice(0, count))
  return [{ runs: needed, cost: needed.reduce((sum, run) => sum + getCost(run), 0) }]
}

function addRoom (candidate: Candidate, steps: readonly Step[]): Candidate {
  if (steps.length === 0) return candidate
  const room = { ...candidate }
  steps.forEach(({ fills, cores, memoryMb, accelerators }) => {
    if (!fills) room.freeCores += cores
    room.spareCores += cores
    room.freeMemoryMb += memoryMb
    room.freeAccelerators += accelerators
  })
  return room
}

/** The worker without tasks that preemption could stop: only its size, labels and ordinary cores can rule a task out. */
function createEmpty (candidate: Candidate): Candidate {
  return { ...candidate, spareCores: candidate.cores, freeMemoryMb: candidate.memoryMb, freeAccelerators: candidate.accelerators }
}
