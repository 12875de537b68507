import type { Clock, Logger, Metrics } from '../../common/index.js'
import type { Policy, Service } from '../../state/index.js'
import { runAttempt, type AttemptOutcome } from './attempt.js'
import { createRetryBudget } from './retryBudget.js'
import type { LeaseClient, Demand } from './leaseClient.js'
import type { HealthTable } from './executorHealth.js'
import type { LeasedExecutor, LeasedExecutors } from './leasedExecutors.js'
import { createFairQueue, type FairQueue, type QueueItem } from './fairQueue.js'
import type { Answer, NotRunReason, RequestOutcome, RoutedRequest, UnknownReason } from './types.js'

/** Lowest queue limit of a service; applies while this host has few slots of the service or none. */
const MIN_QUEUE_LIMIT = 16
const HOST_QUEUE_LIMIT = 10_000
const HOST_QUEUE_BYTES = 64 * 1024 * 1024
/** Applied to each service's peak of slots in use with each call of `decayPeaks`. */
const PEAK_DECAY_FACTOR = 0.85
const MIN_SERVER_ERROR_STATUS = 500
const LEFT_QUEUE = Symbol('left the queue')

interface PendingRequest extends QueueItem {
  request: RoutedRequest
  triedExecutors: Set<string>
  /** An attempt may have reached the executor, and its outcome is not known. */
  mayHaveRun: boolean
  /** The attempt that ended has already taken a token of the retry budget for the next one. */
  hasRetryToken: boolean
  /** The last complete answer with a server error; the caller gets it if no retry succeeds. */
  lastErrorAnswer: Answer | undefined
  unknownReason: UnknownReason
  beforeSend: () => Promise<unknown>
  onLateAnswer: (answer: Answer) => void
  /** Aborted when the request leaves the queue; undefined while it is not queued. */
  queueExit: AbortController | undefined
  settle: (outcome: RequestOutcome) => void
}

interface ServiceQueue {
  service: string
  queue: FairQueue<PendingRequest>
  peakInUse: number
  lastRequestAt: number
}

export interface RunOptions {
  /** Awaited before each attempt, before the first byte is sent. */
  beforeSend?: () => Promise<unknown>
  onLateAnswer?: (answer: Answer) => void
}

/** Admits requests, queues them while no slot is free, and sends them to executors on the slots that this host has leased. */
export interface Dispatcher {
  run (request: RoutedRequest, options?: RunOptions): Promise<RequestOutcome>
  getDemand (service: string): Demand
  /** Starts queued requests of all services as far as slots are free. */
  dispatchAllQueues (): void
  /** Lowers each service's peak of slots in use towards the present number; called at a fixed interval. */
  decayPeaks (): void
  /** Number of requests whose caller has no outcome yet plus the attempts in flight. */
  countOpenRequests (): number
  setDraining (): void
  stop (): void
}

