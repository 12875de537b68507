import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { ChangeOutcome, PresetChange } from '../../src/coordination/configuration/index.js'
import { createCluster, type ConfigurationCluster } from '../support/configurationCluster.js'

const SEED = Number(process.env.FUZZ_SEED ?? 20261204)
const RUNS = Number(process.env.FUZZ_RUNS ?? 60)
const HOSTS = 6
const PRESETS = ['ordinary', 'peak', 'maintenance']
const IN_FORCE_LIMIT_MS = 3000
/** Wall-clock time limit of one run on a busy machine, ms. */
const RUN_TIMEOUT_MS = 3000
const REGION_DELAY_MS = 60

const host = fc.integer({ min: 0, max: HOSTS - 1 })
const preset = fc.integer({ min: 0, max: PRESETS.length - 1 })

const timeoutMs = fc.constantFrom(60, 600, 3000)

const action = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('advance' as const), ms: fc.oneof(fc.integer({ min: 1, max: 300 }), fc.integer({ min: 300, max: 2500 })) }) },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('change' as const), host, preset, timeoutMs, stale: fc.integer({ min: 0, max: 1 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('race' as const), host, other: host, preset }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('resend' as const), host, timeoutMs, index: fc.nat(20) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('elect' as const), host }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('freeze' as const), host }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('thaw' as const), host }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('restart' as const), host }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('isolate' as const), host }) },
  // Partitions the hosts whose bit is set from the others, and elects a leader on the side with the majority.
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('partition' as const), bits: fc.integer({ min: 1, max: 2 ** HOSTS - 2 }), host, preset }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('cut' as const), host, other: host }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('heal' as const) }) }
)
type Action = typeof action extends fc.Arbitrary<infer T> ? T : never
type ActionOf<K extends Action['kind']> = Extract<Action, { kind: K }>

interface Sent { change: PresetChange, attempts: number, outcomes: ChangeOutcome[] }

const scenario = fc.record({
  seed: fc.integer({ min: 1, max: 1e6 }),
  rates: fc.array(fc.constantFrom(0.99, 1, 1.01), { minLength: HOSTS, maxLength: HOSTS }),
  maxDelayMs: fc.constantFrom(3, 60, 400),
  actions: fc.array(action, { minLength: 20, maxLength: 80, size: 'max' })
})

test('at every instant each claim is the highest activated revision, and accepted changes are kept', async () => {
  const seen = { changes: 0, activations: 0, accepted: 0, unknown: 0, lost: 0, claims: 0 }
  await fc.assert(fc.asyncProperty(scenario, async ({ seed, rates, maxDelayMs, actions }) => {
    const cluster = createCluster({ hosts: HOSTS, seed, rates, maxDelayMs })
    const sent: Sent[] = []
    cluster.logs.elect('h1')
    await cluster.advance(2000)
    for (const each of actions) await runAction(cluster, sent, each)
    await checkRecovery(cluster, sent)
    const outcomes = sent.flatMap((each) => each.outcomes)
    seen.changes += sent.length
    seen.activations += cluster.activated.length - 1
    seen.accepted += outcomes.filter((outcome) => 'revision' in outcome).length
    seen.unknown += outcomes.filter((outcome) => outcome.kind === 'outcome-unknown').length
    seen.lost += outcomes.filter((outcome) => outcome.kind === 'lost-race').length
    seen.claims += cluster.listClaimants().length
  }), { seed: SEED, numRuns: RUNS })
  if (process.env.FUZZ_RUNS !== undefined) console.log(`configuration fuzz: runs=${RUNS} ${JSON.stringify(seen)}`)
  // Without activations, races and lost replies, the runs would not have tested the module.
  expect(Math.min(seen.activations, seen.accepted, seen.unknown, seen.lost)).toBeGreaterThan(RUNS / 4)
}, 60_000 + RUNS * RUN_TIMEOUT_MS)

async function runAction (cluster: ConfigurationCluster, sent: Sent[], each: Action): Promise<void> {
  const handler = handlers[each.kind] as (cluster: ConfigurationCluster, sent: Sent[], action: Action) => Promise<void> | void
  await handler(cluster, sent, each)
  expect(cluster.violations).toEqual([])
}

const nameOf = (index: number): string => `h${index + 1}`

