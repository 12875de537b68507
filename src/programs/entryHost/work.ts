import { Err, Ok, type Clock, type Result } from '../../common/index.js'
import type { TaskView } from '../../coordination/tasks/index.js'
import { createFailure, describeLogFailure, type ApiFailure, type EntryHost, type Principal } from '../../protocol/index.js'
import { taskOutcomeSchema, type ReplicatedLog, type Entry, type JobRecord } from '../../state/index.js'
import { computeZoneShares } from './zoneShares.js'
import type { QueryService } from './queries.js'

const PROPOSE_TIMEOUT_MS = 4_000
const RETRY_DELAY_MS = 50

type WorkOperations = Pick<EntryHost,
  'putService' | 'removeService' | 'listServices' | 'createJob' | 'listJobs' | 'getJob' | 'listTasks' | 'cancelJob' | 'resolveTask'>

export interface WorkOptions {
  log: ReplicatedLog
  clock: Clock
  queries: QueryService
  availabilityZone: string
}

/**
 * Proposes a log entry and returns its outcome. If the outcome is unknown and the entry has a request id, the entry is proposed
 * again: if the first proposal was committed, the repeated one returns its recorded outcome.
 */
export async function proposeEntry (log: ReplicatedLog, clock: Clock, entry: Entry): Promise<Result<{ revision?: number, epoch?: number }, ApiFailure>> {
  const deadline = clock.now() + PROPOSE_TIMEOUT_MS
  const retryUntil = 'requestId' in entry && entry.requestId !== undefined ? deadline - RETRY_DELAY_MS : -Infinity
  let result = await log.propose(entry, deadline)
  let isOutcomeUnknown = !result.ok && result.val.kind === 'outcome-unknown'
  while (isOutcomeUnknown && clock.now() < retryUntil) {
    await clock.sleep(RETRY_DELAY_MS)
    result = await log.propose(entry, deadline)
    // A failure of a repeated proposal, for instance without a leader, leaves open whether an earlier one was committed. Only a
    // rejection by the replicated state is final.
    isOutcomeUnknown = !result.ok && result.val.kind !== 'rejected'
  }
  if (result.ok) return Ok(result.val.value)
  return Err(describeLogFailure(isOutcomeUnknown && 'message' in result.val ? { kind: 'outcome-unknown', message: result.val.message } : result.val))
}

/** Creates the operations on services, jobs and tasks. */
export function createWorkOperations ({ log, clock, queries, availabilityZone }: WorkOptions): WorkOperations {
  const propose = (entry: Entry): Promise<Result<object, ApiFailure>> => proposeEntry(log, clock, entry)

  const findJob = (principal: Principal, id: string): Result<JobRecord, ApiFailure> => {
    const record = log.state().jobs[id]
    return record === undefined || !canSee(principal, record.job.member)
      ? Err(createFailure('not-found', `job "${id}" does not exist`))
      : Ok(record)
  }

  const listLiveTasks = async (job: string | undefined): Promise<{ tasks: TaskView[], missing: string[] }> => {
    const { answers, missing } = await queries.askCoordinators('tasks', { job })
    return { tasks: answers.flatMap(({ value }) => value), missing }
  }

  return {
    putService: async (member, id, { requestId, ...body }) => {
      const accepted = await propose({ kind: 'service.put', requestId, service: { ...body, id, member } })
      return accepted.ok ? Ok({ ...body, id, member }) : accepted
    },

    removeService: async (member, service) => {
      const accepted = await propose({ kind: 'service.remove', service, member })
      return accepted.ok ? Ok({ removed: service }) : accepted
    },

    listServices: async (principal) => Ok(Object.values(log.state().services).filter(({ member }) => canSee(principal, member))),

    createJob: async (member, { requestId, ...body }) => {
      const job = { ...body, member }
      const zones = computeZoneShares(log.state(), job, availabilityZone)
      const accepted = await propose({ kind: 'job.create', requestId, job, zones, wallTime: clock.wall() })
      return accepted.ok ? Ok({ ...job, zones }) : accepted
    },

    listJobs: async (principal) => Ok(Object.values(log.state().jobs)
      .filter(({ job }) => canSee(principal, job.member))
      .map(summarizeJob)),

    getJob: async (principal, id) => {
      const record = findJob(principal, id)
      if (!record.ok) return record
      const { tasks, missing } = await listLiveTasks(id)
      return Ok({
        ...summarizeJob(record.val),
        zones: record.val.zones,
        outcomes: record.val.outcomes,
        // Includes tasks that have ended but whose outcome is not in the replicated state yet.
        live: tasks,
        hostsWithoutAnswer: missing
      })
    },

    listTasks: async (principal, job) => {
      const { tasks } = await listLiveTasks(job)
      return Ok(tasks.filter((task) => {
        const state = log.state()
        const owner = task.service === undefined ? state.jobs[task.job]?.job.member : state.services[task.service]?.member
        return owner === undefined ? principal.role === 'operator' : canSee(principal, owner)
      }))
    },

    cancelJob: async (member, id, requestId) => {
      const record = findJob({ role: 'member', member }, id)
      if (!record.ok) return record
      const accepted = await propose({ kind: 'job.cancel', requestId, job: id, member })
      return accepted.ok ? Ok({ cancelled: id }) : accepted
    },

    resolveTask: async (job, task, { requestId, outcome, setBy }) => {
      const accepted = await propose({ kind: 'job.resolve', requestId, job, task, outcome, setBy })
      return accepted.ok ? Ok({ job, task, outcome }) : accepted
    }
  }
}

export function canSee (principal: Principal, member: string): boolean {
  return principal.role === 'operator' || (principal.role === 'member' && principal.member === member)
}

function summarizeJob (record: JobRecord): object {
  const outcomes = Object.values(record.outcomes)
  const counts = Object.fromEntries(taskOutcomeSchema.options.map((outcome) => [outcome, outcomes.filter((each) => each === outcome).length]))
  return {
    id: record.job.id,
    member: record.job.member,
    jobClass: record.job.jobClass,
    tasks: record.job.tasks,
    open: record.job.tasks - outcomes.length,
    cancelled: record.cancelled || undefined,
    ...Object.fromEntries(Object.entries(counts).filter(([, count]) => count > 0))
  }
}
