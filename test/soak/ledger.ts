/** The bounds of RULES.md and DEPLOY.md by which the promises are judged. */
export const CONTACT_MS = 3000
export const CANCEL_MS = 3000
export const STOP_TIMEOUT_MS = 200
export const CONFIG_APPLY_MS = 2000
/** A lasting task may be without a run for this long once all is calm. */
const LASTING_MS = 6000
const LOSS_SLACK_MS = 200

export interface StepPlan { count: number, cpu: number, memMb: number, runMs: number, dependsOn: number[], lasting: boolean, failures: number }

export interface JobRecord {
  id: string
  queue: string
  spec: string
  steps: StepPlan[]
  /** Attempts to hand the job in that have no answer yet. */
  openAttempts: number
  /** A request without a clear answer may have been accepted. */
  isUnclear: boolean
  acceptedAt: number | undefined
  refusedAt: number | undefined
  cancelSentAt: number | undefined
  cancelledAt: number | undefined
  completedAt: number | undefined
}

export interface WorkerLife { name: string, service: string, rejectsOverload: boolean, capacity: { cpu: number, memMb: number }, isUp: boolean }

interface DoneEnd { at: number, life: WorkerLife, lapsed: boolean, recorded: boolean }

interface TaskRecord {
  name: string
  job: JobRecord
  step: StepPlan
  runs: Array<{ life: WorkerLife, attempt: number, startedAt: number }>
  doneEnds: DoneEnd[]
  lastStartAt: number
  lastEndAt: number
  failures: number
}

export interface Broken { at: number, promise: string, message: string }

export interface Ledger {
  broken: Broken[]
  lines: string[]
  jobs: Map<string, JobRecord>
  configuration: { acked: number, sent: Map<number, string>, hasExtra: Map<number, boolean>, ackedAt: number }
  trace (kind: string, fields: object): void
  report (promise: string, message: string): void
  disturb (description: string): void
  /** Planned work harms no request in flight, but counts where a rule has a bound in time. */
  beginDisturbance (description: string, isPlanned: boolean): () => void
  addJob (plan: Pick<JobRecord, 'id' | 'queue' | 'spec' | 'steps'>): JobRecord
  findStep (task: string): StepPlan | undefined
  getFailures (task: string): number
  observeStart (life: WorkerLife, task: string, attempt: number, spec: string): void
  observeEnd (life: WorkerLife, task: string, attempt: number, how: string): DoneEnd | undefined
  observeCrash (life: WorkerLife): void
  observeRecorded (task: string, end: DoneEnd): void
  observeState (job: JobRecord, status: number, state: string, sentAt: number): void
  observeBreak (description: string, sentAt: number, isPlanned: boolean): void
  checkLoad (life: WorkerLife): void
  check (): void
  listOpenJobs (): JobRecord[]
  describeJob (job: JobRecord): string
}

