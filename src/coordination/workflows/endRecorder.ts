import type { Clock, Logger } from '../../common/index.js'
import type { AgreedLog, Judge, LifeEnds, RunEnd } from '../../state/index.js'
import { PROPOSE_TIMEOUT_MS } from './timing.js'

/** Entries with ends that wait for their commit at the same time; ends that come meanwhile share the next one. */
const MAX_IN_FLIGHT = 2
/** Ends that share an entry, which keeps it small; a worker lists up to 500 at a time. */
const MAX_ENDS = 2000

export interface EndRecorder {
  /** Records the ends that a life of a worker listed; resolves with true when they are durable. */
  recordEnds (worker: string, bornAt: number, ends: RunEnd[]): Promise<boolean>
}

interface WaitingEnds extends LifeEnds { judge: Judge, resolve (isRecorded: boolean): void }

/** Collects the ends of all workers of this host into few entries of the log. */
export function createEndRecorder ({ clock, logger, log, getJudge }: { clock: Clock, logger: Logger, log: AgreedLog, getJudge (): Judge }): EndRecorder {
  const waiting: WaitingEnds[] = []
  let inFlight = 0

  const runEntries = async (): Promise<void> => {
    inFlight += 1
    while (waiting.length > 0) {
      const { judge } = waiting[0] as WaitingEnds
      const batch = waiting.splice(0, countBatch(waiting))
      const lives = batch.map(({ worker, bornAt, ends }) => ({ worker, bornAt, ends }))
      const result = await log.propose({ kind: 'workflow.end', lives, judge, at: clock.wall() }, clock.now() + PROPOSE_TIMEOUT_MS)
      if (result.err) logger.warn('run.end-not-recorded', { workers: lives.length, ends: lives.reduce((sum, { ends }) => sum + ends.length, 0), reason: result.val.kind })
      batch.forEach(({ resolve }) => resolve(result.ok))
    }
    inFlight -= 1
  }

  return {
    recordEnds: (worker, bornAt, ends) => new Promise((resolve) => {
      waiting.push({ worker, bornAt, ends, judge: getJudge(), resolve })
      if (inFlight < MAX_IN_FLIGHT) runEntries()
    })
  }
}

/** How many of those that wait share the next entry: ends that were judged under another division go into one of their own. */
function countBatch (waiting: readonly WaitingEnds[]): number {
  let ends = 0
  const first = waiting.findIndex((life, index) => {
    ends += life.ends.length
    return index > 0 && (life.judge.division !== waiting[0]?.judge.division || ends > MAX_ENDS)
  })
  return first < 0 ? waiting.length : first
}
