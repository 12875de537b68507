import type { Clock } from '../../common/index.js'
import { waitWithTimeout } from './connectionPool.js'
import type { LeasedExecutor, LeasedExecutors } from './leasedExecutors.js'
import { createCallerAnswer, listEndToEndHeaders } from './requests.js'
import { EXECUTOR_HEADERS, type Answer, type ExecutorConnection, type ExecutorFailure, type RoutedRequest } from './types.js'

/** After the caller's deadline the exchange stays open for this long, so that a late answer can still be recorded. */
const LATE_ANSWER_WAIT_MS = 5000
const MIN_SILENCE_TIMEOUT_MS = 250
/** An attempt of an idempotent request counts as silent after this multiple of the estimated request time without any bytes. */
const SILENCE_TIMEOUT_FACTOR = 4
/** An executor that sends progress lines is silent after this many of its intervals without any bytes. */
const PROGRESS_TIMEOUT_FACTOR = 4
const MIN_PROGRESS_TIMEOUT_MS = 500
/** Extra wait before a connection counts as silent, in which bytes that arrived during a stall of this process are read. */
const SILENCE_CONFIRM_MS = 50

export type AttemptOutcome =
  | { kind: 'answer', answer: Answer }
  | { kind: 'not-sent', message: string }
  /** The executor refused the request with a status 503 that says that it did not run. */
  | { kind: 'not-run', message: string }
  /** The request may have run: no usable answer came back. */
  | { kind: 'lost', failure: ExecutorFailure['kind'] | 'silent' | 'deadline-exceeded', message: string }

export interface AttemptContext {
  clock: Clock
  leasedExecutors: LeasedExecutors
  /** Lease holder that the executor sees in its `holder` header: `host/incarnation`. */
  holder: string
  /** High estimate of the time that one request of the service takes, ms; 0 without recent measurements. */
  estimateMs: number
  /**
   * Takes a token of the retry budget if another executor has a free slot now. True: the silent attempt is given up and
   * the request is retried. False: the attempt goes on.
   */
  claimRetry (): boolean
  /** Called when the attempt no longer holds its slot, or when the slot is known to stay occupied by an abandoned request. */
  onSettled (): void
  /** Called with a complete answer that arrives after the caller's deadline. */
  onLateAnswer (answer: Answer): void
}

/** Sends a request to one executor, once. The slot counts as occupied until the executor answers or reports that the request has ended. */
export async function runAttempt (request: RoutedRequest, id: string, executor: LeasedExecutor, context: AttemptContext): Promise<AttemptOutcome> {
  const { clock, leasedExecutors } = context
  const acquired = await executor.pool.acquire(executor.url, Math.min(request.deadline, executor.deadline))
  if (!acquired.ok) {
    releaseSlot(executor, id, context)
    return { kind: 'not-sent', message: acquired.val.message }
  }
  const connection = acquired.val
  if (!leasedExecutors.canUse(executor) || clock.now() >= request.deadline) {
    executor.pool.release(connection, clock.now())
    releaseSlot(executor, id, context)
    return { kind: 'not-sent', message: 'the slot or the request expired while a connection was opened' }
  }
  return await runExchange(request, id, executor, connection, context)
}

async function runExchange (request: RoutedRequest, id: string, executor: LeasedExecutor, connection: ExecutorConnection, context: AttemptContext): Promise<AttemptOutcome> {
  const { clock } = context
  let lastActivityAt = clock.now()
  const sending = connection.send(
    { id, method: request.method, path: request.path, headers: createHeaders(request, id, context), body: request.body },
    () => { lastActivityAt = clock.now() })
  let silenceTimeoutMs = computeSilenceTimeout(request, executor, context)

  for (;;) {
    const limit = Math.min(request.deadline, lastActivityAt + silenceTimeoutMs)
    // After a stall of this process, timers fire before the bytes that arrived meanwhile are read. A second short wait lets
    // them be read before the attempt is given up.
    const result = await waitWithTimeout(clock, sending, limit - clock.now()) ??
      await waitWithTimeout(clock, sending, Math.min(SILENCE_CONFIRM_MS, request.deadline - clock.now()))
    if (result?.ok) return applyAnswer(result.val, request.method, id, executor, connection, context)
    if (result !== undefined) {
      const isNotSent = result.val.kind === 'not-sent'
      closeAttempt(executor, id, connection, isNotSent, context)
      return isNotSent
        ? { kind: 'not-sent', message: result.val.message }
        : { kind: 'lost', failure: result.val.kind, message: result.val.message }
    }
    const now = clock.now()
    if (now >= lastActivityAt + silenceTimeoutMs && executor.progressMs === 0 && !context.claimRetry()) silenceTimeoutMs = Infinity
    if (now >= lastActivityAt + silenceTimeoutMs) {
      closeAttempt(executor, id, connection, false, context)
      return { kind: 'lost', failure: 'silent', message: `no sign of life for ${Math.round(silenceTimeoutMs)} ms` }
    }
    if (now >= request.deadline) {
      waitForLateAnswer(sending, request.method, id, executor, connection, context)
      return { kind: 'lost', failure: 'deadline-exceeded', message: 'no answer before the deadline' }
    }
  }
}

