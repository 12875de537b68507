import type { Clock, Logger } from '../../common/index.js'
import type { ReplicatedLog, Entry, TaskOutcome } from '../../state/index.js'
import type { Attempts } from './attemptTypes.js'
import { isSettled } from './taskReconciler.js'
import { isReplica, parseTaskId, type TaskTable } from './table.js'

const SUMMARY_INTERVAL_MS = 1_000
const PROPOSE_TIMEOUT_MS = 3_000
const MAX_OUTCOMES = 2_000

export interface SummariesOptions {
  log: ReplicatedLog
  clock: Clock
  logger: Logger
  attempts: Attempts
  table: TaskTable
  availabilityZone: string
  isLogCurrent (): boolean
}

/** Copies outcomes from the journal to the replicated log, at most once a second. */
export interface Summaries { flush (): Promise<void> }

export function createSummaries ({ log, clock, logger, attempts, table, availabilityZone, isLogCurrent }: SummariesOptions): Summaries {
  let nextAt = -Infinity
  let busy = false

  const isOver = (task: string): boolean => isSettled(log, availabilityZone, task, isLogCurrent())

  const settleDone = (): void => {
    const index = log.status().appliedIndex
    attempts.recorded.forEach((_outcome, task) => {
      if (!table.specs.has(task) && (isReplica(task) || isOver(task))) attempts.settle(task, index)
    })
  }

  const flush = async (): Promise<void> => {
    if (busy || clock.now() < nextAt) return
    settleDone()
    const outcomes = [...attempts.recorded]
      .filter(([task]) => !isReplica(task) && !isOver(task))
      .slice(0, MAX_OUTCOMES)
      .map(([task, outcome]): [string, number, TaskOutcome] => {
        const { job, number } = parseTaskId(task)
        return [job, number, outcome]
      })
    if (outcomes.length === 0) return
    busy = true
    nextAt = clock.now() + SUMMARY_INTERVAL_MS
    const entry: Entry = { kind: 'job.summary', availabilityZone, outcomes }
    // If the result of the proposal is unknown, the outcomes are sent again; the replicated state keeps the first outcome of each task.
    const result = await log.propose(entry, clock.now() + PROPOSE_TIMEOUT_MS)
    if (result.err) logger.warn('summary-not-recorded', { kind: result.val.kind, outcomes: outcomes.length })
    busy = false
  }

  return { flush }
}
