import { Err, Ok, type Clock, type Result } from '../../common/index.js'
import type { TaskView } from '../../coordination/tasks/index.js'
import { createFailure, describeLogFailure, type ApiFailure, type EntryHost, type Principal } from '../../protocol/index.js'
import { taskOutcomeSchema, type ReplicatedLog, type Entry, type JobRecord } from '../../state/index.js'
import { computeDivision } from './division.js'
import type { QueryService } from './queries.js'

const PROPOSE_TIMEOUT_MS = 4_000
const REPEAT_MS = 50

type WorkOperations = Pick<EntryHost,
  'putService' | 'removeService' | 'listServices' | 'createJob' | 'listJobs' | 'getJob' | 'listTasks' | 'cancelJob' | 'resolveTask'>

export interface WorkOptions {
  log: ReplicatedLog
  clock: Clock
  queries: QueryService
  availabilityZone: string
}

/**
 * Proposes an entry and tells the caller what became of it. An entry with a request id is proposed again after an
 * unclear attempt, since its first outcome is returned when it was recorded.
 */
export async function proposeEntry (log: ReplicatedLog, clock: Clock, entry: Entry): Promise<Result<{ revision?: number, epoch?: number }, ApiFailure>> {
  const deadline = clock.now() + PROPOSE_TIMEOUT_MS
  const repeatUntil = 'requestId' in entry && entry.requestId !== undefined ? deadline - REPEAT_MS : -Infinity
  let result = await log.propose(entry, deadline)
  let isUnclear = !result.ok && result.val.kind === 'outcome-unknown'
  while (isUnclear && clock.now() < repeatUntil) {
    await clock.sleep(REPEAT_MS)
    result = await log.propose(entry, deadline)
    // A certain refusal of the repetition says nothing about the first attempt.
    isUnclear = !result.ok && result.val.kind !== 'rejected'
  }
  if (result.ok) return Ok(result.val.value)
  return Err(describeLogFailure(isUnclear && 'message' in result.val ? { kind: 'outcome-unknown', message: result.val.message } : result.val))
}

/** The part of an entry host that members create services and jobs with. */
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
      const zones = computeDivision(log.state(), job, availabilityZone)
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
        // Tasks that have ended but whose outcome is not in the agreed state yet appear here.
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
