import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { RunEvent, RunPlan } from '../../src/fakes/runFleet.js'
import type { Recurrence, Step } from '../../src/state/index.js'
import { CATALOG, createScene, STEP, type Scene } from '../workflows/support.js'

const RUNS = Number(process.env.FUZZ_RUNS ?? 12)
const SEED = Number(process.env.FUZZ_SEED ?? 31)
const TEST_TIMEOUT_MS = 60_000 + RUNS * 10_000
/** Jobs are submitted and faults occur within this time. */
const ACTIVE_MS = 8000
/** Covers a lease (6.2 s), the longest job, a pause of a worker and the restart of the tasks of a lost one. */
const SETTLE_MS = 25_000
const LONG_RUN_MS = 600_000
/** Time of a start order to its worker. */
const DELIVERY_MS = 1
const MAX_ATTEMPTS = CATALOG.queues[0]?.maxAttempts ?? 0
/** Only these workers may run the jobs of the queue with advice; `p1` is added later. */
const PERMITTED = ['w0', 'p1']
const WITH_ADVICE = { ...CATALOG, queues: [...CATALOG.queues, { ...CATALOG.queues[0]!, name: 'advised', pathPrefix: '/advised/', advice: { decisionMs: 40, perWorkerMs: 1, validityMs: 3000 } }] }

type JobKind = 'plain' | 'many' | 'large' | 'schedule' | 'poison' | 'long' | 'advised' | 'copied' | 'risky'
interface JobPlan { kind: JobKind, at: number, size: number, runMs: number }
interface FaultPlan { kind: 'cut' | 'restart' | 'lose-permitted' | 'lost-answers', at: number, worker: number, forMs: number }
interface Plan { workers: number, endsPerReply: number, jobs: JobPlan[], faults: FaultPlan[] }

const EXTREME_COUNTS = [1, 3, 1000, 100_000]
const EXTREME_OCCURRENCES = [1, 3, 210_240, 15_768_000, Number.MAX_SAFE_INTEGER]

const time = fc.integer({ min: 0, max: ACTIVE_MS })
const jobPlan: fc.Arbitrary<JobPlan> = fc.record({
  kind: fc.constantFrom<JobKind>('plain', 'plain', 'many', 'many', 'large', 'schedule', 'poison', 'long', 'advised', 'copied', 'copied', 'risky'),
  at: time,
  size: fc.nat(1000),
  runMs: fc.integer({ min: 200, max: 1500 })
})
const faultPlan: fc.Arbitrary<FaultPlan> = fc.record({
  kind: fc.constantFrom<FaultPlan['kind']>('cut', 'cut', 'restart', 'lose-permitted', 'lost-answers'),
  at: time,
  worker: fc.nat(10),
  forMs: fc.integer({ min: 500, max: 4000 })
})
const plan: fc.Arbitrary<Plan> = fc.record({
  workers: fc.integer({ min: 3, max: 5 }),
  endsPerReply: fc.constantFrom(3, 10, Infinity),
  jobs: fc.array(jobPlan, { minLength: 2, maxLength: 7 }),
  faults: fc.array(faultPlan, { maxLength: 4 })
})

interface JobShape { steps: Array<Partial<Step>>, recurrence?: Recurrence, /** The outcome by the end; absent: any. */ outcome?: string }

