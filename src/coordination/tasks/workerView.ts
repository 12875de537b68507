import type { AttemptOutcome, ExchangeReply, WorkerCommand } from './exchange.js'

/** What a coordinator knows of one worker from its replies, and what it still has to tell it. */
export interface WorkerView {
  incarnation: string
  /** Attempts that the worker reported, by task. */
  readonly view: Map<string, { attempt: number, state: 'running' | 'stopping' | 'throttled' }>
  /** Tasks whose start or stop may have to be sent; all others need nothing. */
  readonly due: Set<string>
  /** Commands that are sent once, because a repetition has no use. */
  once: WorkerCommand[]
  /** Stops of attempts that the coordinator does not account for. */
  unaccounted: WorkerCommand[]
  /** Such attempts were found and may still be there. */
  hadUnaccounted: boolean
  /** Outcomes that the worker keeps, by task and attempt. */
  readonly outcomes: Map<string, AttemptOutcome>
  /** The worker runs nothing and keeps no outcome. */
  isIdle (): boolean
  /** Prepares the view for the tasks of a reply. */
  observe (reply: ExchangeReply): void
}

export function createWorkerView (): WorkerView {
  const self: WorkerView = {
    incarnation: '',
    view: new Map(),
    due: new Set(),
    once: [],
    unaccounted: [],
    hadUnaccounted: false,
    outcomes: new Map(),
    isIdle: () => self.incarnation !== '' && self.view.size === 0 && self.outcomes.size === 0,
    observe: (reply) => {
      if (self.incarnation !== reply.incarnation) {
        self.incarnation = reply.incarnation
        self.once = []
      }
      if (reply.full) {
        self.view.clear()
        self.outcomes.clear()
      }
      self.unaccounted = []
    }
  }
  return self
}
