import type { Clock, Logger, Metrics } from '../../common/index.js'
import type { Policy, Service } from '../../state/index.js'
import { runAttempt, type AttemptOutcome } from './attempt.js'
import { createRetryBudget } from './budget.js'
import type { Borrower, Demand } from './credits.js'
import type { HealthTable } from './health.js'
import type { HeldExecutor, Holdings } from './holdings.js'
import { createFairQueue, type FairQueue, type Waiting } from './queue.js'
import type { Answer, NotRunReason, RequestOutcome, RoutedRequest, UnknownReason } from './types.js'

const QUEUE_FLOOR = 16
const HOST_QUEUE_LIMIT = 10_000
const HOST_QUEUE_BYTES = 64 * 1024 * 1024
const PEAK_DECAY = 0.85
const SERVER_ERROR = 500
const LEFT_QUEUE = Symbol('left the queue')

interface Job extends Waiting {
  request: RoutedRequest
  tried: Set<string>
  /** An attempt was sent whose end is not known. */
  mayHaveRun: boolean
  /** A retry has been counted already. */
  hasMove: boolean
  /** A whole answer with a server error, returned when no retry brings a better one. */
  lastAnswer: Answer | undefined
  unknownReason: UnknownReason
  beforeSend: () => Promise<unknown>
  onLateAnswer: (answer: Answer) => void
  queued: AbortController | undefined
  settle: (outcome: RequestOutcome) => void
}

interface ServiceQueue {
  service: string
  queue: FairQueue<Job>
  peak: number
  lastRequestAt: number
}

export interface RunOptions {
  /** Awaited before the first byte is sent. */
  beforeSend?: () => Promise<unknown>
  onLateAnswer?: (answer: Answer) => void
}

/** Admits requests, keeps them in fair queues and runs them on slots that this host holds. */
export interface Dispatcher {
  run (request: RoutedRequest, options?: RunOptions): Promise<RequestOutcome>
  getDemand (service: string): Demand
  /** Starts what can be started. */
  pump (): void
  /** Lets the remembered peaks decay; called at a fixed interval. */
  decayPeaks (): void
  countOpen (): number
  setDraining (): void
  stop (): void
}