/** What is submitted for a kind of job, and how it has to end. */
const jobShapes: Record<JobKind, (job: JobPlan, wallTime: number) => JobShape> = {
  plain: ({ size }) => ({ steps: [{ count: 1 + size % 12 }, { count: 1, dependsOn: [0] }], outcome: 'completed' }),
  many: ({ size }) => ({ steps: [{ count: 50 + size % 150, cores: 0.1, memoryMb: 10, expectedRunMs: 4000 }], outcome: 'completed' }),
  large: ({ size }) => ({ steps: Array.from({ length: 1 + size % 20 }, () => ({ count: EXTREME_COUNTS[size % EXTREME_COUNTS.length] ?? 1, cores: 8 })) }),
  schedule: ({ size }, wallTime) => ({
    steps: [{ count: 2 }],
    recurrence: {
      firstAt: wallTime + ([-1e12, 0, 500, 1e15][size % 4] ?? 0),
      intervalMs: [0, 2000, 300_000, 1e12][size % 4 === 0 ? size % 3 : size % 4] ?? 0,
      count: EXTREME_OCCURRENCES[size % EXTREME_OCCURRENCES.length] ?? 1
    }
  }),
  poison: ({ size }) => ({ steps: [{ count: 1 + size % 40 }], outcome: 'failed' }),
  long: ({ size }) => ({ steps: [{ expectedRunMs: LONG_RUN_MS * ([0.1, 1, 10][size % 3] ?? 1) }] }),
  copied: ({ size }) => ({ steps: [{ count: 4 + size % 12, speculative: true, checkpoints: size % 2 === 0 }, { count: 2, dependsOn: [0] }], outcome: 'completed' }),
  risky: ({ size }) => ({ steps: [{ count: 4 + size % 12, speculative: true }] }),
  advised: ({ size }) => ({ steps: [{ count: 1 + size % 4, expectedRunMs: 3000 }], outcome: 'completed' })
}

/** Every fourth task of the jobs that allow copies takes this many times as long in its first run. */
const STRAGGLER_FACTOR = 6
const SPECULATIVE_KINDS: JobKind[] = ['copied', 'risky']

const getJobName = (kind: JobKind, number: number): string => `${kind}-${number}`
const isOfKind = (task: string, kind: JobKind): boolean => task.startsWith(`${kind}-`)

interface Played { scene: Scene, submitted: Map<string, JobShape>, crashes: Array<{ worker: string, at: number }>, /** When the first success of each task was committed. */ succeededAt: Map<string, number> }

function startFleet (scene: Scene, { endsPerReply, jobs }: Plan): void {
  scene.fleet.endsPerReply = endsPerReply
  scene.fleet.approved = (_step, worker) => PERMITTED.includes(worker)
  const begun = new Set<string>()
  scene.fleet.plan = (task, worker) => {
    if (SPECULATIVE_KINDS.some((kind) => isOfKind(task, kind))) return planSpeculative(task, worker)
    if (isOfKind(task, 'long')) return { runMs: LONG_RUN_MS, result: 'succeeded' }
    if (isOfKind(task, 'many')) return { runMs: 1500 + Number(task.split('.').at(-1)) * 37 % 2000, result: 'succeeded' }
    if (isOfKind(task, 'advised')) return { runMs: 3000, result: 'succeeded' }
    return { runMs: getRunMs(task), result: isOfKind(task, 'poison') ? 'failed' : 'succeeded' }
  }
  const getRunMs = (task: string): number => jobs[Number(task.split('.')[0]?.split('-')[1])]?.runMs ?? 1000
  /** A task of a risky job fails on one of the workers. */
  const planSpeculative = (task: string, worker: string): RunPlan => {
    const index = Number(task.split('.').at(-1))
    const isStraggling = index % 4 === 0 && task.split('.').at(-2) === '0' && !begun.has(task)
    begun.add(task)
    const fails = isOfKind(task, 'risky') && worker === `w${index % 3}`
    return { runMs: getRunMs(task) * (isStraggling ? STRAGGLER_FACTOR : 1), result: fails ? 'failed' : 'succeeded' }
  }
}

function crash ({ scene, crashes }: Played, id: string): void {
  crashes.push({ worker: id, at: scene.clock.now() })
  scene.fleet.workers.get(id)?.crash()
}

function addWorker ({ scene }: Played, id: string, bornAt: number): void {
  const { life } = scene.fleet.addWorker({ id, address: `127.0.0.1:${100 + bornAt}`, bornAt })
  scene.log.propose({ kind: 'life.report', life }, Infinity)
}

