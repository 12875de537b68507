import fc from 'fast-check'
import { expect, test } from 'vitest'
import { CLASSES, listBroken, type Broken, type FailureClass } from './restartOracle.js'
import { INHERITED_ORDERS_MS } from '../workflows/support.js'
import { plan, play, type Plan } from './restartPlays.js'

const RUNS = Number(process.env.FUZZ_RUNS ?? 50)
const SEED = Number(process.env.FUZZ_SEED ?? 41)
const TEST_TIMEOUT_MS = 60_000 + RUNS * 2000

const plays = new Map<string, Promise<Broken>>()

/** Plays each plan once for all classes of failures. */
function runPlan (drawn: Plan, delayMs = 0): Promise<Broken> {
  const key = JSON.stringify([drawn, delayMs], (_key, value) => value === Infinity ? 'Infinity' : value)
  const broken = plays.get(key) ?? play(drawn, delayMs).then(listBroken)
  plays.set(key, broken)
  return broken
}

// Draws what the users' days contain on occasion: workers that restart under their old ids and addresses while calls for their
// former incarnations are under way, that are reported late or cut off soon after, and session hosts that change meanwhile.
test.each(CLASSES)('workers that restart and take calls for their former incarnations cause no failure of the class "%s"', async (failure) => {
  await fc.assert(fc.asyncProperty(plan, async (drawn) => {
    expect((await runPlan(drawn))[failure]).toEqual([])
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
}, TEST_TIMEOUT_MS)

/** Without the class that KNOWN-RED.txt lists: the first test covers it. */
const STRICT_CLASSES = CLASSES.filter((failure) => failure !== 'order outlives its settlement')

test.each(STRICT_CLASSES)('workers that restart while their session hosts know of all start orders cause no failure of the class "%s"', async (failure) => {
  await fc.assert(fc.asyncProperty(plan, async (drawn) => {
    expect((await runPlan(drawn, INHERITED_ORDERS_MS))[failure]).toEqual([])
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
}, TEST_TIMEOUT_MS)

const RESTART = { worker: 0, at: 227, times: 1, gapMs: 100, downMs: 0, reportMs: undefined, cutAfterMs: undefined, cutForMs: 300, delayedMs: 0 }
/** Plays that have failed, reduced, by what went wrong in them. */
const FAILED_PLAYS: Array<[cause: string, failure: FailureClass, failed: Plan]> = [
  ['a later incarnation answered a start order only', 'overlapping runs', {
    hosts: 1,
    workers: 3,
    jobs: [{ kind: 'short', at: 2972, size: 0, share: 0 }, { kind: 'short', at: 573, size: 17, share: 33 }],
    restarts: [{ ...RESTART, worker: 1, at: 599 }, { ...RESTART, at: 699, times: 2, gapMs: 1600, downMs: 600 }],
    cuts: [{ worker: 1, at: 1999, forMs: 5500 }],
    hostFaults: [],
    late: { start: 0.2, stop: 0, hold: 0 },
    lost: { start: 0.5, stop: 0, hold: 0.1 },
    stopMs: 0,
    endsPerReply: 1,
    seed: 176450
  }],
  ['polls of an unreachable worker carried its cursor', 'started after success', {
    hosts: 1,
    workers: 2,
    jobs: [{ kind: 'short', at: 0, size: 6, share: 0 }, { kind: 'short', at: 0, size: 0, share: 0 }],
    restarts: [RESTART],
    cuts: [],
    hostFaults: [],
    late: { start: 0.5, stop: 0, hold: 0.1 },
    lost: { start: 0.5, stop: 0, hold: 0 },
    stopMs: 0,
    endsPerReply: 1,
    seed: 195004
  }]
]

test.each(FAILED_PLAYS)('no task runs twice in the play in which %s', async (_cause, failure, failed) => {
  expect((await runPlan(failed))[failure]).toEqual([])
}, TEST_TIMEOUT_MS)
