import type { Clock } from '../../common/index.js'
import type { Decision, Observation, Placement } from '../../coordination/placement/index.js'
import type { BadCause, ReportRecorder, RequestRecord } from '../../coordination/reports/index.js'
import type { RequestOutcomeEvent } from '../../coordination/routing/index.js'
import type { Eviction } from '../../coordination/tasks/index.js'
import { findIn, type ReplicatedLog, type Entry } from '../../state/index.js'

/** Maximum of task attempts that are tracked for the reports; the oldest are removed first. */
const MAX_TRACKED_ATTEMPTS = 50_000
/**
 * A request that misses its objective within this time after a task was throttled, or stopped for interference, is attributed to
 * interference by the job class of that task.
 */
const INTERFERENCE_WINDOW_MS = 30_000

const NOT_RUN_CAUSES: Record<string, BadCause['kind']> = {
  draining: 'drain',
  'queue-full': 'shedding',
  shed: 'shedding',
  'deadline-in-queue': 'queueing',
  'deadline-too-close': 'queueing',
  'no-capacity': 'queueing'
}

interface Attempt { member: string, job: string, jobClass: string, cores: number, startedAt: number, runMs: number }

/** Observes the router, the placement and the replicated log, and passes the data of reports to the recorder. */
export interface ReportObserver {
  /** Wraps a placement to observe it; its decisions are returned unchanged. */
  observePlacement (placement: Placement): Placement
  observeRequest (report: RequestOutcomeEvent): void
  observeEviction (eviction: Eviction): void
}

export function createReportObserver (options: { clock: Clock, log: ReplicatedLog, recorder: ReportRecorder, availabilityZone: string, isCoordinator (): boolean }): ReportObserver {
  const { clock, log, recorder, availabilityZone } = options
  const attempts = new Map<string, Attempt>()
  const lastMitigation = new Map<string, { jobClass: string, deadline: number }>()

  const findMember = (job: string): string | undefined => log.state().jobs[job]?.job.member

  const observeAttemptStart = ({ task }: Extract<Observation, { kind: 'task-started' }>): void => {
    const previousAttempt = attempts.get(task.id)
    attempts.delete(task.id)
    attempts.set(task.id, {
      member: task.member, job: task.job, jobClass: task.jobClass, cores: task.size.cores, startedAt: clock.now(), runMs: previousAttempt?.runMs ?? 0
    })
    const oldest = attempts.size > MAX_TRACKED_ATTEMPTS ? attempts.keys().next().value : undefined
    if (oldest !== undefined) attempts.delete(oldest)
  }

  const observeAttemptEnd = ({ task }: Extract<Observation, { kind: 'task-ended' }>): void => {
    const attempt = attempts.get(task)
    if (attempt === undefined) return
    attempt.runMs += clock.now() - attempt.startedAt
    attempt.startedAt = clock.now()
  }

  const observeDecision = (decision: Decision): void => {
    const isMitigation = decision.kind === 'throttle' || (decision.kind === 'stop' && decision.cause === 'interference')
    const mitigatedTask = isMitigation ? attempts.get(decision.task) : undefined
    if (mitigatedTask === undefined) return
    Object.keys(log.state().services).forEach((service) => {
      lastMitigation.set(service, { jobClass: mitigatedTask.jobClass, deadline: clock.now() + INTERFERENCE_WINDOW_MS })
    })
  }

  const recordOutcomes = (entry: Entry): void => {
    // Each host applies this entry, but only the coordinator of the zone has observed the attempts.
    if (entry.kind !== 'job.summary' || entry.availabilityZone !== availabilityZone || !options.isCoordinator()) return
    entry.outcomes.forEach(([job, task, outcome]) => {
      const id = `${job}/${task}`
      const attempt = attempts.get(id)
      const member = attempt?.member ?? findMember(job)
      attempts.delete(id)
      if (member !== undefined) recorder.recordBatchEnd({ member, outcome, cores: attempt?.cores ?? 0, runMs: attempt?.runMs ?? 0 })
    })
  }
  log.subscribe(recordOutcomes)

  const findCause = ({ service, outcome, reason, latencyMs }: RequestOutcomeEvent): BadCause | undefined => {
    if (outcome === 'not-run') return { kind: findIn(NOT_RUN_CAUSES, reason ?? '') ?? 'failure' } as BadCause
    if (outcome === 'unknown') return { kind: 'failure' }
    const objective = log.state().services[service]?.objective.latencyMs ?? Infinity
    const mitigation = lastMitigation.get(service)
    return latencyMs > objective && mitigation !== undefined && mitigation.deadline > clock.now()
      ? { kind: 'interference', jobClass: mitigation.jobClass }
      : undefined
  }

  return {
    observePlacement: (placement) => ({
      observe: (observation, now) => {
        if (observation.kind === 'task-started') observeAttemptStart(observation)
        if (observation.kind === 'task-ended') observeAttemptEnd(observation)
        placement.observe(observation, now)
      },
      decide: (now) => {
        const decisions = placement.decide(now)
        decisions.forEach(observeDecision)
        return decisions
      },
      explain: (subject) => placement.explain(subject)
    }),

    observeEviction: ({ task, member, worker, cause, causingMember }) => {
      recorder.recordEviction({ task, member, worker, cause, causingMember, job: attempts.get(task)?.job ?? '' })
    },

    observeRequest: (report) => {
      // A request that was refused for its idempotency key says nothing about the service.
      if (report.outcome === 'refused') return
      const { service, member, latencyMs } = report
      const outcome: RequestRecord['outcome'] = report.outcome === 'answered' && (report.status ?? 0) >= 500 ? 'failed' : report.outcome
      const cause = findCause(report)
      recorder.recordRequest({ service, member, latencyMs, outcome, ...(cause === undefined ? {} : { cause }) })
    }
  }
}