export function createLedger (now: () => number): Ledger {
  const broken: Broken[] = []
  const lines: string[] = []
  const jobs = new Map<string, JobRecord>()
  const tasks = new Map<string, TaskRecord>()
  const runsOf = new Map<WorkerLife, Set<TaskRecord>>()
  const calm = { lastEventAt: 0, active: 0, lastUnplannedAt: 0, activeUnplanned: 0 }
  const seen = new Set<string>()

  const trace = (kind: string, fields: object): void => {
    lines.push(`${(now() / 1000).toFixed(3)} ${kind} ${Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`).join(' ')}`)
  }
  const report = (promise: string, message: string): void => {
    if (seen.has(promise + message)) return
    seen.add(promise + message)
    broken.push({ at: now(), promise, message })
    trace('BROKEN', { promise, message })
  }
  const disturb = (description: string, isPlanned = false): void => {
    calm.lastEventAt = now()
    if (!isPlanned) calm.lastUnplannedAt = now()
    trace('disturbance', { description })
  }
  const isCalm = (from: number): boolean => calm.active === 0 && calm.lastEventAt <= from

  const getTask = (name: string): TaskRecord | undefined => {
    const existing = tasks.get(name)
    if (existing !== undefined) return existing
    const [id = '', occurrence, step, index] = name.split('.')
    const job = jobs.get(id)
    const plan = job?.steps[Number(step)]
    if (job === undefined || plan === undefined || occurrence !== '0' || !(Number(index) < plan.count)) return undefined
    const created: TaskRecord = { name, job, step: plan, runs: [], doneEnds: [], lastStartAt: 0, lastEndAt: 0, failures: 0 }
    tasks.set(name, created)
    return created
  }
  const listTasks = (job: JobRecord, step: number): TaskRecord[] => Array.from({ length: job.steps[step]?.count ?? 0 }, (_, index) => getTask(`${job.id}.0.${step}.${index}`)).filter((task) => task !== undefined)
  const isStepDone = (job: JobRecord, step: number): boolean => listTasks(job, step).every((task) => task.doneEnds.length > 0)

  const observeStart = (life: WorkerLife, name: string, attempt: number, spec: string): void => {
    trace('start', { worker: life.name, task: name, attempt })
    const task = getTask(name)
    if (task === undefined) return report('UNASKED', `${life.name} was told to start ${name}, which no client has submitted`)
    const { job } = task
    if (spec !== job.spec) report('UNASKED', `${life.name} was told to start ${name} with another spec`)
    if (job.refusedAt !== undefined) report('REFUSED', `${name} starts on ${life.name}, and all attempts to submit its job were refused`)
    task.runs.filter((run) => run.life.isUp).forEach((run) => report('TWICE', `${name} attempt ${attempt} starts on ${life.name} while attempt ${run.attempt} runs on ${run.life.name} since ${(run.startedAt / 1000).toFixed(3)}`))
    if (task.doneEnds.some((end) => end.recorded)) report('TWICE', `${name} attempt ${attempt} starts on ${life.name} after an acknowledged end`)
    task.step.dependsOn.filter((step) => !isStepDone(job, step)).forEach((step) => report('ORDER', `${name} starts before step ${step} is done`))
    if (job.cancelledAt !== undefined && now() > job.cancelledAt + CANCEL_MS && isCalm(now() - CONTACT_MS)) report('UNASKED', `${name} starts on ${life.name} ${Math.round(now() - job.cancelledAt)} ms after the acknowledged cancel`)
    task.runs.push({ life, attempt, startedAt: now() })
    task.lastStartAt = now()
    runsOf.set(life, (runsOf.get(life) ?? new Set()).add(task))
  }

  const removeRun = (life: WorkerLife, task: TaskRecord): void => {
    task.runs = task.runs.filter((run) => run.life !== life)
    task.lastEndAt = now()
    runsOf.get(life)?.delete(task)
  }

  const observeEnd = (life: WorkerLife, name: string, attempt: number, how: string): DoneEnd | undefined => {
    trace('end', { worker: life.name, task: name, attempt, how })
    const task = getTask(name)
    if (task === undefined) return undefined
    removeRun(life, task)
    if (how === 'failed') task.failures += 1
    if (how !== 'done') return undefined
    const end = { at: now(), life, lapsed: false, recorded: false }
    task.doneEnds.push(end)
    return end
  }

  const observeRecorded = (name: string, end: DoneEnd): void => {
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
      job.steps.forEach((_, step) => { if (!isStepDone(job, step)) report('MIXED', `${job.id} is shown as completed, and step ${step} is not done`) })
    }
    if (job.refusedAt !== undefined && sentAt > job.refusedAt) report('REFUSED', `${job.id} was refused and is shown as ${state}`)
  }

  const checkLasting = (task: TaskRecord): void => {
    const { job } = task
    if (job.acceptedAt === undefined || job.cancelSentAt !== undefined || task.runs.some((run) => run.life.isUp)) return
    const dueAt = Math.max(job.acceptedAt, task.lastEndAt, calm.lastEventAt + CONTACT_MS) + LASTING_MS
    if (calm.active === 0 && now() > dueAt) report('LOST', `the lasting task ${task.name} has no run since ${(task.lastEndAt / 1000).toFixed(3)}`)
  }

  const check = (): void => jobs.forEach((job) => {
    if (job.cancelledAt !== undefined && now() > job.cancelledAt + CANCEL_MS + STOP_TIMEOUT_MS && isCalm(now() - CONTACT_MS - CANCEL_MS - STOP_TIMEOUT_MS)) {
      job.steps.flatMap((_, step) => listTasks(job, step)).forEach((task) => task.runs.filter((run) => run.life.isUp).forEach((run) => {
        report('UNASKED', `${task.name} still runs on ${run.life.name}; its cancel was acknowledged at ${(job.cancelledAt! / 1000).toFixed(3)}`)
      }))
    }
    job.steps.forEach((plan, step) => { if (plan.lasting) listTasks(job, step).forEach(checkLasting) })
  })

  return {
    broken,
    lines,
    jobs,
    configuration: { acked: 0, sent: new Map(), hasExtra: new Map(), ackedAt: -Infinity },
    trace,
    report,
    disturb,
    beginDisturbance: (description, isPlanned) => {
      disturb(description, isPlanned)
      const unplanned = isPlanned ? 0 : 1
      calm.active += 1
      calm.activeUnplanned += unplanned
      return () => {
        calm.active -= 1
        calm.activeUnplanned -= unplanned
        disturb(`end of ${description}`, isPlanned)
      }
    },
    addJob: (plan) => {
      const job: JobRecord = { ...plan, openAttempts: 0, isUnclear: false, acceptedAt: undefined, refusedAt: undefined, cancelSentAt: undefined, cancelledAt: undefined, completedAt: undefined }
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
      ;[...runsOf.get(life) ?? []].forEach((task) => removeRun(life, task))
    },
    observeRecorded,
    observeState,
    observeBreak: (description, sentAt, isPlanned) => {
      const isOnlyPlanned = isPlanned && calm.activeUnplanned === 0 && calm.lastUnplannedAt <= sentAt - CONTACT_MS
      if (isOnlyPlanned && now() - sentAt > LOSS_SLACK_MS) report('LOST', `${description} was cut after ${Math.round(now() - sentAt)} ms without an answer around a planned stop`)
    },
    checkLoad: (life) => {
      if (life.rejectsOverload) return
      const running = [...runsOf.get(life) ?? []]
      const cpu = running.reduce((sum, task) => sum + task.step.cpu, 0)
      const memMb = running.reduce((sum, task) => sum + task.step.memMb, 0)
      if (cpu > life.capacity.cpu || memMb > life.capacity.memMb) report('LIMIT', `${life.name} runs ${cpu} mcpu and ${memMb} MiB of ${life.capacity.cpu} and ${life.capacity.memMb}: ${running.map((task) => task.name).join(' ')}`)
    },
    check,
    listOpenJobs: () => [...jobs.values()].filter((job) => job.acceptedAt !== undefined && job.cancelSentAt === undefined && job.completedAt === undefined && !job.steps.some((step) => step.lasting)),
    describeJob: (job) => job.steps.flatMap((_, step) => listTasks(job, step)).filter((task) => task.doneEnds.length === 0).map((task) => `${task.name} ${task.runs.length > 0 ? `runs on ${task.runs[0]?.life.name}` : 'does not run'}`).slice(0, 5).join(', ')
  }
}
