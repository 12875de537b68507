import fc from 'fast-check'
import { createRandom, Err, type ManualClock, type Random } from '../../src/common/index.js'
import type { FakeRunFleet, FakeRunWorker, OrderFault, OrderKind } from '../../src/fakes/runFleet.js'
import type { MemoryLog } from '../../src/fakes/memoryLog.js'
import type { Step, Workflow, WorkerIncarnation } from '../../src/state/index.js'
import { createHosts, createScene, HOST_LEASE_MS, STEP } from '../workflows/support.js'

/** Jobs are submitted and faults occur within this time. */
const ACTIVE_MS = 20_000
/** A call without an answer may be executed this much later; the contract of workers gives no bound, and delays of up to 12 s are known. */
const LONGEST_DELAY_MS = 12_000
const MAX_LEASE_MS = 10_000
/** The longest lease of a worker on its own clock, which may be 2% slow. */
const LONGEST_LEASE_MS = MAX_LEASE_MS / 0.98
/** Bound of the contract on the time by which jobs go on wherever there is room. */
const FINISH_MS = 14_000
/**
 * From the end of the faults to the end of a job, besides the time of its own tasks: the last late call is executed, the lease that it
 * grants ends, so that nothing on any worker can stand in the way of a task any more, and the job has `FINISH_MS`.
 */
export const RECOVERY_MS = LONGEST_DELAY_MS + LONGEST_LEASE_MS + FINISH_MS
/** By then all late calls have been executed, and their leases are over. */
const LATE_CALLS_MS = LONGEST_DELAY_MS + LONGEST_LEASE_MS + 1000
const CHECK_INTERVAL_MS = 250
const HOSTS = ['h1', 'h2', 'h3', 'h4']
const LASTING_MS = 600_000
/** Start of the first incarnation of each fake worker; each restart adds 1. */
const FIRST_BORN_AT = 1
/** Share of the orders shortly before a restart that reach the next incarnation. */
const DELAYED_BEFORE_RESTART = 0.7
/** The fake workers shorten leases to `MAX_LEASE_MS`. */
const LEASES = { hostLeaseMs: HOST_LEASE_MS, maxLeaseMs: MAX_LEASE_MS }

type JobKind = 'short' | 'long' | 'chain' | 'lasting'
interface JobPlan { kind: JobKind, at: number, size: number, share: number }
interface RestartPlan {
  worker: number
  at: number
  times: number
  /** Between the restarts of a series. */
  gapMs: number
  /** No process runs for this long. */
  downMs: number
  /** From the restart to its report; without it, the incarnation is not reported before the next restart. */
  reportMs: number | undefined
  /** From the last restart of the series to a cut. */
  cutAfterMs: number | undefined
  cutForMs: number
  /** Orders that are sent this long before the restart are likely to be late. */
  delayedMs: number
}
interface CutPlan { worker: number, at: number, forMs: number }
interface HostPlan { host: number, at: number, forMs: number }
type Shares = Record<OrderKind, number>
export interface Plan { hosts: number, workers: number, jobs: JobPlan[], restarts: RestartPlan[], cuts: CutPlan[], hostFaults: HostPlan[], late: Shares, lost: Shares, stopMs: number, endsPerReply: number, seed: number }

const time = fc.integer({ min: 0, max: ACTIVE_MS - 2000 })
const worker = fc.nat(3)
const shares: fc.Arbitrary<Shares> = fc.record({
  start: fc.constantFrom(0, 0, 0.05, 0.2, 0.5),
  stop: fc.constantFrom(0, 0, 0.05, 0.2, 0.5),
  hold: fc.constantFrom(0, 0, 0.02, 0.1)
})
export const plan: fc.Arbitrary<Plan> = fc.record({
  hosts: fc.constantFrom(1, 1, 3, 4),
  workers: fc.integer({ min: 2, max: 4 }),
  jobs: fc.array(fc.record({ kind: fc.constantFrom<JobKind>('short', 'long', 'long', 'chain', 'lasting'), at: time, size: fc.nat(20), share: fc.integer({ min: 0, max: 100 }) }), { minLength: 2, maxLength: 6 }),
  restarts: fc.array(fc.record({
    worker,
    at: time,
    times: fc.integer({ min: 1, max: 3 }),
    gapMs: fc.integer({ min: 100, max: 5000 }),
    downMs: fc.constantFrom(0, 0, 100, 600, 1500),
    reportMs: fc.option(fc.integer({ min: 0, max: 2000 }), { nil: undefined, freq: 4 }),
    cutAfterMs: fc.option(fc.integer({ min: 0, max: 3000 }), { nil: undefined, freq: 1 }),
    cutForMs: fc.integer({ min: 300, max: 12_000 }),
    delayedMs: fc.constantFrom(0, 100, 1000)
  }), { minLength: 1, maxLength: 4 }),
  cuts: fc.array(fc.record({ worker, at: time, forMs: fc.integer({ min: 300, max: 12_000 }) }), { maxLength: 3 }),
  hostFaults: fc.array(fc.record({ host: fc.nat(10), at: time, forMs: fc.integer({ min: 300, max: 6000 }) }), { maxLength: 2 }),
  late: shares,
  lost: shares,
  stopMs: fc.constantFrom(0, 200),
  endsPerReply: fc.constantFrom(1, 10, Infinity),
  seed: fc.integer({ min: 1, max: 1_000_000 })
})

