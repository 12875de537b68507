import fc from 'fast-check'
import { test } from 'vitest'
import type { ExecutorMode } from '../../src/fakes/executor.js'
import { createCluster } from '../routing/cluster.js'
import { createOracle } from '../routing/oracle.js'

const RUNS = Number(process.env.FUZZ_RUNS ?? 60)
const SEED = Number(process.env.FUZZ_SEED ?? 20261204)
const HOSTS: Array<[string, string]> = [['h1', 'z1'], ['h2', 'z1'], ['h3', 'z2'], ['h4', 'z2']]
const EXECUTORS: Array<[string, string]> = [['e1', 'z1'], ['e2', 'z1'], ['e3', 'z2']]
const MODES: ExecutorMode[] = ['normal', 'failing', 'refusing', 'truncating', 'short', 'duplicating', 'swallowing', 'mute']

const host = fc.integer({ min: 0, max: HOSTS.length - 1 }).map((index) => HOSTS[index]?.[0] ?? '')
const executor = fc.integer({ min: 0, max: EXECUTORS.length - 1 }).map((index) => EXECUTORS[index]?.[0] ?? '')

const step = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('request' as const), host, idempotent: fc.boolean(), timeoutMs: fc.constantFrom(50, 300, 1500), count: fc.integer({ min: 1, max: 6 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('resend' as const), host, pick: fc.nat(1000), change: fc.constantFrom('none', 'none', 'body', 'member', 'key') }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('advance' as const), ms: fc.constantFrom(1, 10, 60, 250, 900, 2500) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('mode' as const), executor, mode: fc.constantFrom(...MODES), lateMs: fc.constantFrom(0, 0, 400, 2000), serviceMs: fc.constantFrom(5, 30, 300, 1800) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('silence' as const), executor }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('executor-crash' as const), executor, downMs: fc.constantFrom(5, 600) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave' as const), executor }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('host-crash' as const), host, downMs: fc.constantFrom(5, 600, 3000) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('freeze' as const), host, ms: fc.constantFrom(100, 800, 2500) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cut' as const), a: host, b: host, cut: fc.constantFrom('refused' as const, 'silent' as const), ms: fc.constantFrom(200, 1500) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('executor-cut' as const), host, executor, ms: fc.constantFrom(200, 1500) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('drain' as const), host }) }
)
export type Step = typeof step extends fc.Arbitrary<infer T> ? T : never

test('executors stay within capacity, callers get their own complete answers, a "not-run" request never ran, a non-idempotent one runs at most once, and a leaving executor gets no requests after 3 s', async () => {
  await fc.assert(fc.asyncProperty(fc.nat(1_000_000), fc.array(step, { minLength: 10, maxLength: 50 }), async (seed, steps) => {
    const cluster = createCluster({ seed })
    cluster.network.setDuplicateRate(0.05)
    HOSTS.forEach(([id, zone]) => cluster.startHost(id, zone))
    EXECUTORS.forEach(([id, zone]) => cluster.addExecutor({ id, availabilityZone: zone, slots: 2, connections: 6, serviceMs: 20, progressMs: id === 'e2' ? 100 : 0 }))
    const oracle = createOracle(cluster)
    await cluster.clock.advance(1500)
    for (const item of steps) await oracle.apply(item)
    await oracle.finish()
  }), { numRuns: RUNS, seed: SEED, endOnFailure: process.env.FUZZ_SHRINK === undefined })
}, 600_000)
