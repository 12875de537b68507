/** Bounds of RULES.md and DEPLOY.md that the guarantees are checked against. */
export const CONTACT_MS = 3000
export const CANCEL_MS = 3000
export const STOP_TIMEOUT_MS = 200
export const CONFIG_APPLY_MS = 2000
const EVACUATE_MS = 5000
/** Longest time that a long-running task may have no run, counted from its acceptance, from its last end or from `CONTACT_MS` after the last disturbance. */
const LONG_RUNNING_GAP_MS = 6000
const CONNECTION_LOSS_SLACK_MS = 200

export interface StepPlan { count: number, cpu: number, memMb: number, runMs: number, dependsOn: number[], lasting: boolean, failures: number }

export interface JobRecord {
  id: string
  queue: string
  spec: string
  steps: StepPlan[]
  /** Submissions of the job that have no answer yet. */
  pendingAttempts: number
  /** True if a submission got no conclusive answer, so that the job may have been accepted. */
  isOutcomeUnknown: boolean
  acceptedAt: number | undefined
  refusedAt: number | undefined
  cancelSentAt: number | undefined
  cancelledAt: number | undefined
  completedAt: number | undefined
}

/** One process lifetime of a fake worker, with the capacity that it announces. */
export interface WorkerIncarnation { name: string, zone: string, service: string, rejectsOverload: boolean, capacity: { cpu: number, memMb: number }, isUp: boolean }

/**
 * `lapsed`: the lease of the worker expired before the end was acknowledged, so that the task may run again.
 * `recorded`: a host acknowledged the end, so that the task must not run again.
 */
interface SuccessfulEnd { at: number, life: WorkerIncarnation, lapsed: boolean, recorded: boolean }

interface TaskRecord {
  name: string
  job: JobRecord
  step: StepPlan
  runs: Array<{ life: WorkerIncarnation, attempt: number, startedAt: number }>
  successfulEnds: SuccessfulEnd[]
  lastStartAt: number
  lastEndAt: number
  failures: number
}

/**
 * A violated guarantee. TWICE: a task ran twice at a time, or again after an acknowledged end. UNASKED: a task ran that
 * no client submitted, or after its cancel. REFUSED: a refused job ran. LOST: an accepted job, a long-running task or a request
 * was lost. ORDER: a task started before its dependencies ended. MIXED: a job was shown as completed too early.
 * LIMIT: a worker was overloaded. FINISH: a job did not complete in time. CONFIG: a configuration was lost or applied wrongly.
 * EVACUATED: a task started in a zone after the bound of its evacuation. ONE: orders with a fencing token went on after the worker had refused it. `process` and `answer`: a process exited, or a request was
 * answered, in a way that the contract doesn't allow.
 */
export interface Violation { at: number, guarantee: string, message: string }

export interface InvariantChecker {
  broken: Violation[]
  lines: string[]
  jobs: Map<string, JobRecord>
  /** When the evacuation of a zone was acknowledged, by zone, until its end is requested. */
  evacuatedAt: Map<string, number>
  configuration: { acked: number, sent: Map<number, string>, hasOptionalQueue: Map<number, boolean>, ackedAt: number }
  trace (kind: string, fields: object): void
  report (guarantee: string, message: string): void
  recordDisturbance (description: string): void
  /**
   * Starts a disturbance and returns the function that ends it. A planned one must not fail requests in flight, but it extends
   * the time bounds as an unplanned one does.
   */
  beginDisturbance (description: string, isPlanned: boolean): () => void
  addJob (plan: Pick<JobRecord, 'id' | 'queue' | 'spec' | 'steps'>): JobRecord
  findStep (task: string): StepPlan | undefined
  getFailures (task: string): number
  observeStart (life: WorkerIncarnation, task: string, attempt: number, spec: string): void
  observeEnd (life: WorkerIncarnation, task: string, attempt: number, how: string): SuccessfulEnd | undefined
  observeCrash (life: WorkerIncarnation): void
  observeEndAcknowledged (task: string, end: SuccessfulEnd): void
  observeState (job: JobRecord, status: number, state: string, sentAt: number): void
  observeConnectionLoss (description: string, sentAt: number, isPlanned: boolean): void
  checkCapacity (life: WorkerIncarnation): void
  check (): void
  listUnfinishedJobs (): JobRecord[]
  describeJob (job: JobRecord): string
}