/** What the plays need of one coordinator or of several hosts. */
export interface Site {
  clock: ManualClock
  log: MemoryLog
  fleet: FakeRunFleet
  /** Starts a later leader, or disconnects one of several hosts from the others for a while. */
  disturbHosts (fault: HostPlan): Promise<void>
  stop (): Promise<void>
}

async function createOneHost (workers: number): Promise<Site> {
  const scene = await createScene(Array.from({ length: workers }, (_, number) => `w${number}`), undefined, LEASES)
  const { clock, log, fleet } = scene
  return { clock, log, fleet, disturbHosts: () => scene.changeLeader(), stop: async () => { await Promise.all([scene.coordinator.stop(), scene.run(1000)]) } }
}

async function createManyHosts (count: number, workers: number): Promise<Site> {
  const names = HOSTS.slice(0, count)
  const hosts = await createHosts(names, workers)
  const { clock, log, fleet, followers, network } = hosts
  const setConnected = (host: string, isConnected: boolean): void => {
    names.filter((other) => other !== host).forEach((other) => [[host, other], [other, host]].forEach(([from = '', to = '']) => isConnected ? network.heal(from, to) : network.cut(from, to)))
    followers.get(host)?.setReachable(isConnected)
  }
  const disturbHosts = async ({ host, forMs }: HostPlan): Promise<void> => {
    const name = names[1 + host % (count - 1)] ?? ''
    setConnected(name, false)
    await clock.sleep(forMs)
    setConnected(name, true)
  }
  return { clock, log, fleet, disturbHosts, stop: () => hosts.stop() }
}

export interface Played {
  site: Site
  jobs: Map<string, JobPlan>
  completedAt: Map<string, number>
  healedAt: number
  /** Positions in the list of events between which a worker has no process; the next incarnation begins with the second one. */
  restarts: Array<{ worker: string, from: number, until: number }>
  /** When an incarnation, by worker and number, first answered a poll that was meant for it. */
  polledAt: Map<string, number>
  /** Conclusions from answers of an incarnation that an attempt there has ended or does not exist, so that its task may go on elsewhere. */
  settlements: Array<{ worker: string, incarnation: number, task: string, attempt: number, at: number }>
}

const getRunMs = ({ kind, share }: JobPlan): number => ({ short: 200 + 15 * share, long: 3000 + 90 * share, chain: 200 + 40 * share, lasting: LASTING_MS })[kind]
export const isLasting = ({ kind }: JobPlan): boolean => kind === 'lasting'

function listSteps (job: JobPlan): Array<Partial<Step>> {
  const expectedRunMs = getRunMs(job)
  const first = { count: 1 + job.size % 5, expectedRunMs }
  if (isLasting(job)) return [{ ...first, lasting: true }]
  return job.kind === 'chain' ? [first, { count: 1 + job.size % 3, expectedRunMs, dependsOn: [0] }] : [first]
}

/** Time of the longest chain of tasks of a job. */
export function getWorkMs (job: JobPlan): number {
  return getRunMs(job) * listSteps(job).length
}

/** A poll that waits on a worker is not answered once the process of the worker has ended. */
function endPollsWithProcesses ({ site: { clock, fleet }, polledAt }: Played): void {
  const { poll } = fleet.client
  const recordPoll = ({ id, bornAt }: WorkerIncarnation): void => {
    const key = getIncarnationKey(id, bornAt - FIRST_BORN_AT)
    if (!polledAt.has(key)) polledAt.set(key, clock.now())
  }
  fleet.client.poll = async (life, order, deadline) => {
    const reply = await poll(life, order, deadline)
    if (!reply.ok) return reply
    if (fleet.workers.get(life.id)?.life.bornAt === life.bornAt) {
      recordPoll(life)
      return reply
    }
    await clock.sleep(deadline - clock.now())
    return Err({ kind: 'no-answer', message: 'the worker has ended' })
  }
}

