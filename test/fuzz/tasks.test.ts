import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createSyncedJournalStore } from '../../src/fakes/journalStore.js'
import { createFakeZone, FAKE_CAPACITY, ZONE, type FakeZone } from '../../src/fakes/zone.js'
import { createOutcomeMemory, findUnfinished, findViolations } from './taskOracle.js'

const RUNS = Number(process.env.FUZZ_RUNS ?? 40)
const SEED = Number(process.env.FUZZ_SEED ?? 20260)
/** Time after which the first coordinator is active, ms. */
const START_MS = 4_000
/** Time for recovery after the last fault, ms: the task leases, several takeovers with retries, and the leases of the witnesses. */
const RECOVERY_MS = 120_000

const host = fc.nat({ max: 2 })
const worker = fc.nat({ max: 3 })
const step = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('advance' as const), ms: fc.constantFrom(50, 300, 1_000, 2_600, 8_000, 20_000) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('job' as const), tasks: fc.integer({ min: 1, max: 8 }), idempotent: fc.boolean(), runMs: fc.constantFrom(200, 2_000, 9_000, 40_000) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('evict' as const), pick: fc.nat({ max: 20 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel' as const), pick: fc.nat({ max: 5 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('cutHosts' as const), from: host, to: host }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('cutWorker' as const), host, worker, inward: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('isolate' as const), host }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('split' as const), side: fc.nat({ max: 255 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('register' as const), worker }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('heal' as const) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('hostDown' as const), host }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('hostUp' as const), host }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('hostStop' as const), host }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('pause' as const), host, paused: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('workerDown' as const), worker }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('workerUp' as const), worker }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('drain' as const), worker }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('log' as const), host: fc.nat({ max: 3 }), reachable: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('faults' as const), loss: fc.constantFrom(0, 0.05, 0.3), duplication: fc.constantFrom(0, 0.2), maxDelayMs: fc.constantFrom(0, 20, 700, 4_000) }) }
)
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never
type Actions = { [K in Step['kind']]: (zone: FakeZone, step: Extract<Step, { kind: K }>) => Promise<void> | void }

const cutBoth = (zone: FakeZone, left: string, right: string): void => {
  zone.network.cut(left, right)
  zone.network.cut(right, left)
}
const getHost = (zone: FakeZone, index: number): string => [...zone.hosts.keys()][index % zone.hosts.size]!
const getWorker = (zone: FakeZone, index: number): string => [...zone.workers.keys()][index % zone.workers.size]!

const runMsOf = new Map<string, number>()
const actions: Actions = {
  advance: (zone, { ms }) => zone.advance(ms),
  job: (zone, { tasks, idempotent, runMs }) => {
    const id = `job-${Object.keys(zone.log.state().jobs).length}`
    runMsOf.set(id, runMs)
    return zone.addJob({ id, tasks, idempotent, expectedRunMs: runMs, urgent: tasks % 2 === 0 })
  },
  evict: (zone, { pick }) => {
    const running = zone.findActive()?.listTasks({ state: 'running' }) ?? []
    const task = running[pick % Math.max(1, running.length)]
    if (task?.worker !== undefined) zone.evict(task.id, task.worker)
  },
  cancel: async (zone, { pick }) => {
    const jobs = Object.keys(zone.log.state().jobs)
    const job = jobs[pick % Math.max(1, jobs.length)]
    if (job !== undefined) await zone.propose({ kind: 'job.cancel', job, member: 'parish' })
  },
  cutHosts: (zone, { from, to }) => zone.network.cut(getHost(zone, from), getHost(zone, to)),
  cutWorker: (zone, { host, worker, inward }) => inward
    ? zone.network.cut(getWorker(zone, worker), getHost(zone, host))
    : zone.network.cut(getHost(zone, host), getWorker(zone, worker)),
  isolate: (zone, { host }) => {
    const id = getHost(zone, host)
    ;[...zone.hosts.keys(), 'leader'].filter((other) => other !== id).forEach((other) => cutBoth(zone, id, other))
  },
  // Each bit of `side` puts one of these on a side of the partition: the leader of the log, the hosts (up to three), the workers (up to four).
  split: (zone, { side }) => {
    const names = ['leader', ...zone.hosts.keys(), ...zone.workers.keys()]
    const isOnSide = (name: string): boolean => (side >> names.indexOf(name)) % 2 === 1
    names.filter(isOnSide).forEach((left) => names.filter((name) => !isOnSide(name)).forEach((right) => cutBoth(zone, left, right)))
    zone.hosts.forEach((_, id) => zone.setLogReachable(id, isOnSide(id) === isOnSide('leader')))
  },
  register: async (zone, { worker }) => {
    const id = getWorker(zone, worker)
    await zone.propose({ kind: 'worker.register', worker: { id, availabilityZone: ZONE, rack: 'r', capacity: FAKE_CAPACITY, url: id } })
  },
  heal: (zone) => zone.network.healAll(),
  hostDown: (zone, { host }) => zone.crashHost(getHost(zone, host)),
  hostUp: async (zone, { host }) => {
    if (zone.hosts.get(getHost(zone, host))?.coordinator === undefined) await zone.startHost(getHost(zone, host))
  },
  hostStop: async (zone, { host }) => {
    const id = getHost(zone, host)
    // Not awaited, because a paused host never finishes its stop.
    zone.hosts.get(id)?.coordinator?.stop()
    await zone.advance(3_000)
    zone.crashHost(id)
  },
  pause: (zone, { host, paused }) => {
    if (zone.hosts.get(getHost(zone, host))?.coordinator !== undefined) zone.pauseHost(getHost(zone, host), paused)
  },
  workerDown: (zone, { worker }) => zone.crashWorker(getWorker(zone, worker)),
  workerUp: (zone, { worker }) => { if (!zone.workers.get(getWorker(zone, worker))!.isUp()) zone.restartWorker(getWorker(zone, worker)) },
  drain: (zone, { worker }) => { zone.findActive()?.drainWorker(getWorker(zone, worker)) },
  log: (zone, { host, reachable }) => host === 3
    ? zone.hosts.forEach((_, id) => zone.setLogReachable(id, reachable))
    : zone.setLogReachable(getHost(zone, host), reachable),
  faults: (zone, { loss, duplication, maxDelayMs }) => zone.network.setFaults({ loss, duplication, maxDelayMs })
}

async function endFaults (zone: FakeZone): Promise<void> {
  zone.network.healAll()
  zone.network.setFaults({ loss: 0, duplication: 0, maxDelayMs: 0 })
  for (const [id, { coordinator }] of zone.hosts) {
    zone.setLogReachable(id, true)
    if (coordinator === undefined) await zone.startHost(id)
    else zone.pauseHost(id, false)
  }
  zone.workers.forEach((core, id) => { if (!core.isUp()) zone.restartWorker(id) })
  // Without this, drained workers could leave the zone without capacity.
  zone.workers.forEach((_, id) => zone.findActive()?.drainWorker(id, false))
}

/** Time that all tasks need if they use the whole capacity of the zone, plus the longest run time, since the last task may start at the end, ms. */
function computeWorkMs (zone: FakeZone): number {
  const runs = Object.values(zone.log.state().jobs).map(({ job }) => ({ ms: runMsOf.get(job.id) ?? 0, tasks: job.tasks }))
  const total = runs.reduce((sum, { ms, tasks }) => sum + ms * tasks, 0)
  return total / (FAKE_CAPACITY.cores * zone.workers.size) + Math.max(...runs.map(({ ms }) => ms))
}

const scenario = fc.record({
  seed: fc.integer({ min: 1, max: 1e6 }),
  hosts: fc.integer({ min: 1, max: 3 }),
  workers: fc.integer({ min: 1, max: 4 }),
  disk: fc.boolean(),
  registered: fc.integer({ min: 1, max: 4 }),
  steps: fc.array(step, { minLength: 5, maxLength: 40 })
})

test('whatever fails, no task runs twice at once or is lost, and each has one outcome', async () => {
  await fc.assert(fc.asyncProperty(scenario, async ({ seed, hosts, workers, disk, registered, steps }) => {
    const zone = await createFakeZone({
      hosts,
      workers,
      seed,
      registered: Math.min(registered, workers),
      // A single host gets a disk, since it never starts a non-idempotent task without one.
      stores: disk || hosts === 1 ? { h1: createSyncedJournalStore() } : {},
      plan: (task, attempt) => ({ runMs: runMsOf.get(task.split('/')[0]!) ?? 1_000, result: (task.length + attempt) % 9 === 0 ? 'failed' : 'succeeded' }),
      clockRates: { h1: 1.004, w1: 0.996, w2: 1.004 }
    })
    const checkOutcomes = createOutcomeMemory()
    await zone.advance(START_MS)
    // Each scenario has idempotent and non-idempotent tasks that run longer than the first faults take to occur.
    await actions.job(zone, { kind: 'job', tasks: 6, idempotent: true, runMs: 9_000 })
    await actions.job(zone, { kind: 'job', tasks: 6, idempotent: false, runMs: 9_000 })
    await zone.advance(2_000)
    for (const item of steps) {
      const act = actions[item.kind] as (zone: FakeZone, item: Step) => Promise<void> | void
      await act(zone, item)
      expect(checkOutcomes(zone)).toEqual([])
    }
    const deadline = zone.clock.now() + RECOVERY_MS + 2 * computeWorkMs(zone)
    do {
      await endFaults(zone)
      await zone.advance(5_000)
    } while (findUnfinished(zone).length > 0 && zone.clock.now() < deadline)
    expect([...findViolations(zone), ...checkOutcomes(zone), ...findUnfinished(zone)]).toEqual([])
    zone.hosts.forEach((_, id) => zone.crashHost(id))
  }), { seed: SEED, numRuns: RUNS, path: process.env.FUZZ_PATH, endOnFailure: true })
}, 600_000)
