import { runSupervised, type Clock, type Logger, type Result } from '../../common/index.js'
import type { AdvicePolicy } from '../../state/index.js'

/** Maximum number of workers in one query: the latency objective of a workflow includes the time of one query of this size for each step. */
const WORKERS_PER_QUERY = 30
/** Added to the answer time that the policy states. */
const ANSWER_SLACK_MS = 1000
/** Delay after a failed query before the next one. */
const RETRY_MS = 200
/** A ticket that expires within this time is not used, because a start order takes a sync of the log and a round trip. */
const TICKET_MARGIN_MS = 300
/** Maximum number of steps with cached tickets; at more the cache is cleared. */
const MAX_KNOWN_STEPS = 1000

/** Permission to run a step on a worker; `ticket` is the proof that accompanies each start order. */
export interface Ticket { worker: string, ticket: string }

export type AdviceFailure = { kind: 'busy' } | { kind: 'no-answer', message: string }

export interface AdviceClient {
  ask (step: string, workers: string[], deadline: number): Promise<Result<Ticket[], AdviceFailure>>
}

export interface Advisor {
  /** Queues a query about a step unless it has valid tickets. The advice service answers one query at a time. */
  request (step: string, workers: readonly string[], policy: AdvicePolicy): void
  findTicket (step: string, worker: string): string | undefined
  /** Discards a ticket that the worker has refused. */
  dropTicket (step: string, worker: string): void
  stop (): void
}

interface Query { workers: readonly string[], policy: AdvicePolicy }
interface KnownTicket { ticket: string, expiresAt: number }

/** Obtains tickets for queues whose placement policy is known only to an external advice service. Queries are slow, so the answers are cached. */
export function createAdvisor ({ clock, logger, client }: { clock: Clock, logger: Logger, client: AdviceClient }): Advisor {
  const stopping = new AbortController()
  const queries = new Map<string, Query>()
  const tickets = new Map<string, Map<string, KnownTicket>>()
  /** Workers that were already queried for a step; the answer does not change during a worker's incarnation. */
  const queriedWorkers = new Map<string, Set<string>>()
  let running: Promise<void> | undefined

  const hasTickets = (step: string): boolean =>
    [...tickets.get(step)?.values() ?? []].some(({ expiresAt }) => expiresAt > clock.now() + TICKET_MARGIN_MS)

  const sendQuery = async (step: string, { workers, policy }: Query): Promise<void> => {
    const known = queriedWorkers.get(step) ?? new Set<string>()
    const approved = [...tickets.get(step)?.keys() ?? []]
    const queried = (approved.length > 0 ? approved : workers.filter((worker) => !known.has(worker))).slice(0, WORKERS_PER_QUERY)
    if (queried.length === 0) {
      queries.delete(step)
      queriedWorkers.delete(step)
      return
    }
    const sentAt = clock.now()
    const answer = await client.ask(step, queried, sentAt + policy.decisionMs + policy.perWorkerMs * queried.length + ANSWER_SLACK_MS)
    logger.info('advice.answer', { step, workers: queried.length, approved: answer.ok ? answer.val.length : undefined, outcome: answer.ok ? 'answered' : answer.val.kind, ms: Math.round(clock.now() - sentAt) })
    if (!answer.ok) return clock.sleep(RETRY_MS, stopping.signal)
    queried.forEach((worker) => known.add(worker))
    queriedWorkers.set(step, known)
    // The validity counts from the sending of the query, the earliest time at which the answer can have been given.
    const expiresAt = sentAt + policy.validityMs
    if (tickets.size >= MAX_KNOWN_STEPS) tickets.clear()
    if (answer.val.length > 0) tickets.set(step, new Map(answer.val.map(({ worker, ticket }) => [worker, { ticket, expiresAt }])))
    if (answer.val.length > 0) queries.delete(step)
  }

  const runQueries = async (): Promise<void> => {
    while (queries.size > 0 && !stopping.signal.aborted) {
      const [step, query] = [...queries][0] as [string, Query]
      // Moves the query to the end, so that it is repeated only after all other waiting ones.
      queries.delete(step)
      queries.set(step, query)
      await sendQuery(step, query)
    }
    running = undefined
  }

  return {
    request: (step, workers, policy) => {
      if (hasTickets(step) || queries.has(step) || workers.length === 0) return
      queries.set(step, { workers: [...workers], policy })
      running ??= runSupervised({ clock, logger, event: 'advice.failed', isStopped: () => stopping.signal.aborted }, runQueries)
    },
    findTicket: (step, worker) => {
      const known = tickets.get(step)?.get(worker)
      return known !== undefined && known.expiresAt > clock.now() + TICKET_MARGIN_MS ? known.ticket : undefined
    },
    dropTicket: (step, worker) => { tickets.get(step)?.delete(worker) },
    stop: () => stopping.abort()
  }
}
