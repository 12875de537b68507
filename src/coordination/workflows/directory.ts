import { Err, Ok, type Clock, type Logger, type Result } from '../../common/index.js'
import { isSameColdness, removeColdness, removeShortColdness } from './coldWorkers.js'
import { createSignal } from './signal.js'
import type { ReplicatedLog, LogFailure, WorkerIncarnation, WorkflowsState } from '../../state/index.js'

/** Outcome of a report. `stale`: its incarnation has left, or a later one with the same id or at the same address is already recorded. */
export type ReportOutcome = 'unchanged' | 'recorded' | 'stale'

/**
 * The answer to an announced shutdown waits at most this long for the worker's tasks to end, since the worker ends with the
 * answer and can report no end after that. Covers a stop, which takes some hundred ms; a worker waits a second for the answer.
 */
const SETTLEMENT_TIMEOUT_MS = 700

export interface WorkerDirectory {
  /** Registers or updates a worker; resolves once the change is committed. */
  reportWorker (life: WorkerIncarnation, deadline: number): Promise<Result<ReportOutcome, LogFailure>>
  /**
   * Records that a worker is about to shut down, and waits a moment until no task is with it any more; it is removed then.
   * `bornAt` is undefined if the message does not contain it, which then counts only for a worker that drains.
   */
  removeWorker (worker: string, bornAt: number | undefined, deadline: number): Promise<Result<ReportOutcome, LogFailure>>
}

/** Maintains the replicated table of workers. A report without changes is not proposed to the log. */
export function createWorkerDirectory ({ clock, logger, log }: { clock: Clock, logger: Logger, log: ReplicatedLog }): WorkerDirectory {
  const getState = (): WorkflowsState => log.state().workflows

  /** Returns whether the incarnation is removed, or replaced, by the deadline. */
  const waitForRemoval = async ({ id, bornAt }: WorkerIncarnation, deadline: number): Promise<boolean> => {
    const isPresent = (): boolean => getState().workers[id]?.life.bornAt === bornAt
    const changed = createSignal(clock)
    const unsubscribe = log.subscribe(changed.notify)
    while (isPresent() && clock.now() < deadline) await changed.wait(deadline - clock.now())
    unsubscribe()
    return !isPresent()
  }

  return {
    reportWorker: async (reported, deadline) => {
      const life = removeShortColdness(reported, clock.wall())
      const known = getState().workers[life.id]?.life
      if (isStale(getState(), life)) {
        logger.info('worker.report-stale', { worker: life.id, bornAt: life.bornAt, knownBornAt: known?.bornAt })
        return Ok('stale')
      }
      if (known !== undefined && isSameReport(known, life) && isSameColdness(known, life, clock.wall())) return Ok('unchanged')
      const first = await log.propose({ kind: 'life.report', life }, deadline)
      // A leader of an earlier build does not know the field.
      const isFieldUnknown = first.err && first.val.kind === 'invalid-entry' && life.coldUntil !== undefined
      const result = isFieldUnknown ? await log.propose({ kind: 'life.report', life: removeColdness(life) }, deadline) : first
      logger.info('worker.report', { worker: life.id, bornAt: life.bornAt, address: life.address, draining: life.draining, coldUntil: life.coldUntil, knownBornAt: known?.bornAt, outcome: result.ok ? 'recorded' : result.val.kind })
      return result.ok ? Ok('recorded') : Err(result.val)
    },

    removeWorker: async (worker, bornAt, deadline) => {
      const known = getState().workers[worker]?.life
      // Without a start time the message may be a late one of an earlier incarnation, unless the known one has announced that it leaves.
      const isMeant = known !== undefined && (bornAt === undefined ? known.draining : bornAt === known.bornAt)
      if (!isMeant) return Ok('stale')
      const waitUntil = Math.min(deadline, clock.now() + SETTLEMENT_TIMEOUT_MS)
      const result = await log.propose({ kind: 'life.leave', worker, bornAt: known.bornAt, isCertain: bornAt !== undefined, at: clock.wall() }, deadline)
      const startedAt = clock.now()
      const isSettled = result.ok && await waitForRemoval(known, waitUntil)
      logger.info('worker.leaving', { worker, bornAt: known.bornAt, outcome: result.ok ? 'recorded' : result.val.kind, settled: isSettled, waitedMs: Math.round(clock.now() - startedAt) })
      if (result.ok) return Ok('recorded')
      return result.val.kind === 'rejected' ? Ok('stale') : Err(result.val)
    }
  }
}

/** True if a report is outdated: a delayed report may arrive after its sender has been replaced. */
function isStale (state: WorkflowsState, life: WorkerIncarnation): boolean {
  const known = state.workers[life.id]?.life
  if (known !== undefined) return life.bornAt < known.bornAt
  if (life.bornAt <= (state.departed?.[life.id]?.bornAt ?? -Infinity)) return true
  return Object.values(state.workers).some((other) => other.life.address === life.address && other.life.bornAt > life.bornAt)
}

/** True if a report contains no change. Draining is recorded only once, since the time that a draining worker has left only decreases. */
function isSameReport (known: WorkerIncarnation, life: WorkerIncarnation): boolean {
  if (known.bornAt !== life.bornAt) return false
  if (known.draining) return true
  return !life.draining &&
    known.address === life.address && known.service === life.service && known.host === life.host &&
    known.availabilityZone === life.availabilityZone && known.cores === life.cores && known.memoryMb === life.memoryMb &&
    known.accelerators === life.accelerators && known.labels.join() === life.labels.join()
}
