import { runSupervised, type Clock, type Logger, type Result } from '../../common/index.js'
import type { AdvicePolicy } from '../../state/index.js'

/** Maximum number of workers in one query: the latency objective of a workflow includes the time of one query of this size for each step. */
const WORKERS_PER_QUERY = 30
/** Added to the answer time that the policy states. */
const ANSWER_SLACK_MS = 1000
/** Delay after a failed query before the next one. */
const RETRY_MS = 200
/** A step that no worker may run is asked about again after this. */
const ASK_AGAIN_MS = 1000
/** A query that was not requested again for this long is dropped: the tasks of a waiting step are tried several times a second. */
const QUERY_LIFETIME_MS = 2000
/** A ticket that expires within this time is not used, because a start order takes a sync of the log and a round trip. */
const TICKET_MARGIN_MS = 300
/** Time from an answer to the start orders that use it; covers a scheduling pass and the retry of a group that could not be placed. */
const PLACEMENT_MS = 200
/** Maximum number of cached answers over all steps; beyond it, those about the steps asked about first are dropped. */
const MAX_KNOWN_ANSWERS = 20_000

/** Permission to run a step on a worker; `ticket` is the proof that accompanies each start order. */
export interface Ticket { worker: string, ticket: string }

export type AdviceFailure = { kind: 'busy' } | { kind: 'no-answer', message: string }

export interface AdviceClient {
  ask (step: string, workers: string[], deadline: number): Promise<Result<Ticket[], AdviceFailure>>
}

export interface Advisor {
  /**
   * Queues a query about a step unless one of the workers has a valid ticket for it. `workers` are those on which a task of the
   * step could be placed, the preferred ones first. The advice service answers one query at a time.
   */
  request (step: string, workers: readonly string[], policy: AdvicePolicy): void
  findTicket (step: string, worker: string): string | undefined
  /** Discards a ticket that the worker has refused. */
  dropTicket (step: string, worker: string): void
  /** Discards all answers about a worker that has left or has been replaced by a new incarnation. */
  removeWorker (worker: string): void
  stop (): void
}

interface Query { workers: readonly string[], policy: AdvicePolicy, wantedUntil: number }
/** `ticket`: undefined if the worker may not run the step. */
interface Answer { ticket: string | undefined, expiresAt: number }
/** `askAgainAt`: before this time no query is sent, because no worker may run the step. */
interface StepAdvice { answers: Map<string, Answer>, askAgainAt: number }

