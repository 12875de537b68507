import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createReplicaConfigurations, type ReplicaConfigurations } from '../support/replicaConfigurations.js'

const RUNS = Number(process.env.FUZZ_RUNS ?? 15)
const SEED = Number(process.env.FUZZ_SEED ?? 20261204)
const VOTERS = ['a', 'b', 'c']
const LEARNERS = ['d', 'e']
const PRESETS = ['ordinary', 'peak', 'maintenance']
const IN_FORCE_LIMIT_MS = 3000
/** Wall-clock time limit of one run on a busy machine, ms. */
const RUN_TIMEOUT_MS = 3000

const host = fc.constantFrom(...VOTERS, ...LEARNERS)
const action = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('advance' as const), ms: fc.integer({ min: 1, max: 2500 }) }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('change' as const), host, preset: fc.constantFrom(...PRESETS) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('kill' as const), host }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('freeze' as const), host, ms: fc.integer({ min: 100, max: 6000 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('isolate' as const), host }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('isolateLeader' as const) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('cutOneWay' as const), host, to: host }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('handOver' as const) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('disturb' as const), loss: fc.double({ min: 0, max: 0.2, noNaN: true }), maxDelayMs: fc.integer({ min: 1, max: 200 }) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('heal' as const) }) }
)
type Action = typeof action extends fc.Arbitrary<infer T> ? T : never
type ActionOf<K extends Action['kind']> = Extract<Action, { kind: K }>

interface Run { world: ReplicaConfigurations, accepted: Map<number, string>, requests: number }

const handlers: { [K in Action['kind']]: (run: Run, action: ActionOf<K>) => Promise<void> | void } = {
  advance: ({ world }, { ms }) => world.advance(ms),
  change: (run, { host: name, preset }) => { sendChange(run, name, preset) },
  kill: ({ world }, { host: name }) => world.cluster.getHost(name).kill(),
  freeze: ({ world }, { host: name, ms }) => {
    const { freeze, resume } = world.cluster.getHost(name).process()
    freeze()
    world.clock.sleep(ms).then(resume)
  },
  isolate: ({ world }, { host: name }) => world.cluster.isolate(name),
  isolateLeader: ({ world }) => {
    const leader = world.cluster.findLeader()
    if (leader !== undefined) world.cluster.isolate(leader.name)
  },
  cutOneWay: ({ world }, { host: name, to }) => world.cluster.network.setFaults(name, to, { cut: 'silent' }),
  handOver: ({ world }) => { world.cluster.findLeader()?.replica()?.transferLeadership(world.clock.now() + 1000) },
  disturb: ({ world }, { loss, maxDelayMs }) => world.cluster.network.setAllFaults({ loss, duplication: loss, maxDelayMs }),
  heal: ({ world }) => {
    world.cluster.network.setAllFaults({ minDelayMs: 1, maxDelayMs: 1, loss: 0, duplication: 0, cut: 'none' })
    world.cluster.hosts.forEach((each) => { if (each.replica() === undefined) each.start() })
  }
}

async function sendChange (run: Run, name: string, preset: string, timeoutMs = 3000): Promise<void> {
  const configuration = run.world.find(name)
  if (configuration === undefined) return
  const request = { requestId: `change-${run.requests++}`, baseRevision: run.world.activated.length - 1, preset, setBy: name, reason: 'fuzz' }
  const outcome = await configuration.changePreset(request, run.world.cluster.getHost(name).process().clock.now() + timeoutMs)
  if (outcome.kind === 'in-force' || outcome.kind === 'accepted-pending') run.accepted.set(outcome.revision, preset)
}

async function checkRecovery (run: Run): Promise<void> {
  const { world } = run
  world.cluster.hosts.forEach((each) => each.process().resume())
  handlers.heal(run, { kind: 'heal' })
  await world.advance(10_000)
  expect(world.listClaimants()).toEqual([...VOTERS, ...LEARNERS])
  const leader = world.cluster.findLeader()!.name
  const silent = VOTERS.find((name) => name !== leader)!
  world.cluster.isolate(silent)
  const others = [...VOTERS, ...LEARNERS].filter((name) => name !== silent)
  const before = world.activated.length
  sendChange(run, others.at(-1)!, 'peak')
  await world.advance(IN_FORCE_LIMIT_MS)
  expect(world.activated.length).toBe(before + 1)
  expect(world.listClaimants()).toEqual(others)
}

test('over real replicas each claim is the highest activated revision, and accepted changes are kept', async () => {
  const seen = { activations: 0, accepted: 0 }
  await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 1e6 }), fc.array(action, { minLength: 10, maxLength: 50, size: 'max' }), async (seed, plan) => {
    const run: Run = { world: createReplicaConfigurations(seed, VOTERS, LEARNERS), accepted: new Map(), requests: 0 }
    await run.world.advance(4000)
    for (const each of plan) {
      await handlers[each.kind](run, each as never)
      expect(run.world.violations).toEqual([])
    }
    await checkRecovery(run)
    expect(run.world.violations).toEqual([])
    run.accepted.forEach((preset, revision) => expect(run.world.activated[revision]).toBe(preset))
    seen.activations += run.world.activated.length - 1
    seen.accepted += run.accepted.size
  }), { seed: SEED, numRuns: RUNS, endOnFailure: process.env.FUZZ_SHRINK === undefined })
  if (process.env.FUZZ_RUNS !== undefined) console.log(`configuration over replicas: runs=${RUNS} ${JSON.stringify(seen)}`)
  expect(seen.activations).toBeGreaterThan(2 * RUNS)
}, 60_000 + RUNS * RUN_TIMEOUT_MS)
