import type { ExchangeReply, WorkerCommand } from './exchange.js'

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
  strays: WorkerCommand[]
  /** Such attempts were found and may still be there. */
  hadStrays: boolean
  /** Outcomes that are in the journal; repeated until the worker has processed them. */
  readonly acknowledged: Map<string, { task: string, attempt: number }>
  /** The worker runs nothing and every outcome was acknowledged. */
  isIdle (): boolean
  /** Prepares the view for the tasks of a reply. */
  observe (reply: ExchangeReply): void
}

export function createWorkerView (): WorkerView {
  let hasOutcomes = true
  const self: WorkerView = {
    incarnation: '',
    view: new Map(),
    due: new Set(),
    once: [],
    strays: [],
    hadStrays: false,
    acknowledged: new Map(),
    isIdle: () => self.view.size === 0 && self.acknowledged.size === 0 && !hasOutcomes,
    observe: (reply) => {
      if (self.incarnation !== reply.incarnation) {
        self.incarnation = reply.incarnation
        self.once = []
        self.acknowledged.clear()
        self.view.clear()
      }
      if (reply.full) self.view.clear()
      self.strays = []
      hasOutcomes = reply.outcomes.length > 0
    }
  }
  return self
}
