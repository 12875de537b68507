import type { Clock, Logger } from '../../common/index.js'
import type { ReplicatedLog, SessionOwner, WorkerRunEnds, RunEnd } from '../../state/index.js'
import { estimateEndBytes, MAX_TASK_BYTES, splitByBytes } from './entrySize.js'
import { PROPOSE_TIMEOUT_MS } from './timing.js'

/** Entries that may wait for their commit at the same time; run ends that arrive meanwhile share the next entry. */
const MAX_IN_FLIGHT = 2

export interface EndRecorder {
  /** Records the run ends listed by an incarnation of a worker; resolves with true once they are durable. */
  recordEnds (worker: string, bornAt: number, ends: RunEnd[]): Promise<boolean>
}

/** `judge`: the session owner of the worker (this host, with the number of the session assignment) when the ends were passed to `recordEnds`. */
interface PendingEnds extends WorkerRunEnds { judge: SessionOwner, bytes: number, resolve (isRecorded: boolean): void }

/** Combines the run ends of all workers of this host into few log entries. */
export function createEndRecorder ({ clock, logger, log, getSessionOwner }: { clock: Clock, logger: Logger, log: ReplicatedLog, getSessionOwner (): SessionOwner }): EndRecorder {
  const pending: PendingEnds[] = []
  let inFlight = 0

  const proposePending = async (): Promise<void> => {
    inFlight += 1
    while (pending.length > 0) {
      const { judge } = pending[0] as PendingEnds
      const batch = pending.splice(0, countBatch(pending))
      const lives = batch.map(({ worker, bornAt, ends }) => ({ worker, bornAt, ends }))
      const result = await log.propose({ kind: 'workflow.end', lives, judge, at: clock.wall() }, clock.now() + PROPOSE_TIMEOUT_MS)
      if (result.err) logger.warn('run.end-not-recorded', { workers: lives.length, ends: lives.reduce((sum, { ends }) => sum + ends.length, 0), reason: result.val.kind })
      batch.forEach(({ resolve }) => resolve(result.ok))
    }
    inFlight -= 1
  }

  const addPending = (worker: string, bornAt: number, ends: RunEnd[], judge: SessionOwner): Promise<boolean> => new Promise((resolve) => {
    pending.push({ worker, bornAt, ends, judge, bytes: ends.reduce((sum, end) => sum + estimateEndBytes(end), 0), resolve })
    if (inFlight < MAX_IN_FLIGHT) proposePending()
  })

  return {
    recordEnds: async (worker, bornAt, ends) => {
      const judge = getSessionOwner()
      // One after the other: an end counts as recorded once a later one of the worker is.
      for (const part of splitByBytes(ends, estimateEndBytes)) {
        if (!await addPending(worker, bornAt, part, judge)) return false
      }
      return true
    }
  }
}

/** Number of pending items that share the next entry. Ends that were passed under another session assignment need an entry of their own, since an entry names one session owner. */
function countBatch (pending: readonly PendingEnds[]): number {
  let bytes = 0
  const first = pending.findIndex((pendingEnds, index) => {
    bytes += pendingEnds.bytes
    return index > 0 && (pendingEnds.judge.division !== pending[0]?.judge.division || bytes > MAX_TASK_BYTES)
  })
  return first < 0 ? pending.length : first
}
