import type { AttemptOutcome, ExchangeReply, WorkerCommand } from './exchange.js'

/** A coordinator's view of one worker: its last reported state, and the commands that it still has to receive. */
export interface WorkerView {
  /** Worker process that sent the last reply; empty before the first. */
  incarnation: string
  /** Attempts that run on the worker by its reports, by task. */
  readonly reportedAttempts: Map<string, { attempt: number, state: 'running' | 'stopping' | 'throttled' }>
  /** Tasks whose start or stop command the worker may not have received yet. */
  readonly undelivered: Set<string>
  /** Commands for the next request that are not repeated if it is lost. */
  once: WorkerCommand[]
  /** Stop commands for orphans: attempts that the worker reports and the journal does not assign to it. */
  orphanStops: WorkerCommand[]
  /** The last check found orphans, so they are looked for again at the next reply. */
  hadOrphans: boolean
  /** Reported outcomes that were not acknowledged yet, by task and attempt. */
  readonly outcomes: Map<string, AttemptOutcome>
  /** The worker runs no task and has no unacknowledged outcome. */
  isIdle (): boolean
  /** Resets the state that a reply supersedes, before its tasks and outcomes are added. */
  observe (reply: ExchangeReply): void
}

export function createWorkerView (): WorkerView {
  const self: WorkerView = {
    incarnation: '',
    reportedAttempts: new Map(),
    undelivered: new Set(),
    once: [],
    orphanStops: [],
    hadOrphans: false,
    outcomes: new Map(),
    isIdle: () => self.incarnation !== '' && self.reportedAttempts.size === 0 && self.outcomes.size === 0,
    observe: (reply) => {
      if (self.incarnation !== reply.incarnation) {
        self.incarnation = reply.incarnation
        self.once = []
      }
      if (reply.full) {
        self.reportedAttempts.clear()
        self.outcomes.clear()
      }
      self.orphanStops = []
    }
  }
  return self
}