const faults: Record<FaultPlan['kind'], (played: Played, fault: FaultPlan, id: string) => void> = {
  // Cuts off the busiest worker, so that many runs end meanwhile.
  cut: ({ scene, crashes }, { forMs }) => {
    const [[id, worker] = ['', undefined]] = [...scene.fleet.workers].filter(([, { reachable }]) => reachable).sort(([, a], [, b]) => b.running.size - a.running.size)
    const cutAt = scene.clock.now()
    if (worker === undefined) return
    worker.reachable = false
    scene.clock.sleep(forMs).then(() => { worker.reachable = !crashes.some((crash) => crash.worker === id && crash.at >= cutAt) })
  },
  restart: (played, { forMs, at }, id) => {
    if (played.scene.fleet.workers.get(id)?.reachable !== true) return
    crash(played, id)
    played.scene.clock.sleep(forMs).then(() => addWorker(played, id, at + 2))
  },
  'lose-permitted': (played, { forMs }) => {
    if (played.scene.fleet.workers.get('w0')?.reachable !== true) return
    crash(played, 'w0')
    played.scene.clock.sleep(forMs).then(() => { if (!played.scene.fleet.workers.has('p1')) addWorker(played, 'p1', 1) })
  },
  'lost-answers': ({ scene }, { forMs }, id) => {
    const worker = scene.fleet.workers.get(id)
    const until = scene.clock.now() + forMs
    if (worker !== undefined) worker.fault = (kind) => kind === 'start' && scene.clock.now() < until ? 'lost-answer' : 'none'
  }
}

async function submit ({ scene, submitted }: Played, job: JobPlan, number: number): Promise<void> {
  const id = getJobName(job.kind, number)
  const shape = jobShapes[job.kind](job, scene.clock.wall())
  const { steps, recurrence } = shape
  const reply = await scene.send({
    kind: 'submit', address: { hostName: 'desk.example', path: `/${job.kind === 'advised' ? 'advised' : 'quotes'}/${id}` }, remainingMs: 1000, heldMs: 0, workflow: { id, command: 'run', steps: steps.map((step) => ({ ...STEP, ...step })), ...recurrence !== undefined && { recurrence } }
  })
  if (reply.kind === 'accepted') submitted.set(id, shape)
}

async function play (drawn: Plan): Promise<Played> {
  const scene = await createScene(Array.from({ length: drawn.workers }, (_, number) => `w${number}`), WITH_ADVICE)
  const played: Played = { scene, submitted: new Map(), crashes: [], succeededAt: new Map() }
  startFleet(scene, drawn)
  scene.log.subscribe((entry) => {
    if (entry.kind !== 'workflow.end') return
    entry.lives.forEach(({ ends }) => ends.filter(([, task, , cause]) => cause === 'succeeded' && !played.succeededAt.has(task)).forEach(([, task]) => played.succeededAt.set(task, scene.clock.now())))
  })
  const startedAt = scene.clock.now()
  const events = [
    ...drawn.jobs.map((job, number) => ({ at: job.at, act: () => submit(played, job, number) })),
    ...drawn.faults.map((fault) => ({ at: fault.at, act: async () => faults[fault.kind](played, fault, `w${fault.worker % drawn.workers}`) }))
  ].sort((a, b) => a.at - b.at)
  for (const { at, act } of events) {
    await scene.run(startedAt + at - scene.clock.now())
    await act()
  }
  await scene.run(ACTIVE_MS + SETTLE_MS - (scene.clock.now() - startedAt))
  await Promise.all([scene.coordinator.stop(), scene.run(1000)])
  return played
}

interface RunSpan { task: string, attempt: number, worker: string, from: number, until: number, cause: string | undefined }