function recordSettlements ({ site: { clock, log }, settlements }: Played): void {
  log.subscribe((entry) => {
    if (entry.kind !== 'workflow.end') return
    entry.lives.forEach(({ worker, bornAt, ends }) => ends.forEach(([, task, attempt]) => settlements.push({ worker, incarnation: bornAt - FIRST_BORN_AT, task, attempt, at: clock.now() })))
  })
}

export function getIncarnationKey (id: string, incarnation: number): string {
  return `${id}/${incarnation}`
}

/** The faults of workers: each function schedules what follows from it. */
function createWorkerFaults ({ site, restarts }: Played): { cut (id: string, forMs: number): void, restart (id: string, downMs: number): Promise<WorkerIncarnation | undefined>, heal (): void } {
  const { clock, fleet } = site
  const cutUntil = new Map<string, number>()
  const down = new Set<string>()
  const getWorker = (id: string): FakeRunWorker => fleet.workers.get(id) as FakeRunWorker
  const updateReachable = (id: string): void => { getWorker(id).reachable = !down.has(id) && (cutUntil.get(id) ?? 0) <= clock.now() }
  return {
    cut: async (id, forMs) => {
      cutUntil.set(id, Math.max(cutUntil.get(id) ?? 0, clock.now() + forMs))
      updateReachable(id)
      await clock.sleep(forMs)
      updateReachable(id)
    },
    restart: async (id, downMs) => {
      if (down.has(id)) return undefined
      down.add(id)
      getWorker(id).crash()
      const from = fleet.events.length
      if (downMs > 0) await clock.sleep(downMs)
      getWorker(id).restart()
      restarts.push({ worker: id, from, until: fleet.events.length })
      down.delete(id)
      updateReachable(id)
      return getWorker(id).life
    },
    heal: () => {
      cutUntil.clear()
      fleet.workers.forEach((_worker, id) => updateReachable(id))
    }
  }
}

/** Draws the fault of each order to a worker. */
function createOrderFaults ({ workers, late, lost, restarts }: Plan, { clock, fleet }: Site, random: Random, number: number, startedAt: number): (kind: OrderKind) => OrderFault {
  const delayed = restarts.filter(({ worker }) => worker % workers === number).flatMap(({ at, times, gapMs, delayedMs }) =>
    Array.from({ length: times }, (_, index) => ({ from: startedAt + at + index * gapMs - delayedMs, until: startedAt + at + index * gapMs })))
  return (kind) => {
    const now = clock.now()
    if (now >= startedAt + ACTIVE_MS) return 'none'
    const lateShare = delayed.some(({ from, until }) => from <= now && now < until) ? DELAYED_BEFORE_RESTART : late[kind]
    const drawn = random.next()
    if (drawn < lateShare) {
      fleet.lateMs = random.next() < 0.3 ? 20 + random.below(2000) : 2000 + random.below(LONGEST_DELAY_MS - 2000)
      return 'late'
    }
    return drawn < lateShare + lost[kind] ? random.pick(['lost-order', 'lost-answer'] as const) : 'none'
  }
}

function schedule (clock: ManualClock, startedAt: number, at: number, act: () => unknown): void {
  if (at < ACTIVE_MS) clock.sleep(startedAt + at - clock.now()).then(act)
}

function scheduleFaults (drawn: Plan, played: Played, startedAt: number): { heal (): void } {
  const { site } = played
  const { clock, log } = site
  const faults = createWorkerFaults(played)
  const getId = (number: number): string => `w${number % drawn.workers}`
  const reportLife = (life: WorkerIncarnation): unknown => log.propose({ kind: 'life.report', life }, Infinity)
  drawn.restarts.forEach(({ worker, at, times, gapMs, downMs, reportMs, cutAfterMs, cutForMs }) => {
    const id = getId(worker)
    Array.from({ length: times }, (_, index) => schedule(clock, startedAt, at + index * gapMs, async () => {
      const life = await faults.restart(id, downMs)
      if (life === undefined) return
      if (cutAfterMs !== undefined && index === times - 1) clock.sleep(cutAfterMs).then(() => { if (clock.now() < startedAt + ACTIVE_MS) faults.cut(id, cutForMs) })
      if (reportMs === undefined) return
      await clock.sleep(reportMs)
      reportLife(life)
    }))
  })
  drawn.cuts.forEach(({ worker, at, forMs }) => schedule(clock, startedAt, at, () => faults.cut(getId(worker), forMs)))
  if (drawn.hosts > 1) drawn.hostFaults.forEach((fault) => schedule(clock, startedAt, fault.at, () => site.disturbHosts({ ...fault, forMs: Math.min(fault.forMs, ACTIVE_MS - fault.at) })))
  return {
    heal: () => {
      faults.heal()
      site.fleet.workers.forEach(({ life }) => reportLife(life))
    }
  }
}