export function createInvariantChecker (now: () => number): InvariantChecker {
  const broken: Violation[] = []
  const lines: string[] = []
  const jobs = new Map<string, JobRecord>()
  const evacuatedAt = new Map<string, number>()
  const tasks = new Map<string, TaskRecord>()
  const runningTasks = new Map<WorkerIncarnation, Set<TaskRecord>>()
  const disturbances = { lastEventAt: 0, active: 0, lastUnplannedAt: 0, activeUnplanned: 0 }
  const reported = new Set<string>()

  const trace = (kind: string, fields: object): void => {
    lines.push(`${(now() / 1000).toFixed(3)} ${kind} ${Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`).join(' ')}`)
  }
  const report = (guarantee: string, message: string): void => {
    if (reported.has(guarantee + message)) return
    reported.add(guarantee + message)
    broken.push({ at: now(), guarantee, message })
    trace('BROKEN', { guarantee, message })
  }
  const recordDisturbance = (description: string, isPlanned = false): void => {
    disturbances.lastEventAt = now()
    if (!isPlanned) disturbances.lastUnplannedAt = now()
    trace('disturbance', { description })
  }
  const isUndisturbedSince = (from: number): boolean => disturbances.active === 0 && disturbances.lastEventAt <= from

  const getTask = (name: string): TaskRecord | undefined => {
    const existing = tasks.get(name)
    if (existing !== undefined) return existing
    const [id = '', occurrence, step, index] = name.split('.')
    const job = jobs.get(id)
    const plan = job?.steps[Number(step)]
    if (job === undefined || plan === undefined || occurrence !== '0' || !(Number(index) < plan.count)) return undefined
    const created: TaskRecord = { name, job, step: plan, runs: [], successfulEnds: [], lastStartAt: 0, lastEndAt: 0, failures: 0 }
    tasks.set(name, created)
    return created
  }
  const listTasks = (job: JobRecord, step: number): TaskRecord[] => Array.from({ length: job.steps[step]?.count ?? 0 }, (_, index) => getTask(`${job.id}.0.${step}.${index}`)).filter((task) => task !== undefined)
  const isStepSuccessful = (job: JobRecord, step: number): boolean => listTasks(job, step).every((task) => task.successfulEnds.length > 0)

  const observeStart = (life: WorkerIncarnation, name: string, attempt: number, spec: string): void => {
    trace('start', { worker: life.name, task: name, attempt })
    const evacuatedMs = now() - (evacuatedAt.get(life.zone) ?? Infinity)
    if (evacuatedMs > EVACUATE_MS) report('EVACUATED', `${name} attempt ${attempt} starts on ${life.name} ${Math.round(evacuatedMs)} ms after the evacuation of zone ${life.zone}`)
    const task = getTask(name)
    if (task === undefined) return report('UNASKED', `${life.name} was told to start ${name}, which no client has submitted`)
    const { job } = task
    if (spec !== job.spec) report('UNASKED', `${life.name} was told to start ${name} with another spec`)
    if (job.refusedAt !== undefined) report('REFUSED', `${name} starts on ${life.name}, and all attempts to submit its job were refused`)
    task.runs.filter((run) => run.life.isUp).forEach((run) => report('TWICE', `${name} attempt ${attempt} starts on ${life.name} while attempt ${run.attempt} runs on ${run.life.name} since ${(run.startedAt / 1000).toFixed(3)}`))
    if (task.successfulEnds.some((end) => end.recorded)) report('TWICE', `${name} attempt ${attempt} starts on ${life.name} after an acknowledged end`)
    task.step.dependsOn.filter((step) => !isStepSuccessful(job, step)).forEach((step) => report('ORDER', `${name} starts before step ${step} is done`))
    if (job.cancelledAt !== undefined && now() > job.cancelledAt + CANCEL_MS && isUndisturbedSince(now() - CONTACT_MS)) report('UNASKED', `${name} starts on ${life.name} ${Math.round(now() - job.cancelledAt)} ms after the acknowledged cancel`)
    task.runs.push({ life, attempt, startedAt: now() })
    task.lastStartAt = now()
    runningTasks.set(life, (runningTasks.get(life) ?? new Set()).add(task))
  }

  const removeRun = (life: WorkerIncarnation, task: TaskRecord): void => {
    task.runs = task.runs.filter((run) => run.life !== life)
    task.lastEndAt = now()
    runningTasks.get(life)?.delete(task)
  }

  const observeEnd = (life: WorkerIncarnation, name: string, attempt: number, how: string): SuccessfulEnd | undefined => {
    trace('end', { worker: life.name, task: name, attempt, how })
    const task = getTask(name)
    if (task === undefined) return undefined
    removeRun(life, task)
    if (how === 'failed') task.failures += 1
    if (how !== 'done') return undefined
    const end = { at: now(), life, lapsed: false, recorded: false }
    task.successfulEnds.push(end)
    return end
  }

  const observeEndAcknowledged = (name: string, end: SuccessfulEnd): void => {
    if (end.lapsed || end.recorded) return
    end.recorded = true
    const task = getTask(name)
    trace('end-acknowledged', { worker: end.life.name, task: name })
    if (task !== undefined && task.lastStartAt > end.at) report('TWICE', `${name} was started after its end on ${end.life.name}, which was acknowledged`)
  }

  const observeState = (job: JobRecord, status: number, state: string, sentAt: number): void => {
    const acceptedBefore = job.acceptedAt !== undefined && sentAt > job.acceptedAt
    if (status === 410 && acceptedBefore) report('LOST', `${job.id}, accepted at ${(job.acceptedAt! / 1000).toFixed(3)}, is unknown`)
    if (status !== 200) return
    if (state === 'failed') report('LOST', `${job.id} is shown as failed`)
    if (state === 'cancelled' && job.cancelSentAt === undefined) report('LOST', `${job.id} is shown as cancelled, and nobody cancelled it`)
    if (job.completedAt !== undefined && state !== 'completed') report('LOST', `${job.id} is shown as ${state} after completed`)
    if (state === 'completed' && job.completedAt === undefined) {
      job.completedAt = now()
      job.steps.forEach((_, step) => { if (!isStepSuccessful(job, step)) report('MIXED', `${job.id} is shown as completed, and step ${step} is not done`) })
    }
    if (job.refusedAt !== undefined && sentAt > job.refusedAt) report('REFUSED', `${job.id} was refused and is shown as ${state}`)
  }

  const checkLongRunning = (task: TaskRecord): void => {
    const { job } = task
    if (job.acceptedAt === undefined || job.cancelSentAt !== undefined || task.runs.some((run) => run.life.isUp)) return
    const dueAt = Math.max(job.acceptedAt, task.lastEndAt, disturbances.lastEventAt + CONTACT_MS) + LONG_RUNNING_GAP_MS
    if (disturbances.active === 0 && now() > dueAt) report('LOST', `the lasting task ${task.name} has no run since ${(task.lastEndAt / 1000).toFixed(3)}`)
  }

  const check = (): void => jobs.forEach((job) => {
    if (job.cancelledAt !== undefined && now() > job.cancelledAt + CANCEL_MS + STOP_TIMEOUT_MS && isUndisturbedSince(now() - CONTACT_MS - CANCEL_MS - STOP_TIMEOUT_MS)) {
      job.steps.flatMap((_, step) => listTasks(job, step)).forEach((task) => task.runs.filter((run) => run.life.isUp).forEach((run) => {
        report('UNASKED', `${task.name} still runs on ${run.life.name}; its cancel was acknowledged at ${(job.cancelledAt! / 1000).toFixed(3)}`)
      }))
    }
    job.steps.forEach((plan, step) => { if (plan.lasting) listTasks(job, step).forEach(checkLongRunning) })
  })

  return {
    broken,
    lines,
    jobs,
    evacuatedAt,
    configuration: { acked: 0, sent: new Map(), hasOptionalQueue: new Map(), ackedAt: -Infinity },
    trace,
    report,
    recordDisturbance,
    beginDisturbance: (description, isPlanned) => {
      recordDisturbance(description, isPlanned)
      const unplanned = isPlanned ? 0 : 1
      disturbances.active += 1
      disturbances.activeUnplanned += unplanned
      return () => {
        disturbances.active -= 1
        disturbances.activeUnplanned -= unplanned
        recordDisturbance(`end of ${description}`, isPlanned)
      }
    },
    addJob: (plan) => {
      const job: JobRecord = { ...plan, pendingAttempts: 0, isOutcomeUnknown: false, acceptedAt: undefined, refusedAt: undefined, cancelSentAt: undefined, cancelledAt: undefined, completedAt: undefined }
      jobs.set(job.id, job)
      return job
    },
    findStep: (task) => getTask(task)?.step,
    getFailures: (task) => getTask(task)?.failures ?? 0,
    observeStart,
    observeEnd,
    observeCrash: (life) => {
      life.isUp = false
      trace('crash', { worker: life.name })
      ;[...runningTasks.get(life) ?? []].forEach((task) => removeRun(life, task))
    },
    observeEndAcknowledged,
    observeState,
    observeConnectionLoss: (description, sentAt, isPlanned) => {
      const isOnlyPlanned = isPlanned && disturbances.activeUnplanned === 0 && disturbances.lastUnplannedAt <= sentAt - CONTACT_MS
      if (isOnlyPlanned && now() - sentAt > CONNECTION_LOSS_SLACK_MS) report('LOST', `${description} was cut after ${Math.round(now() - sentAt)} ms without an answer around a planned stop`)
    },
    checkCapacity: (life) => {
      if (life.rejectsOverload) return
      const running = [...runningTasks.get(life) ?? []]
      const cpu = running.reduce((sum, task) => sum + task.step.cpu, 0)
      const memMb = running.reduce((sum, task) => sum + task.step.memMb, 0)
      if (cpu > life.capacity.cpu || memMb > life.capacity.memMb) report('LIMIT', `${life.name} runs ${cpu} mcpu and ${memMb} MiB of ${life.capacity.cpu} and ${life.capacity.memMb}: ${running.map((task) => task.name).join(' ')}`)
    },
    check,
    listUnfinishedJobs: () => [...jobs.values()].filter((job) => job.acceptedAt !== undefined && job.cancelSentAt === undefined && job.completedAt === undefined && !job.steps.some((step) => step.lasting)),
    describeJob: (job) => job.steps.flatMap((_, step) => listTasks(job, step)).filter((task) => task.successfulEnds.length === 0).map((task) => `${task.name} ${task.runs.length > 0 ? `runs on ${task.runs[0]?.life.name}` : 'does not run'}`).slice(0, 5).join(', ')
  }
}