const handlers: { [K in Action['kind']]: (cluster: ConfigurationCluster, sent: Sent[], action: ActionOf<K>) => Promise<void> | void } = {
  advance: (cluster, _, { ms }) => cluster.advance(ms),
  change: (cluster, sent, { host: index, preset: choice, stale, timeoutMs }) => {
    const revision = cluster.logs.committedState().configuration.revision
    sendChange(cluster, sent, nameOf(index), PRESETS[choice]!, Math.max(0, revision - stale), timeoutMs)
  },
  race: (cluster, sent, { host: index, other, preset: choice }) => {
    const { revision } = cluster.logs.committedState().configuration
    sendChange(cluster, sent, nameOf(index), PRESETS[choice]!, revision)
    sendChange(cluster, sent, nameOf(other), PRESETS[(choice + 1) % PRESETS.length]!, revision)
  },
  resend: (cluster, sent, { host: index, index: request, timeoutMs }) => {
    const chosen = sent[request % Math.max(1, sent.length)]
    if (chosen !== undefined) recordOutcome(cluster, chosen, nameOf(index), timeoutMs)
  },
  elect: (cluster, _, { host: index }) => { cluster.logs.elect(nameOf(index % 5)) },
  freeze: (cluster, _, { host: index }) => cluster.host(nameOf(index)).process.freeze(),
  thaw: (cluster, _, { host: index }) => cluster.host(nameOf(index)).process.thaw(),
  restart: (cluster, _, { host: index }) => cluster.restart(nameOf(index)),
  partition: (cluster, sent, { bits, host: index, preset: choice }) => {
    const sideOf = (position: number): number => (bits >> position) & 1
    cluster.names().forEach((from, i) => cluster.names().forEach((to, j) =>
      cluster.network.setLink(from, to, sideOf(i) === sideOf(j))))
    const candidates = cluster.names().slice(0, 5).filter((name) => name !== cluster.logs.leader())
    const elected = candidates.find((name) => cluster.logs.elect(name))
    sendChange(cluster, sent, elected ?? nameOf(index), PRESETS[choice]!, cluster.logs.committedState().configuration.revision)
  },
  isolate: (cluster, _, { host: index }) => cluster.isolate(nameOf(index)),
  cut: (cluster, _, { host: index, other }) => cluster.network.setLink(nameOf(index), nameOf(other), false),
  heal: (cluster) => cluster.network.restoreLinks()
}

function sendChange (cluster: ConfigurationCluster, sent: Sent[], name: string, choice: string, baseRevision: number, timeoutMs = 3000): void {
  const change = { requestId: `change-${sent.length}`, baseRevision, preset: choice, setBy: name, reason: 'fuzz' }
  const record: Sent = { change, attempts: 0, outcomes: [] }
  sent.push(record)
  recordOutcome(cluster, record, name, timeoutMs)
}

async function recordOutcome (cluster: ConfigurationCluster, record: Sent, name: string, timeoutMs: number): Promise<void> {
  record.attempts += 1
  record.outcomes.push(await cluster.change(name, record.change, timeoutMs))
}

/** Ends all faults and then isolates one host. A change must then be in force on all other hosts within the limit. */
async function checkRecovery (cluster: ConfigurationCluster, sent: Sent[]): Promise<void> {
  cluster.network.restoreLinks()
  // The limit applies to delays as between regions. The steps above use longer delays, so that messages are reordered.
  cluster.network.setMaxDelay(REGION_DELAY_MS)
  cluster.names().forEach((name) => cluster.host(name).process.thaw())
  await cluster.advance(6000)
  expect(cluster.listClaimants()).toEqual(cluster.names())
  const before = cluster.activated.length
  const silent = cluster.names().find((name) => name !== cluster.logs.leader())!
  cluster.isolate(silent)
  const [operator, ...others] = cluster.names().filter((name) => name !== silent)
  cluster.change(operator!, { requestId: 'last', preset: 'peak' })
  await cluster.advance(IN_FORCE_LIMIT_MS)
  expect(cluster.activated.length).toBe(before + 1)
  expect(cluster.listClaimants()).toEqual([operator, ...others])
  checkAccepted(cluster, sent)
}

function checkAccepted (cluster: ConfigurationCluster, sent: Sent[]): void {
  expect(cluster.violations).toEqual([])
  const { configuration } = cluster.logs.committedState()
  expect(configuration.revision).toBe(cluster.activated.length - 1)
  sent.forEach(({ change, attempts, outcomes }) => {
    const revision = cluster.accepted.get(change.requestId)
    if (revision !== undefined) expect(cluster.activated[revision]).toBe(change.preset)
    outcomes.forEach((outcome) => {
      if ('revision' in outcome) expect(outcome.revision).toBe(revision)
      if (outcome.kind === 'lost-race') expect(revision).toBeUndefined()
    })
    // The outcome of an attempt whose host has crashed is unknown, and it may have been recorded.
    if (outcomes.length === attempts && outcomes.every((outcome) => outcome.kind === 'not-accepted')) expect(revision).toBeUndefined()
  })
}