/** Plays a plan, which begins after `delayMs`, to the end of its jobs. */
export async function play (drawn: Plan, delayMs = 0): Promise<Played> {
  const site = await (drawn.hosts === 1 ? createOneHost(drawn.workers) : createManyHosts(drawn.hosts, drawn.workers))
  const { clock, log, fleet } = site
  await clock.advance(delayMs)
  const startedAt = clock.now()
  const played: Played = { site, jobs: new Map(), completedAt: new Map(), healedAt: startedAt + ACTIVE_MS, restarts: [], polledAt: new Map(), settlements: [] }
  const random = createRandom(drawn.seed)
  endPollsWithProcesses(played)
  recordSettlements(played)
  fleet.stopMs = drawn.stopMs
  fleet.endsPerReply = drawn.endsPerReply
  fleet.plan = (task) => {
    const job = played.jobs.get(task.split('.')[0] ?? '')
    return { runMs: job === undefined ? 1000 : getRunMs(job), result: job !== undefined && isLasting(job) ? 'never' : 'succeeded' }
  }
  fleet.workers.forEach((worker, id) => { worker.fault = createOrderFaults(drawn, site, random, Number(id.slice(1)), startedAt) })
  drawn.jobs.forEach((job, number) => schedule(clock, startedAt, job.at, () => {
    const workflow: Workflow = { id: `${job.kind}-${number}`, command: 'run', steps: listSteps(job).map((step) => ({ ...STEP, ...step })) }
    played.jobs.set(workflow.id, job)
    log.propose({ kind: 'workflow.submit', queue: 'quotes', workflow, at: clock.wall() }, Infinity)
  }))
  const { heal } = scheduleFaults(drawn, played, startedAt)
  for (const fault of drawn.hosts > 1 ? [] : drawn.hostFaults.toSorted((a, b) => a.at - b.at)) {
    await clock.advance(Math.max(0, startedAt + fault.at - clock.now()))
    await site.disturbHosts(fault)
  }
  await clock.advance(played.healedAt - clock.now())
  // A worker that is down at this time is back after the longest drawn time, and is reported then.
  await clock.advance(2000)
  heal()
  played.healedAt = clock.now()
  await runToEnd(played)
  await site.stop()
  await endRuns(site)
  return played
}

/** Runs until all jobs are done and all late calls have been executed, or the time is up. */
async function runToEnd (played: Played): Promise<void> {
  const { site: { clock, log, fleet }, jobs, completedAt, healedAt } = played
  const { workflows } = log.state().workflows
  const latest = healedAt + RECOVERY_MS + Math.max(0, ...[...jobs.values()].filter((job) => !isLasting(job)).map(getWorkMs))
  const isDone = (): boolean => [...jobs].every(([id, job]) => isLasting(job) ? listIdle(fleet, id, job).length === 0 : completedAt.has(id))
  while (clock.now() < latest && !(isDone() && clock.now() >= healedAt + LATE_CALLS_MS)) {
    await clock.advance(CHECK_INTERVAL_MS)
    jobs.forEach((_job, id) => { if (workflows[id]?.outcome === 'completed' && !completedAt.has(id)) completedAt.set(id, clock.now()) })
  }
}

/** Lasting tasks of a job that run nowhere. */
export function listIdle ({ workers }: FakeRunFleet, id: string, job: JobPlan): string[] {
  const running = new Set([...workers.values()].flatMap(({ running }) => [...running.keys()]))
  return Array.from({ length: listSteps(job)[0]?.count ?? 0 }, (_, index) => `${id}.0.0.${index}`).filter((task) => !running.has(task))
}

/** The fake workers record the end of a lease only when they are called. */
async function endRuns ({ clock, fleet }: Site): Promise<void> {
  fleet.workers.forEach((worker) => { worker.fault = () => 'none' })
  await Promise.all([...[...fleet.workers.values()].map(({ life }) => fleet.client.stop(life, { task: 'none.0.0.0', attempt: 1, fence: Number.MAX_SAFE_INTEGER }, clock.now() + 100)), clock.advance(100)])
}
