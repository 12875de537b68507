import { FAKE_CAPACITY, type FakeZone } from '../../src/fakes/zone.js'
import { decodeCheckpoint, type WorkerEvent } from '../../src/fakes/worker.js'

interface Run { worker: string, task: string, attempt: number, from: number, until: number, start: WorkerEvent, end: WorkerEvent | undefined }

/** Tolerance for rounding errors in times that are converted between clocks of different rates, ms. */
const TOLERANCE_MS = 0.001

/** The runs of tasks, composed from the start and end events that the workers recorded. */
function listRuns (events: WorkerEvent[]): Run[] {
  const open = new Map<string, Run>()
  const runs: Run[] = []
  events.forEach((event) => {
    const key = `${event.worker} ${event.task}`
    if (event.kind === 'started') {
      const run: Run = { worker: event.worker, task: event.task, attempt: event.attempt, from: event.at, until: Infinity, start: event, end: undefined }
      open.set(key, run)
      runs.push(run)
      return
    }
    const run = open.get(key)!
    run.until = event.at
    run.end = event
    open.delete(key)
  })
  return runs
}

function checkOverlap (runs: Run[]): string[] {
  return runs.flatMap((left, index) => runs.slice(index + 1)
    .filter((right) => right.task === left.task && left.from < right.until - TOLERANCE_MS && right.from < left.until - TOLERANCE_MS)
    .map((right) => `${left.task} runs on ${left.worker} #${left.attempt} ${left.from}-${left.until} and on ${right.worker} #${right.attempt} ${right.from}-${right.until}`))
}

function checkCapacity (runs: Run[]): string[] {
  return runs.flatMap((run) => {
    const cores = runs
      .filter((other) => other.worker === run.worker && other.from <= run.from && run.from < other.until - TOLERANCE_MS)
      .reduce((sum, other) => sum + other.start.size.cores, 0)
    return cores > FAKE_CAPACITY.cores ? [`${run.worker} runs ${cores} cores at ${run.from}`] : []
  })
}

function checkSequence (task: string, runs: Run[], idempotent: boolean): string[] {
  const attempts = new Set(runs.map((run) => run.attempt))
  const problems = attempts.size < runs.length ? [`${task} starts an attempt twice`] : []
  const fresh = runs.filter((run) => run.start.checkpoint === undefined)
  if (!idempotent && fresh.length > 1) problems.push(`${task} is not idempotent and starts from nothing ${fresh.length} times`)
  const succeeded = runs.filter((run) => run.end?.result === 'succeeded')
  if (!idempotent && succeeded.length > 0 && runs.at(-1) !== succeeded[0]) problems.push(`${task} starts again after it succeeded`)
  runs.slice(1).forEach((run, index) => {
    const previous = runs[index]!
    const resumed = decodeCheckpoint(run.start.checkpoint)
    if (resumed > decodeCheckpoint(previous.end?.checkpoint)) problems.push(`${task} #${run.attempt} resumes beyond what #${previous.attempt} had done`)
    if (!idempotent && previous.end?.result !== 'stopped') problems.push(`${task} is not idempotent and starts again after ${previous.end?.result}`)
  })
  return problems
}

/** Violations of the guarantees that hold at all times: no overlapping runs, no exceeded capacity, valid attempts and true outcomes. */
export function findViolations (zone: FakeZone): string[] {
  const runs = listRuns(zone.events)
  const byTask = new Map<string, Run[]>()
  runs.forEach((run) => byTask.set(run.task, [...byTask.get(run.task) ?? [], run]))
  const jobs = zone.log.state().jobs
  const sequences = [...byTask].flatMap(([task, list]) => checkSequence(task, list, jobs[task.split('/')[0]!]?.job.idempotent ?? true))
  const outcomes = Object.values(jobs).flatMap(({ job, outcomes }) => Object.entries(outcomes).flatMap(([number, outcome]) => {
    const list = byTask.get(`${job.id}/${number}`) ?? []
    const hasSucceeded = list.some((run) => run.end?.result === 'succeeded')
    if (outcome === 'succeeded' && !hasSucceeded) return [`${job.id}/${number} is reported as succeeded and never was`]
    return !job.idempotent && hasSucceeded && outcome !== 'succeeded' && outcome !== 'unknown'
      ? [`${job.id}/${number} succeeded and is reported as ${outcome}`]
      : []
  }))
  return [...checkOverlap(runs), ...checkCapacity(runs), ...sequences, ...outcomes]
}

/** Tasks that have no outcome. There must be none some time after the last fault. */
export function findUnfinished (zone: FakeZone): string[] {
  return Object.values(zone.log.state().jobs).flatMap(({ job, outcomes }) => Array.from({ length: job.tasks }, (_, number) => number)
    .filter((number) => outcomes[number] === undefined)
    .map((number) => `${job.id}/${number} has no outcome; ${JSON.stringify(zone.findActive()?.getTask(`${job.id}/${number}`))}`))
}

/** Remembers every outcome that a coordinator or the replicated state has reported, and returns a violation for each that changes later. */
export function createOutcomeMemory () {
  const known = new Map<string, string>()
  const finals = ['succeeded', 'failed', 'cancelled', 'unknown', 'refused']
  return (zone: FakeZone): string[] => {
    const jobs = Object.values(zone.log.state().jobs)
    const agreed = jobs.flatMap(({ job, outcomes }) => Object.entries(outcomes).map(([number, outcome]): [string, string] => [`${job.id}/${number}`, outcome]))
    const local = (zone.findActive()?.listTasks({}) ?? []).filter((view) => finals.includes(view.state)).map((view): [string, string] => [view.id, view.state])
    return [...agreed, ...local].flatMap(([task, outcome]) => {
      const before = known.get(task) ?? outcome
      known.set(task, before)
      return before === outcome ? [] : [`${task} changes from ${before} to ${outcome}`]
    })
  }
}
