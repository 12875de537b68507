import type { Clock } from '../../common/index.js'
import { waitAtMost } from './connections.js'
import type { HeldExecutor, Holdings } from './holdings.js'
import { createCallersAnswer, listEndToEndHeaders } from './requests.js'
import { EXECUTOR_HEADERS, type Answer, type ExecutorConnection, type ExecutorFailure, type RoutedRequest } from './types.js'

const LATE_ANSWER_MS = 5000
const SHORTEST_SILENCE_MS = 250
const SILENCE_FACTOR = 4
const PROGRESS_FACTOR = 4
const SHORTEST_PROGRESS_MS = 500
const CONFIRM_MS = 50

export type AttemptOutcome =
  | { kind: 'answer', answer: Answer }
  | { kind: 'not-sent', message: string }
  /** The executor said that it did not run the request. */
  | { kind: 'not-run', message: string }
  | { kind: 'lost', failure: ExecutorFailure['kind'] | 'silent' | 'deadline-exceeded', message: string }

export interface AttemptContext {
  clock: Clock
  holdings: Holdings
  holder: string
  /** High estimate of the time of one request, ms; 0 when nothing is known. */
  estimateMs: number
  /** Whether the request can move on at once; it counts as a retry. Otherwise an attempt that seems silent goes on. */
  claimMove (): boolean
  /** Called when the slot of the attempt is free or is known to stay occupied. */
  onSettled (): void
  /** Called with a whole answer that arrives after the caller's deadline. */
  onLateAnswer (answer: Answer): void
}

/** Sends a request to one executor, once. The slot is occupied until the executor has answered or has reported its end. */
export async function runAttempt (request: RoutedRequest, id: string, executor: HeldExecutor, context: AttemptContext): Promise<AttemptOutcome> {
  const { clock, holdings } = context
  const claimed = await executor.pool.claim(executor.url, Math.min(request.deadline, executor.deadline))
  if (!claimed.ok) {
    releaseSlot(executor, id, context)
    return { kind: 'not-sent', message: claimed.val.message }
  }
  const connection = claimed.val
  if (!holdings.canUse(executor) || clock.now() >= request.deadline) {
    executor.pool.release(connection, clock.now())
    releaseSlot(executor, id, context)
    return { kind: 'not-sent', message: 'the slot or the request expired while a connection was opened' }
  }
  return await runExchange(request, id, executor, connection, context)
}

async function runExchange (request: RoutedRequest, id: string, executor: HeldExecutor, connection: ExecutorConnection, context: AttemptContext): Promise<AttemptOutcome> {
  const { clock } = context
  let lastSign = clock.now()
  const sending = connection.send(
    { id, method: request.method, path: request.path, headers: createHeaders(request, id, context), body: request.body },
    () => { lastSign = clock.now() })
  let silenceMs = computeSilence(request, executor, context)

  for (;;) {
    const limit = Math.min(request.deadline, lastSign + silenceMs)
    // When this process was stalled, a sign may have arrived that was not read yet, so the wait is confirmed once.
    const result = await waitAtMost(clock, sending, limit - clock.now()) ??
      await waitAtMost(clock, sending, Math.min(CONFIRM_MS, request.deadline - clock.now()))
    if (result?.ok) return applyAnswer(result.val, request.method, id, executor, connection, context)
    if (result !== undefined) {
      const isUnsent = result.val.kind === 'not-sent'
      closeAttempt(executor, id, connection, isUnsent, context)
      return isUnsent
        ? { kind: 'not-sent', message: result.val.message }
        : { kind: 'lost', failure: result.val.kind, message: result.val.message }
    }
    const now = clock.now()
    if (now >= lastSign + silenceMs && executor.progressMs === 0 && !context.claimMove()) silenceMs = Infinity
    if (now >= lastSign + silenceMs) {
      closeAttempt(executor, id, connection, false, context)
      return { kind: 'lost', failure: 'silent', message: `no sign of life for ${Math.round(silenceMs)} ms` }
    }
    if (now >= request.deadline) {
      waitForLateAnswer(sending, request.method, id, executor, connection, context)
      return { kind: 'lost', failure: 'deadline-exceeded', message: 'no answer before the deadline' }
    }
  }
}

/** Time without a sign of life after which the connection counts as silent. */
function computeSilence (request: RoutedRequest, executor: HeldExecutor, context: AttemptContext): number {
  if (executor.progressMs > 0) return Math.max(SHORTEST_PROGRESS_MS, PROGRESS_FACTOR * executor.progressMs)
  // Without signs of progress a silent connection looks like a slow handler; a request that may not be repeated waits.
  if (!request.idempotent) return Infinity
  // Half of a short remaining time would be less than many requests take: each would occupy a second slot.
  return context.estimateMs === 0
    ? Math.max(SHORTEST_SILENCE_MS, (request.deadline - context.clock.now()) / 2)
    : Math.max(SHORTEST_SILENCE_MS, SILENCE_FACTOR * context.estimateMs)
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

function applyAnswer (answer: Answer, method: string, id: string, executor: HeldExecutor, connection: ExecutorConnection, context: AttemptContext): AttemptOutcome {
  const fault = checkAnswer(answer, method, id)
  if (fault !== undefined) {
    closeAttempt(executor, id, connection, false, context)
    return fault
  }
  executor.pool.release(connection, context.clock.now())
  releaseSlot(executor, id, context)
  const isNotRun = answer.status === 503 && answer.headers[EXECUTOR_HEADERS.notRun] !== undefined
  return isNotRun ? { kind: 'not-run', message: 'the executor refused the request before running it' } : { kind: 'answer', answer: createCallersAnswer(answer) }
}

/** A connection may deliver an answer twice, so the answer must name the attempt; its body must be as long as it says. */
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

function closeAttempt (executor: HeldExecutor, id: string, connection: ExecutorConnection, isUnsent: boolean, context: AttemptContext): void {
  executor.pool.retire(connection)
  // A request that may have been sent occupies its slot until the executor's report shows that it has ended.
  if (!isUnsent) executor.abandoned.set(id, context.clock.now())
  releaseSlot(executor, id, context)
}

function releaseSlot (executor: HeldExecutor, id: string, context: AttemptContext): void {
  executor.active.delete(id)
  context.onSettled()
}

/** Keeps the exchange open after the caller's deadline: the answer shows when the slot is free, and a resend can be given it. */
async function waitForLateAnswer (
  sending: ReturnType<ExecutorConnection['send']>, method: string, id: string, executor: HeldExecutor, connection: ExecutorConnection, context: AttemptContext
): Promise<void> {
  const result = await waitAtMost(context.clock, sending, LATE_ANSWER_MS)
  if (!result?.ok) {
    closeAttempt(executor, id, connection, false, context)
    return
  }
  const outcome = applyAnswer(result.val, method, id, executor, connection, context)
  if (outcome.kind === 'answer') context.onLateAnswer(outcome.answer)
}