export function createDispatcher (options: {
  clock: Clock
  holder: string
  holdings: Holdings
  health: HealthTable
  getBorrower (): Borrower
  getPolicy (): Policy
  getService (service: string): Service | undefined
  logger: Logger
  metrics: Metrics
}): Dispatcher {
  const { clock, holder, holdings, health, getBorrower, getPolicy, getService, metrics, logger } = options
  const serviceQueues = new Map<string, ServiceQueue>()
  const budget = createRetryBudget()
  let sequence = 0
  const queued = { items: 0, bytes: 0 }
  let open = 0
  let draining = false
  let stopped = false

  const getServiceQueue = (service: string): ServiceQueue => {
    const known = serviceQueues.get(service)
    if (known !== undefined) return known
    const serviceQueue: ServiceQueue = { service, queue: createFairQueue<Job>(), peak: 0, lastRequestAt: -Infinity }
    serviceQueues.set(service, serviceQueue)
    return serviceQueue
  }

  const countInUse = (service: string): number =>
    holdings.list(service).reduce((sum, item) => sum + item.active.size + item.abandoned.size, 0)

  const countSlots = (service: string): number =>
    holdings.list(service).filter(holdings.canUse).reduce((sum, item) => sum + item.slots, 0)

  const run: Dispatcher['run'] = (request, { beforeSend = async () => {}, onLateAnswer = () => {} } = {}) =>
    new Promise((resolve) => {
      open += 1
      const job: Job = {
        member: request.member,
        deadline: request.deadline,
        bytes: request.body.length,
        request,
        tried: new Set(),
        mayHaveRun: false,
        hasMove: false,
        lastAnswer: undefined,
        unknownReason: 'no-answer',
        beforeSend,
        onLateAnswer,
        queued: undefined,
        settle: (outcome) => {
          open -= 1
          metrics.count('requests', 1, { service: request.service, outcome: outcome.kind })
          resolve(outcome)
        }
      }
      admitJob(job)
    })

  const admitJob = (job: Job): void => {
    const { request } = job
    if (draining || stopped) return endJob(job, 'draining', 'this host accepts no new requests')
    if (getService(request.service) === undefined) return endJob(job, 'unknown-service', `no service ${request.service}`)
    const serviceQueue = getServiceQueue(request.service)
    serviceQueue.lastRequestAt = clock.now()
    budget.recordRequest()
    const executor = serviceQueue.queue.count() === 0 ? holdings.choose(serviceQueue.service, job.tried) : undefined
    if (executor !== undefined) {
      startJob(job, serviceQueue, executor)
      return
    }
    if (isHopeless(job, serviceQueue)) return endJob(job, 'deadline-too-close', 'the deadline would pass in the queue')
    enqueueJob(job, serviceQueue)
  }

  const isHopeless = (job: Job, serviceQueue: ServiceQueue): boolean => {
    const { meanMs } = health.estimateService(serviceQueue.service)
    const slots = countSlots(serviceQueue.service)
    const waitMs = slots === 0 ? 0 : serviceQueue.queue.countAhead(job.member) * meanMs / slots
    return clock.now() + waitMs + meanMs > job.deadline
  }

  const enqueueJob = (job: Job, serviceQueue: ServiceQueue): void => {
    // A burst on a host that holds few slots yet may wait for those that it is about to borrow.
    const slots = Math.max(countSlots(serviceQueue.service), getBorrower().countShare(serviceQueue.service))
    const limit = Math.max(QUEUE_FLOOR, Math.ceil(getPolicy().queuePerSlot * slots))
    job.queued = new AbortController()
    queued.items += 1
    queued.bytes += job.bytes
    const surplus = serviceQueue.queue.add(job, limit)
    if (surplus !== undefined) rejectQueued(surplus, 'queue-full', 'the queue is full and this member has the longest line in it')
    shedLightest()
    expireJob(job, serviceQueue)
    getBorrower().wake(serviceQueue.service)
    pumpQueue(serviceQueue)
  }

  /** Requests of the services with the least weight give way when the host as a whole holds too many. */
  const shedLightest = (): void => {
    while (queued.items > HOST_QUEUE_LIMIT || queued.bytes > HOST_QUEUE_BYTES) {
      const lightest = [...serviceQueues.values()]
        .filter((serviceQueue) => serviceQueue.queue.count() > 0)
        .reduce((best, serviceQueue) => getWeight(serviceQueue.service) < getWeight(best.service) ? serviceQueue : best)
      const victim = lightest.queue.removeLast()
      if (victim === undefined) return
      rejectQueued(victim, 'shed', 'the host is overloaded and the service has the least weight')
    }
  }

  const getWeight = (service: string): number => getService(service)?.weight ?? 0

  const leaveQueue = (job: Job): void => {
    queued.items -= 1
    queued.bytes -= job.bytes
    job.queued?.abort(LEFT_QUEUE)
    job.queued = undefined
  }

  const rejectQueued = (job: Job, reason: NotRunReason, message: string): void => {
    leaveQueue(job)
    endJob(job, reason, message)
  }

  const expireJob = async (job: Job, serviceQueue: ServiceQueue): Promise<void> => {
    const signal = job.queued?.signal
    await clock.sleep(job.deadline - clock.now(), signal)
    if (signal === undefined || signal.aborted || !serviceQueue.queue.discard(job)) return
    rejectQueued(job, countSlots(serviceQueue.service) === 0 ? 'no-capacity' : 'deadline-in-queue', 'the deadline passed in the queue')
  }

  const pumpQueue = (serviceQueue: ServiceQueue): void => {
    for (let job = serviceQueue.queue.find(); job !== undefined; job = serviceQueue.queue.find()) {
      if (clock.now() + health.estimateService(serviceQueue.service).meanMs > job.deadline) {
        serviceQueue.queue.discard(job)
        rejectQueued(job, 'deadline-in-queue', 'the time left is shorter than a request of this service takes')
        continue
      }
      const executor = holdings.choose(serviceQueue.service, job.tried)
      if (executor === undefined) return
      serviceQueue.queue.remove(job)
      leaveQueue(job)
      startJob(job, serviceQueue, executor)
    }
  }

  const startJob = async (job: Job, serviceQueue: ServiceQueue, executor: HeldExecutor): Promise<void> => {
    const id = `${holder}/${sequence++}`
    const startedAt = clock.now()
    executor.active.set(id, startedAt)
    serviceQueue.peak = Math.max(serviceQueue.peak, countInUse(serviceQueue.service))
    job.tried.add(executor.id)
    await job.beforeSend()
    const outcome = await runAttempt(job.request, id, executor, {
      clock,
      holdings,
      holder,
      estimateMs: health.estimateService(serviceQueue.service).highMs,
      claimMove: () => {
        job.hasMove = holdings.choose(serviceQueue.service, job.tried) !== undefined && budget.claim()
        return job.hasMove
      },
      onSettled: () => {
        if (stopped) return
        getBorrower().releaseExcess(executor)
        // The answer is handed over first; it does not wait for the next request.
        queueMicrotask(() => pumpQueue(serviceQueue))
      },
      onLateAnswer: job.onLateAnswer
    })
    recordHealth(executor, serviceQueue.service, outcome, clock.now() - startedAt)
    handleAttempt(job, serviceQueue, executor, outcome)
  }

  const recordHealth = (executor: HeldExecutor, service: string, outcome: AttemptOutcome, latencyMs: number): void => {
    const isGood = outcome.kind === 'answer' && outcome.answer.status < SERVER_ERROR
    health.recordAttempt(executor.id, service, isGood ? 'success' : 'failure', latencyMs)
    if (outcome.kind === 'lost' || outcome.kind === 'not-sent') {
      logger.warn('attempt-failed', { executor: executor.id, service, kind: outcome.kind, reason: outcome.message })
    }
  }

  const handleAttempt = (job: Job, serviceQueue: ServiceQueue, executor: HeldExecutor, outcome: AttemptOutcome): void => {
    if (outcome.kind === 'answer') {
      const isFinal = outcome.answer.status < SERVER_ERROR || !job.request.idempotent
      if (isFinal) return job.settle({ kind: 'answered', ...outcome.answer })
      job.lastAnswer = outcome.answer
      return retryJob(job, serviceQueue, 'refused-by-executor', 'the executor failed')
    }
    if (outcome.kind === 'not-sent') return retryJob(job, serviceQueue, 'no-connection', outcome.message)
    if (outcome.kind === 'not-run') return retryJob(job, serviceQueue, 'refused-by-executor', outcome.message)
    job.mayHaveRun = true
    job.unknownReason = describeLoss(outcome.failure)
    if (job.request.idempotent) retryJob(job, serviceQueue, 'no-connection', outcome.message)
    else endJob(job, 'no-connection', `${executor.id}: ${outcome.message}`)
  }

  const retryJob = (job: Job, serviceQueue: ServiceQueue, reason: NotRunReason, message: string): void => {
    const { meanMs } = health.estimateService(serviceQueue.service)
    if (stopped || clock.now() + meanMs >= job.deadline || !(job.hasMove || budget.claim())) return endJob(job, reason, message)
    job.hasMove = false
    metrics.count('retries', 1, { service: serviceQueue.service })
    const executor = holdings.choose(serviceQueue.service, job.tried)
    if (executor !== undefined) {
      startJob(job, serviceQueue, executor)
      return
    }
    job.queued = new AbortController()
    queued.items += 1
    queued.bytes += job.bytes
    // With every known executor tried, any may be tried again.
    if (holdings.list(serviceQueue.service).every((item) => job.tried.has(item.id))) job.tried.clear()
    serviceQueue.queue.addFirst(job)
    expireJob(job, serviceQueue)
    getBorrower().wake(serviceQueue.service)
  }

  /** Ends a request without a good answer: `not-run` only while no attempt could have reached a handler. */
  const endJob = (job: Job, reason: NotRunReason, message: string): void => {
    if (job.lastAnswer !== undefined) return job.settle({ kind: 'answered', ...job.lastAnswer })
    if (!job.mayHaveRun) return job.settle({ kind: 'not-run', reason, message })
    const next = job.request.idempotent ? 'resend' : 'ask-again'
    job.settle({ kind: 'unknown', reason: job.unknownReason, message, next })
  }

  return {
    run,
    getDemand: (service) => {
      const serviceQueue = serviceQueues.get(service)
      const inUse = countInUse(service)
      return {
        queued: serviceQueue?.queue.count() ?? 0,
        inUse,
        recentPeak: Math.max(inUse, Math.ceil(serviceQueue?.peak ?? 0)),
        lastRequestAt: serviceQueue?.lastRequestAt ?? -Infinity
      }
    },
    pump: () => serviceQueues.forEach(pumpQueue),
    decayPeaks: () => serviceQueues.forEach((serviceQueue) => {
      const decayed = serviceQueue.peak * PEAK_DECAY
      serviceQueue.peak = Math.max(countInUse(serviceQueue.service), decayed < 1 ? 0 : decayed)
    }),
    countOpen: () => open + holdings.list().reduce((sum, item) => sum + item.active.size, 0),
    setDraining: () => { draining = true },
    stop: () => {
      stopped = true
      serviceQueues.forEach((serviceQueue) => {
        for (let job = serviceQueue.queue.removeLast(); job !== undefined; job = serviceQueue.queue.removeLast()) {
          rejectQueued(job, 'draining', 'this host is stopping')
        }
      })
    }
  }
}

function describeLoss (failure: string): UnknownReason {
  const reasons: Record<string, UnknownReason> = { truncated: 'truncated', 'connection-lost': 'connection-lost', 'wrong-answer': 'wrong-answer' }
  return reasons[failure] ?? 'no-answer'
}
