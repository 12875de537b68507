import type { Result } from '../../common/index.js'
import type { RunEnd, WorkerIncarnation } from '../../state/index.js'

/** Starts one attempt of a task. Times are on the worker's own clock. */
export interface StartOrder {
  task: string
  attempt: number
  command: string
  checkpoint: string
  /** Term of the leader; workers refuse orders of earlier terms. */
  fence: number
  leaseUntil: number
  /** Proof that the step may run on this worker; required by queues with an external advice service. */
  ticket: string | undefined
}

export interface RunOrder { task: string, attempt: number, fence: number }

export interface PollOrder {
  fence: number
  /** Extends the lease of all runs on the worker; undefined: the lease is not changed. */
  leaseUntil: number | undefined
  /** Ended runs up to this number are recorded; the worker need not list them again. */
  acknowledged: number
  /** The worker delays its answer until a run ends, for at most this long. */
  waitMs: number
}

/** Status of one run as reported by its worker. */
export interface RunStatus {
  task: string
  attempt: number
  checkpoint: string
  percent: number
  /** Over the last half second: tail latency in ms of a latency-critical task, else thousandths of a core in use. */
  reading: number | undefined
}

/**
 * `clock`: the worker's own clock. `ends`: ended runs that are not acknowledged yet. `unreadableRuns`: number of runs in the
 * worker's list that could not be read and are left out. `hasMoreEnds`: the worker may have more ends, which it lists once those
 * of this reply are acknowledged; a run that is not in the reply may have ended.
 */
export interface PollReply { clock: number, running: RunStatus[], ends: RunEnd[], unreadableRuns?: number, hasMoreEnds?: boolean }
export interface OrderReply { clock: number }

/**
 * `fenced`: the worker has seen orders of a later leader. `superseded`: this attempt or a later one has already ended or
 * been stopped on the worker. `late`: the lease in the order had ended before the order arrived. `unhealthy`: the worker
 * is unhealthy and did not execute the order.
 */
export type OrderRefusal = 'fenced' | 'superseded' | 'late' | 'no-room' | 'no-ticket' | 'invalid' | 'unhealthy'

export type WorkerFailure =
  | { kind: 'refused', reason: OrderRefusal, clock: number | undefined }
  /**
   * Another process answers at the address: another incarnation of the worker, which started at `bornAt` and may execute orders
   * for this one, or without `bornAt` another worker, which refuses them.
   */
  | { kind: 'other-life', bornAt?: number }
  /** The order may have been executed, or may be executed later. */
  | { kind: 'no-answer', message: string }

export interface WorkerClient {
  start (worker: WorkerIncarnation, order: StartOrder, deadline: number): Promise<Result<OrderReply, WorkerFailure>>
  stop (worker: WorkerIncarnation, order: RunOrder, deadline: number): Promise<Result<OrderReply, WorkerFailure>>
  /** Long poll: renews the lease and returns the runs of the worker. */
  poll (worker: WorkerIncarnation, order: PollOrder, deadline: number): Promise<Result<PollReply, WorkerFailure>>
}
