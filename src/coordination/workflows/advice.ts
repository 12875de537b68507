import type { Clock, Logger, Result } from '../../common/index.js'
import type { AdvicePolicy } from '../../state/index.js'

/** Workers named in one question: the objective of a workflow allows for one question about this many for each step. */
const WORKERS_PER_QUESTION = 30
/** Added to the time that an answer takes by its policy. */
const ANSWER_SLACK_MS = 1000
/** Pause after an answer that says nothing, and before the same question is asked again. */
const RETRY_MS = 200
/** A ticket that ends within this is not used: an order takes a sync of the log and a round trip. */
const TICKET_MARGIN_MS = 300
/** Steps whose tickets are remembered. */
const MAX_KNOWN_STEPS = 1000

/** A worker that may run a step, and the proof that goes with each start there. */
export interface Ticket { worker: string, ticket: string }

export type AdviceFailure = { kind: 'busy' } | { kind: 'no-answer', message: string }

export interface AdviceClient {
  ask (step: string, workers: string[], deadline: number): Promise<Result<Ticket[], AdviceFailure>>
}

export interface Advisor {
  /** Asks about a step unless its tickets are still good. The service answers one question at a time, so they queue here. */
  request (step: string, workers: readonly string[], policy: AdvicePolicy): void
  findTicket (step: string, worker: string): string | undefined
  /** The worker refused the ticket. */
  dropTicket (step: string, worker: string): void
  stop (): void
}

interface Question { workers: readonly string[], policy: AdvicePolicy }
interface KnownTicket { ticket: string, expiresAt: number }

/** Collects tickets for queues whose policy only an outside service knows; questions are slow, so each is asked once. */
export function createAdvisor ({ clock, logger, client }: { clock: Clock, logger: Logger, client: AdviceClient }): Advisor {
  const stopping = new AbortController()
  const questions = new Map<string, Question>()
  const tickets = new Map<string, Map<string, KnownTicket>>()
  /** Workers that a step was refused for; the answer does not change during a worker's life. */
  const asked = new Map<string, Set<string>>()
  let running: Promise<void> | undefined

  const hasTickets = (step: string): boolean =>
    [...tickets.get(step)?.values() ?? []].some(({ expiresAt }) => expiresAt > clock.now() + TICKET_MARGIN_MS)

  const askNext = async (step: string, { workers, policy }: Question): Promise<void> => {
    const known = asked.get(step) ?? new Set<string>()
    const approved = [...tickets.get(step)?.keys() ?? []]
    const named = (approved.length > 0 ? approved : workers.filter((worker) => !known.has(worker))).slice(0, WORKERS_PER_QUESTION)
    if (named.length === 0) {
      questions.delete(step)
      asked.delete(step)
      return
    }
    const sentAt = clock.now()
    const answer = await client.ask(step, named, sentAt + policy.decisionMs + policy.perWorkerMs * named.length + ANSWER_SLACK_MS)
    logger.info('advice.answer', { step, workers: named.length, approved: answer.ok ? answer.val.length : undefined, outcome: answer.ok ? 'answered' : answer.val.kind, ms: Math.round(clock.now() - sentAt) })
    if (!answer.ok) return clock.sleep(RETRY_MS, stopping.signal)
    named.forEach((worker) => known.add(worker))
    asked.set(step, known)
    // The answer was given at the earliest when the question was sent.
    const expiresAt = sentAt + policy.validityMs
    if (tickets.size >= MAX_KNOWN_STEPS) tickets.clear()
    if (answer.val.length > 0) tickets.set(step, new Map(answer.val.map(({ worker, ticket }) => [worker, { ticket, expiresAt }])))
    if (answer.val.length > 0) questions.delete(step)
  }

  const runQuestions = async (): Promise<void> => {
    while (questions.size > 0 && !stopping.signal.aborted) {
      const [step, question] = [...questions][0] as [string, Question]
      // Asked again only after all others that wait.
      questions.delete(step)
      questions.set(step, question)
      await askNext(step, question)
    }
    running = undefined
  }

  return {
    request: (step, workers, policy) => {
      if (hasTickets(step) || questions.has(step) || workers.length === 0) return
      questions.set(step, { workers: [...workers], policy })
      running ??= runQuestions().catch((error: unknown) => {
        logger.error('advice.failed', { message: error instanceof Error ? error.stack : String(error) })
      })
    },
    findTicket: (step, worker) => {
      const known = tickets.get(step)?.get(worker)
      return known !== undefined && known.expiresAt > clock.now() + TICKET_MARGIN_MS ? known.ticket : undefined
    },
    dropTicket: (step, worker) => { tickets.get(step)?.delete(worker) },
    stop: () => stopping.abort()
  }
}