/** The runs of all workers; those of a worker that crashed end with it. */
function listRuns ({ scene, crashes }: Played): RunSpan[] {
  const getKey = ({ worker, task, attempt, kind }: RunEvent): string => `${kind} ${worker} ${task} ${attempt}`
  const ends = new Map(scene.listEvents('ended').map((event) => [getKey(event), event]))
  return scene.listEvents('started').map((start) => {
    const end = ends.get(getKey({ ...start, kind: 'ended' }))
    const crashedAt = crashes.find(({ worker, at }) => worker === start.worker && at >= start.at)?.at ?? Infinity
    return { ...start, from: start.at, until: Math.min(end?.at ?? Infinity, crashedAt), cause: end?.cause }
  })
}

/** Runs that may exist beside one of the task: a copy, of the steps that allow it. */
function countAllowedOthers (task: string): number {
  const isFirstStep = task.split('.').at(-2) === '0'
  return isFirstStep && SPECULATIVE_KINDS.some((kind) => isOfKind(task, kind)) ? 1 : 0
}

/** The promises that a play has broken, in words. */
function listBroken (played: Played): string[] {
  const { scene, submitted } = played
  const runs = listRuns(played).toSorted((a, b) => a.from - b.from)
  const byTask = new Map<string, RunSpan[]>()
  runs.forEach((run) => byTask.set(run.task, [...byTask.get(run.task) ?? [], run]))
  // A worker whose lease lapsed between an end and its acknowledgement counts as one that has not reported the end: its tasks had
  // to be started again elsewhere, as nobody could know of the end.
  const acknowledged = new Set(scene.listEvents('acknowledged').filter(({ cause }) => cause === 'succeeded').flatMap(({ worker, task, attempt, lapsedAt = -Infinity }) =>
    runs.some((run) => run.worker === worker && run.task === task && run.attempt === attempt && run.until <= lapsedAt) ? [] : [`${worker} ${task} ${attempt}`]))
  const repeated = [...byTask].flatMap(([task, taskRuns]) => taskRuns.slice(1).flatMap((run, position) => {
    const earlier = taskRuns.slice(0, position + 1)
    const others = earlier.filter(({ until }) => until > run.from)
    if (others.length > countAllowedOthers(task)) return [`${task} ran ${others.length + 1} times at the same time`]
    if (earlier.some(({ attempt }) => attempt >= run.attempt)) return [`${task} was started with an attempt that is not new`]
    // A copy may start between the end of the original and its commit, as nobody knows then that the task has succeeded.
    if (countAllowedOthers(task) > 0) return run.from > (played.succeededAt.get(task) ?? Infinity) + DELIVERY_MS ? [`${task} was started after its success was recorded`] : []
    const isDone = earlier.some(({ worker, attempt, cause, until }) => cause === 'succeeded' && until <= run.from && acknowledged.has(`${worker} ${task} ${attempt}`))
    return isDone ? [`${task} was started after it had succeeded`] : []
  }))
  const overrun = [...byTask].filter(([, taskRuns]) => taskRuns.filter(({ cause }) => cause === 'failed').length > MAX_ATTEMPTS).map(([task]) => `${task} failed more often than allowed`)
  const stopped = runs.filter(({ task, cause }) => isOfKind(task, 'long') && cause === 'stopped').map(({ task }) => `${task} was stopped`)
  const { workflows } = scene.log.state().workflows
  const unfinished = [...submitted].filter(([id, { outcome }]) => outcome !== undefined && workflows[id]?.outcome !== outcome)
    .map(([id, { outcome }]) => `${id} is ${workflows[id]?.outcome ?? 'open'}, not ${outcome}`)
  return [...repeated, ...overrun, ...stopped, ...unfinished]
}

// Draws what the days of the reference sites lack: numbers at their limits, ends that are listed in parts, work that fails or
// reports slowly, and workers that are lost, replaced or cut off meanwhile.
test('jobs at the limits of the interface keep the promises to their callers and to those of other jobs', async () => {
  await fc.assert(fc.asyncProperty(plan, async (drawn) => {
    expect(listBroken(await play(drawn))).toEqual([])
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
}, TEST_TIMEOUT_MS)