export function createDispatcher (options: {
  clock: Clock
  holder: string
  leasedExecutors: LeasedExecutors
  health: HealthTable
  getLeaseClient (): LeaseClient
  getPolicy (): Policy
  getService (service: string): Service | undefined
  logger: Logger
  metrics: Metrics
}): Dispatcher {
  const { clock, holder, leasedExecutors, health, getLeaseClient, getPolicy, getService, metrics, logger } = options
  const serviceQueues = new Map<string, ServiceQueue>()
  const retryBudget = createRetryBudget()
  let sequence = 0
  const queued = { items: 0, bytes: 0 }
  let openRequests = 0
  let draining = false
  let stopped = false

  const getServiceQueue = (service: string): ServiceQueue => {
    const known = serviceQueues.get(service)
    if (known !== undefined) return known
    const serviceQueue: ServiceQueue = { service, queue: createFairQueue<PendingRequest>(), peakInUse: 0, lastRequestAt: -Infinity }
    serviceQueues.set(service, serviceQueue)
    return serviceQueue
  }

  const countInUse = (service: string): number =>
    leasedExecutors.list(service).reduce((sum, item) => sum + item.activeAttempts.size + item.abandonedAttempts.size, 0)

  const countSlots = (service: string): number =>
    leasedExecutors.list(service).filter(leasedExecutors.canUse).reduce((sum, item) => sum + item.slots, 0)

  const run: Dispatcher['run'] = (request, { beforeSend = async () => {}, onLateAnswer = () => {} } = {}) =>
    new Promise((resolve) => {
      openRequests += 1
      const pending: PendingRequest = {
        member: request.member,
        deadline: request.deadline,
        bytes: request.body.length,
        request,
        triedExecutors: new Set(),
        mayHaveRun: false,
        hasRetryToken: false,
        lastErrorAnswer: undefined,
        unknownReason: 'no-answer',
        beforeSend,
        onLateAnswer,
        queueExit: undefined,
        settle: (outcome) => {
          openRequests -= 1
          metrics.count('requests', 1, { service: request.service, outcome: outcome.kind })
          resolve(outcome)
        }
      }
      admitRequest(pending)
    })

  const admitRequest = (pending: PendingRequest): void => {
    const { request } = pending
    if (draining || stopped) return endUnanswered(pending, 'draining', 'this host accepts no new requests')
    if (getService(request.service) === undefined) return endUnanswered(pending, 'unknown-service', `no service ${request.service}`)
    const serviceQueue = getServiceQueue(request.service)
    serviceQueue.lastRequestAt = clock.now()
    retryBudget.recordRequest()
    const executor = serviceQueue.queue.count() === 0 ? leasedExecutors.choose(serviceQueue.service, pending.triedExecutors) : undefined
    if (executor !== undefined) {
      startAttempt(pending, serviceQueue, executor)
      return
    }
    if (wouldMissDeadline(pending, serviceQueue)) return endUnanswered(pending, 'deadline-too-close', 'the deadline would pass in the queue')
    enqueueRequest(pending, serviceQueue)
  }

  const wouldMissDeadline = (pending: PendingRequest, serviceQueue: ServiceQueue): boolean => {
    const { meanMs } = health.estimateService(serviceQueue.service)
    const slots = countSlots(serviceQueue.service)
    const waitMs = slots === 0 ? 0 : serviceQueue.queue.countAhead(pending.member) * meanMs / slots
    return clock.now() + waitMs + meanMs > pending.deadline
  }

  const enqueueRequest = (pending: PendingRequest, serviceQueue: ServiceQueue): void => {
    // A burst on a host that has leased few slots so far may queue for the slots that the host can lease soon.
    const slots = Math.max(countSlots(serviceQueue.service), getLeaseClient().computeFairShare(serviceQueue.service))
    const limit = Math.max(MIN_QUEUE_LIMIT, Math.ceil(getPolicy().queuePerSlot * slots))
    pending.queueExit = new AbortController()
    queued.items += 1
    queued.bytes += pending.bytes
    const surplus = serviceQueue.queue.add(pending, limit)
    if (surplus !== undefined) rejectQueued(surplus, 'queue-full', 'the queue is full and this member has the longest line in it')
    shedLowestWeight()
    rejectAtDeadline(pending, serviceQueue)
    getLeaseClient().wake(serviceQueue.service)
    dispatchServiceQueue(serviceQueue)
  }

  /** Removes queued requests of the service with the lowest weight while all queues together exceed the limits of the host. */
  const shedLowestWeight = (): void => {
    while (queued.items > HOST_QUEUE_LIMIT || queued.bytes > HOST_QUEUE_BYTES) {
      const lowest = [...serviceQueues.values()]
        .filter((serviceQueue) => serviceQueue.queue.count() > 0)
        .reduce((best, serviceQueue) => getWeight(serviceQueue.service) < getWeight(best.service) ? serviceQueue : best)
      const shed = lowest.queue.removeNewest()
      if (shed === undefined) return
      rejectQueued(shed, 'shed', 'the host is overloaded and the service has the least weight')
    }
  }

  const getWeight = (service: string): number => getService(service)?.weight ?? 0

  const leaveQueue = (pending: PendingRequest): void => {
    queued.items -= 1
    queued.bytes -= pending.bytes
    pending.queueExit?.abort(LEFT_QUEUE)
    pending.queueExit = undefined
  }

  const rejectQueued = (pending: PendingRequest, reason: NotRunReason, message: string): void => {
    leaveQueue(pending)
    endUnanswered(pending, reason, message)
  }

  const rejectAtDeadline = async (pending: PendingRequest, serviceQueue: ServiceQueue): Promise<void> => {
    const signal = pending.queueExit?.signal
    await clock.sleep(pending.deadline - clock.now(), signal)
    if (signal === undefined || signal.aborted || !serviceQueue.queue.discard(pending)) return
    rejectQueued(pending, countSlots(serviceQueue.service) === 0 ? 'no-capacity' : 'deadline-in-queue', 'the deadline passed in the queue')
  }

  const dispatchServiceQueue = (serviceQueue: ServiceQueue): void => {
    for (let pending = serviceQueue.queue.peek(); pending !== undefined; pending = serviceQueue.queue.peek()) {
      if (clock.now() + health.estimateService(serviceQueue.service).meanMs > pending.deadline) {
        serviceQueue.queue.discard(pending)
        rejectQueued(pending, 'deadline-in-queue', 'the time left is shorter than a request of this service takes')
        continue
      }
      const executor = leasedExecutors.choose(serviceQueue.service, pending.triedExecutors)
      if (executor === undefined) return
      serviceQueue.queue.dequeue(pending)
      leaveQueue(pending)
      startAttempt(pending, serviceQueue, executor)
    }
  }

  const startAttempt = async (pending: PendingRequest, serviceQueue: ServiceQueue, executor: LeasedExecutor): Promise<void> => {
    const id = `${holder}/${sequence++}`
    const startedAt = clock.now()
    executor.activeAttempts.set(id, startedAt)
    serviceQueue.peakInUse = Math.max(serviceQueue.peakInUse, countInUse(serviceQueue.service))
    pending.triedExecutors.add(executor.id)
    await pending.beforeSend()
    const outcome = await runAttempt(pending.request, id, executor, {
      clock,
      leasedExecutors,
      holder,
      estimateMs: health.estimateService(serviceQueue.service).highMs,
      claimRetry: () => {
        pending.hasRetryToken = leasedExecutors.choose(serviceQueue.service, pending.triedExecutors) !== undefined && retryBudget.tryConsume()
        return pending.hasRetryToken
      },
      onSettled: () => {
        if (stopped) return
        getLeaseClient().returnExcessSlot(executor)
        // Queued as a microtask, so that this answer reaches its caller before the next request is started.
        queueMicrotask(() => dispatchServiceQueue(serviceQueue))
      },
      onLateAnswer: pending.onLateAnswer
    })
    recordHealth(executor, serviceQueue.service, outcome, clock.now() - startedAt)
    handleAttempt(pending, serviceQueue, executor, outcome)
  }

  const recordHealth = (executor: LeasedExecutor, service: string, outcome: AttemptOutcome, latencyMs: number): void => {
    const isGood = outcome.kind === 'answer' && outcome.answer.status < MIN_SERVER_ERROR_STATUS
    health.recordAttempt(executor.id, service, isGood ? 'success' : 'failure', latencyMs)
    if (outcome.kind === 'lost' || outcome.kind === 'not-sent') {
      logger.warn('attempt-failed', { executor: executor.id, service, kind: outcome.kind, reason: outcome.message })
    }
  }

  const handleAttempt = (pending: PendingRequest, serviceQueue: ServiceQueue, executor: LeasedExecutor, outcome: AttemptOutcome): void => {
    if (outcome.kind === 'answer') {
      const isFinal = outcome.answer.status < MIN_SERVER_ERROR_STATUS || !pending.request.idempotent
      if (isFinal) return pending.settle({ kind: 'answered', ...outcome.answer })
      pending.lastErrorAnswer = outcome.answer
      return retryRequest(pending, serviceQueue, 'refused-by-executor', 'the executor failed')
    }
    if (outcome.kind === 'not-sent') return retryRequest(pending, serviceQueue, 'no-connection', outcome.message)
    if (outcome.kind === 'not-run') return retryRequest(pending, serviceQueue, 'refused-by-executor', outcome.message)
    pending.mayHaveRun = true
    pending.unknownReason = getUnknownReason(outcome.failure)
    if (pending.request.idempotent) retryRequest(pending, serviceQueue, 'no-connection', outcome.message)
    else endUnanswered(pending, 'no-connection', `${executor.id}: ${outcome.message}`)
  }

  const retryRequest = (pending: PendingRequest, serviceQueue: ServiceQueue, reason: NotRunReason, message: string): void => {
    const { meanMs } = health.estimateService(serviceQueue.service)
    if (stopped || clock.now() + meanMs >= pending.deadline || !(pending.hasRetryToken || retryBudget.tryConsume())) return endUnanswered(pending, reason, message)
    pending.hasRetryToken = false
    metrics.count('retries', 1, { service: serviceQueue.service })
    const executor = leasedExecutors.choose(serviceQueue.service, pending.triedExecutors)
    if (executor !== undefined) {
      startAttempt(pending, serviceQueue, executor)
      return
    }
    pending.queueExit = new AbortController()
    queued.items += 1
    queued.bytes += pending.bytes
    // All known executors have been tried, so each of them may be tried again.
    if (leasedExecutors.list(serviceQueue.service).every((item) => pending.triedExecutors.has(item.id))) pending.triedExecutors.clear()
    serviceQueue.queue.addFirst(pending)
    rejectAtDeadline(pending, serviceQueue)
    getLeaseClient().wake(serviceQueue.service)
  }

  /** Ends a request that got no successful answer. The outcome is `not-run` only if no attempt can have reached a handler. */
  const endUnanswered = (pending: PendingRequest, reason: NotRunReason, message: string): void => {
    if (pending.lastErrorAnswer !== undefined) return pending.settle({ kind: 'answered', ...pending.lastErrorAnswer })
    if (!pending.mayHaveRun) return pending.settle({ kind: 'not-run', reason, message })
    const next = pending.request.idempotent ? 'resend' : 'ask-again'
    pending.settle({ kind: 'unknown', reason: pending.unknownReason, message, next })
  }

  return {
    run,
    getDemand: (service) => {
      const serviceQueue = serviceQueues.get(service)
      const inUse = countInUse(service)
      return {
        queued: serviceQueue?.queue.count() ?? 0,
        inUse,
        recentPeak: Math.max(inUse, Math.ceil(serviceQueue?.peakInUse ?? 0)),
        lastRequestAt: serviceQueue?.lastRequestAt ?? -Infinity
      }
    },
    dispatchAllQueues: () => serviceQueues.forEach(dispatchServiceQueue),
    decayPeaks: () => serviceQueues.forEach((serviceQueue) => {
      const decayed = serviceQueue.peakInUse * PEAK_DECAY_FACTOR
      serviceQueue.peakInUse = Math.max(countInUse(serviceQueue.service), decayed < 1 ? 0 : decayed)
    }),
    countOpenRequests: () => openRequests + leasedExecutors.list().reduce((sum, item) => sum + item.activeAttempts.size, 0),
    setDraining: () => { draining = true },
    stop: () => {
      stopped = true
      serviceQueues.forEach((serviceQueue) => {
        for (let pending = serviceQueue.queue.removeNewest(); pending !== undefined; pending = serviceQueue.queue.removeNewest()) {
          rejectQueued(pending, 'draining', 'this host is stopping')
        }
      })
    }
  }
}

function getUnknownReason (failure: string): UnknownReason {
  const reasons: Record<string, UnknownReason> = { truncated: 'truncated', 'connection-lost': 'connection-lost', 'wrong-answer': 'wrong-answer' }
  return reasons[failure] ?? 'no-answer'
}