/** Obtains tickets for queues whose placement policy is known only to an external advice service. Queries are slow, so the answers are cached. */
export function createAdvisor ({ clock, logger, client }: { clock: Clock, logger: Logger, client: AdviceClient }): Advisor {
  const stopping = new AbortController()
  const queries = new Map<string, Query>()
  const knownSteps = new Map<string, StepAdvice>()
  /** Workers of the query that is in flight, without those that have been removed since it was sent. */
  let asked = new Set<string>()
  let running: Promise<void> | undefined

  const findTicket = (step: string, worker: string): string | undefined => {
    const answer = knownSteps.get(step)?.answers.get(worker)
    return answer !== undefined && answer.expiresAt > clock.now() + TICKET_MARGIN_MS ? answer.ticket : undefined
  }

  const getStepAdvice = (step: string): StepAdvice => {
    const known = knownSteps.get(step)
    if (known !== undefined) return known
    const created: StepAdvice = { answers: new Map(), askAgainAt: -Infinity }
    knownSteps.set(step, created)
    return created
  }

  const pruneAnswers = (): void => {
    // A step without an answer takes the space of one.
    const countSpace = ({ answers }: StepAdvice): number => Math.max(1, answers.size)
    let count = [...knownSteps.values()].reduce((sum, advice) => sum + countSpace(advice), 0)
    knownSteps.forEach((advice, step) => {
      if (count <= MAX_KNOWN_ANSWERS) return
      count -= countSpace(advice)
      knownSteps.delete(step)
    })
  }

  /** Chooses the workers to ask about: those that may run the step but whose tickets have expired, or else those not asked about yet. */
  const chooseWorkers = ({ answers }: StepAdvice, { workers, policy }: Query): string[] => {
    const expired = workers.filter((worker) => answers.get(worker)?.ticket !== undefined)
    return (expired.length > 0 ? expired : workers.filter((worker) => !answers.has(worker))).slice(0, countAskable(policy))
  }

  const sendQuery = async (step: string, query: Query): Promise<void> => {
    const { policy } = query
    const advice = getStepAdvice(step)
    const chosen = chooseWorkers(advice, query)
    if (chosen.length === 0) {
      queries.delete(step)
      if ([...advice.answers.values()].some(({ ticket }) => ticket !== undefined)) return
      logger.warn('advice.none-permitted', { step, workers: advice.answers.size, askAgainMs: ASK_AGAIN_MS })
      advice.answers.clear()
      advice.askAgainAt = clock.now() + ASK_AGAIN_MS
      return
    }
    const sentAt = clock.now()
    asked = new Set(chosen)
    const answer = await client.ask(step, chosen, sentAt + policy.decisionMs + policy.perWorkerMs * chosen.length + ANSWER_SLACK_MS)
    logger.info('advice.answer', { step, workers: chosen.length, approved: answer.ok ? answer.val.length : undefined, outcome: answer.ok ? 'answered' : answer.val.kind, ms: Math.round(clock.now() - sentAt) })
    if (!answer.ok) return clock.sleep(RETRY_MS, stopping.signal)
    const tickets = new Map(answer.val.map(({ worker, ticket }) => [worker, ticket]))
    const expiresAt = sentAt + policy.validityMs + computeIssueDelayMs(policy, chosen.length)
    if (tickets.size > 0 && clock.now() + TICKET_MARGIN_MS >= expiresAt) logger.warn('advice.late', { step, ms: Math.round(clock.now() - sentAt), validityMs: policy.validityMs, marginMs: TICKET_MARGIN_MS })
    asked.forEach((worker) => advice.answers.set(worker, { ticket: tickets.get(worker), expiresAt }))
    if (tickets.size > 0) queries.delete(step)
    pruneAnswers()
  }

  const runQueries = async (): Promise<void> => {
    while (queries.size > 0 && !stopping.signal.aborted) {
      const [step, query] = [...queries][0] as [string, Query]
      queries.delete(step)
      if (query.wantedUntil <= clock.now()) continue
      // Moves the query to the end, so that it is repeated only after all other waiting ones.
      queries.set(step, query)
      await sendQuery(step, query)
    }
    running = undefined
  }

  return {
    request: (step, workers, policy) => {
      const isAnswered = workers.length === 0 || workers.some((worker) => findTicket(step, worker) !== undefined)
      if (isAnswered || clock.now() < (knownSteps.get(step)?.askAgainAt ?? -Infinity)) return
      // A query that is already waiting names the workers that are suitable now.
      queries.set(step, { workers: [...workers], policy, wantedUntil: clock.now() + QUERY_LIFETIME_MS })
      running ??= runSupervised({ clock, logger, event: 'advice.failed', isStopped: () => stopping.signal.aborted }, runQueries)
    },
    findTicket,
    dropTicket: (step, worker) => { knownSteps.get(step)?.answers.delete(worker) },
    removeWorker: (worker) => {
      asked.delete(worker)
      knownSteps.forEach(({ answers }) => answers.delete(worker))
    },
    stop: () => stopping.abort()
  }
}

/** Time that the service takes for an answer, by the policy. */
function computeAnswerMs ({ decisionMs, perWorkerMs }: AdvicePolicy, workers: number): number {
  return decisionMs + perWorkerMs * workers
}

/** True if the tickets of an answer can be used although their validity counts from the sending of the query. */
function isUsableFromQuery (policy: AdvicePolicy, workers: number): boolean {
  return computeAnswerMs(policy, workers) + PLACEMENT_MS + TICKET_MARGIN_MS < policy.validityMs
}

/** Number of workers to ask about at once: as many as leave time to use the tickets. */
function countAskable (policy: AdvicePolicy): number {
  if (!isUsableFromQuery(policy, 1)) return WORKERS_PER_QUERY
  const spareMs = policy.validityMs - TICKET_MARGIN_MS - PLACEMENT_MS - policy.decisionMs
  return policy.perWorkerMs > 0 ? Math.max(1, Math.min(WORKERS_PER_QUERY, Math.ceil(spareMs / policy.perWorkerMs) - 1)) : WORKERS_PER_QUERY
}

/**
 * Time from the sending of a query after which its validity counts. A ticket may be issued as soon as the query is received. If
 * no ticket could be used then, it is assumed to be issued with the answer.
 */
function computeIssueDelayMs (policy: AdvicePolicy, workers: number): number {
  return isUsableFromQuery(policy, 1) ? 0 : computeAnswerMs(policy, workers)
}