/** Time without any bytes from the executor after which the connection counts as silent, ms. */
function computeSilenceTimeout (request: RoutedRequest, executor: LeasedExecutor, context: AttemptContext): number {
  if (executor.progressMs > 0) return Math.max(MIN_PROGRESS_TIMEOUT_MS, PROGRESS_TIMEOUT_FACTOR * executor.progressMs)
  // Without progress lines, a silent connection cannot be told from a slow handler, so a request that must not run twice
  // waits until its deadline.
  if (!request.idempotent) return Infinity
  // Without an estimate the timeout is half of the remaining time. A lower bound is needed because half of a short remaining
  // time is less than many requests take; each of these would be sent a second time and occupy a second slot.
  return context.estimateMs === 0
    ? Math.max(MIN_SILENCE_TIMEOUT_MS, (request.deadline - context.clock.now()) / 2)
    : Math.max(MIN_SILENCE_TIMEOUT_MS, SILENCE_TIMEOUT_FACTOR * context.estimateMs)
}

function createHeaders (request: RoutedRequest, id: string, context: AttemptContext): Record<string, string> {
  return {
    ...listEndToEndHeaders(request.headers),
    [EXECUTOR_HEADERS.request]: id,
    [EXECUTOR_HEADERS.holder]: context.holder,
    [EXECUTOR_HEADERS.remaining]: String(Math.max(0, Math.floor(request.deadline - context.clock.now()))),
    [EXECUTOR_HEADERS.member]: request.member
  }
}

function applyAnswer (answer: Answer, method: string, id: string, executor: LeasedExecutor, connection: ExecutorConnection, context: AttemptContext): AttemptOutcome {
  const failedOutcome = checkAnswer(answer, method, id)
  if (failedOutcome !== undefined) {
    closeAttempt(executor, id, connection, false, context)
    return failedOutcome
  }
  executor.pool.release(connection, context.clock.now())
  releaseSlot(executor, id, context)
  const isNotRun = answer.status === 503 && answer.headers[EXECUTOR_HEADERS.notRun] !== undefined
  return isNotRun ? { kind: 'not-run', message: 'the executor refused the request before running it' } : { kind: 'answer', answer: createCallerAnswer(answer) }
}

/**
 * Checks that the answer names this attempt, because a connection may deliver the answer to an earlier request twice,
 * and that its body has the length that its `content-length` gives.
 */
function checkAnswer (answer: Answer, method: string, id: string): AttemptOutcome | undefined {
  if (answer.headers[EXECUTOR_HEADERS.request] !== id) {
    return { kind: 'lost', failure: 'wrong-answer', message: 'the answer belongs to another request' }
  }
  const length = answer.headers['content-length']
  const hasBody = method !== 'HEAD' && answer.status !== 304
  return hasBody && length !== undefined && Number(length) !== answer.body.length
    ? { kind: 'lost', failure: 'truncated', message: `${answer.body.length} of ${length} bytes` }
    : undefined
}

function closeAttempt (executor: LeasedExecutor, id: string, connection: ExecutorConnection, isNotSent: boolean, context: AttemptContext): void {
  executor.pool.retire(connection)
  // The request may be running, so it occupies its slot until a report of the executor shows that it has ended.
  if (!isNotSent) executor.abandonedAttempts.set(id, context.clock.now())
  releaseSlot(executor, id, context)
}

function releaseSlot (executor: LeasedExecutor, id: string, context: AttemptContext): void {
  executor.activeAttempts.delete(id)
  context.onSettled()
}

/**
 * Waits for the answer after the caller's deadline. The answer shows that the slot is free, and a resend with the same
 * idempotency key can be answered with it.
 */
async function waitForLateAnswer (
  sending: ReturnType<ExecutorConnection['send']>, method: string, id: string, executor: LeasedExecutor, connection: ExecutorConnection, context: AttemptContext
): Promise<void> {
  const result = await waitWithTimeout(context.clock, sending, LATE_ANSWER_WAIT_MS)
  if (!result?.ok) {
    closeAttempt(executor, id, connection, false, context)
    return
  }
  const outcome = applyAnswer(result.val, method, id, executor, connection, context)
  if (outcome.kind === 'answer') context.onLateAnswer(outcome.answer)
}
