import type { Clock } from '../../common/index.js'
import type { Decision, Observation, Placement } from '../../coordination/placement/index.js'
import type { BadCause, ReportRecorder, RequestRecord } from '../../coordination/reports/index.js'
import type { RequestOutcomeEvent } from '../../coordination/routing/index.js'
import type { Eviction } from '../../coordination/tasks/index.js'
import type { ReplicatedLog, Entry } from '../../state/index.js'

/** Attempts that are remembered for the reports; the oldest are forgotten first. */
const MAX_ATTEMPTS = 50_000
/** A request that was late within this time of a measure against a neighbour counts as its interference. */
const INTERFERENCE_MEMORY_MS = 30_000

const NOT_RUN_CAUSES: Record<string, BadCause['kind']> = {
  draining: 'drain',
  'queue-full': 'shedding',
  shed: 'shedding',
  'deadline-in-queue': 'queueing',
  'deadline-too-close': 'queueing',
  'no-capacity': 'queueing'
}

interface Attempt { member: string, job: string, jobClass: string, cores: number, startedAt: number, runMs: number }

/** Feeds the reports from what the router, the placement and the log show. */
export interface ReportFeed {
  /** Watches a placement; its decisions pass unchanged. */
  observePlacement (placement: Placement): Placement
  observeRequest (report: RequestOutcomeEvent): void
  observeEviction (eviction: Eviction): void
}

export function createReportFeed (options: { clock: Clock, log: ReplicatedLog, recorder: ReportRecorder, availabilityZone: string, isCoordinator (): boolean }): ReportFeed {
  const { clock, log, recorder, availabilityZone } = options
  const attempts = new Map<string, Attempt>()
  const interference = new Map<string, { jobClass: string, deadline: number }>()

  const findMember = (job: string): string | undefined => log.state().jobs[job]?.job.member

  const observeStart = ({ task }: Extract<Observation, { kind: 'task-started' }>): void => {
    const previous = attempts.get(task.id)
    attempts.delete(task.id)
    attempts.set(task.id, {
      member: task.member, job: task.job, jobClass: task.jobClass, cores: task.size.cores, startedAt: clock.now(), runMs: previous?.runMs ?? 0
    })
    const oldest = attempts.size > MAX_ATTEMPTS ? attempts.keys().next().value : undefined
    if (oldest !== undefined) attempts.delete(oldest)
  }

  const observeEnd = ({ task }: Extract<Observation, { kind: 'task-ended' }>): void => {
    const attempt = attempts.get(task)
    if (attempt === undefined) return
    attempt.runMs += clock.now() - attempt.startedAt
    attempt.startedAt = clock.now()
  }

  const observeDecision = (decision: Decision): void => {
    const isAgainstNeighbour = decision.kind === 'throttle' || (decision.kind === 'stop' && decision.cause === 'interference')
    const neighbour = isAgainstNeighbour ? attempts.get(decision.task) : undefined
    if (neighbour === undefined) return
    Object.keys(log.state().services).forEach((service) => {
      interference.set(service, { jobClass: neighbour.jobClass, deadline: clock.now() + INTERFERENCE_MEMORY_MS })
    })
  }

  const recordEnds = (entry: Entry): void => {
    // Each host applies the entry, but only the zone's coordinator has seen the attempts.
    if (entry.kind !== 'job.summary' || entry.availabilityZone !== availabilityZone || !options.isCoordinator()) return
    entry.outcomes.forEach(([job, task, outcome]) => {
      const id = `${job}/${task}`
      const attempt = attempts.get(id)
      const member = attempt?.member ?? findMember(job)
      attempts.delete(id)
      if (member !== undefined) recorder.recordBatchEnd({ member, outcome, cores: attempt?.cores ?? 0, runMs: attempt?.runMs ?? 0 })
    })
  }
  log.subscribe(recordEnds)

  const findCause = ({ service, outcome, reason, latencyMs }: RequestOutcomeEvent): BadCause | undefined => {
    if (outcome === 'not-run') return { kind: NOT_RUN_CAUSES[reason ?? ''] ?? 'failure' } as BadCause
    if (outcome === 'unknown') return { kind: 'failure' }
    const objective = log.state().services[service]?.objective.latencyMs ?? Infinity
    const measure = interference.get(service)
    return latencyMs > objective && measure !== undefined && measure.deadline > clock.now()
      ? { kind: 'interference', jobClass: measure.jobClass }
      : undefined
  }

  return {
    observePlacement: (placement) => ({
      observe: (observation, now) => {
        if (observation.kind === 'task-started') observeStart(observation)
        if (observation.kind === 'task-ended') observeEnd(observation)
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
      // A wrong or foreign key says nothing about the service.
      if (report.outcome === 'refused') return
      const { service, member, latencyMs } = report
      const outcome: RequestRecord['outcome'] = report.outcome === 'answered' && (report.status ?? 0) >= 500 ? 'failed' : report.outcome
      const cause = findCause(report)
      recorder.recordRequest({ service, member, latencyMs, outcome, ...(cause === undefined ? {} : { cause }) })
    }
  }
}
