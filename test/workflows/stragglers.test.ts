import { expect, test } from 'vitest'
import { createRunDurations } from '../../src/coordination/workflows/runDurations.js'
import { addOutcome, canCopyWork, countAllowedCopies, createCopyRecord, listStragglers, recordCopy, type ObservedRun } from '../../src/coordination/workflows/stragglers.js'

const NOW = 10_000
const WORK = { queue: 'quotes', image: 'quote', step: 0 }
const USUAL_MS = 500

function createRun (index: number, ageMs: number, percent: number, more: Partial<ObservedRun> = {}): ObservedRun {
  return { task: `a1.0.0.${index}`, worker: `w${index}`, stepName: 'a1.0.0', work: WORK, estimateMs: USUAL_MS, progress: { startedAt: NOW - ageMs, percent, progressAt: NOW }, isEligible: true, ...more }
}
function list (runs: ObservedRun[], { ended = 40, slow = [] as string[] } = {}): unknown[] {
  const durations = createRunDurations()
  Array.from({ length: ended }, (_, number) => durations.recordEnd(WORK, USUAL_MS, USUAL_MS + 5 * (number % 20)))
  return listStragglers(runs, durations, (worker) => slow.includes(worker) ? 3 : 1, NOW).map(({ run, cause }) => `${run.worker} ${cause}`)
}

test.each<[string, ObservedRun[], Parameters<typeof list>[1], unknown[]]>([
  ['a run of usual progress', [createRun(1, 250, 48)], {}, []],
  ['a run that reports nothing and is not old yet', [createRun(1, 600, 0)], {}, []],
  ['a seventh of the usual progress', [createRun(1, 300, 8)], {}, ['w1 long-task']],
  ['a run on a slow worker', [createRun(1, 300, 8)], { slow: ['w1'] }, ['w1 slow-worker']],
  ['a straggler that is about to end', [createRun(1, 3300, 94)], {}, []],
  ['a run with a copy, or that is stopped', [createRun(1, 300, 8, { isEligible: false })], {}, []],
  ['the one that gains most goes first', [createRun(1, 300, 12), createRun(2, 300, 6)], {}, ['w2 long-task', 'w1 long-task']],
  ['work of which nothing is known, within its estimate', [createRun(1, 450, 40)], { ended: 0 }, []],
  ['work of which nothing is known, far behind its siblings', [createRun(1, 700, 10), ...[2, 3, 4].map((index) => createRun(index, 700, 70))], { ended: 0 }, ['w1 long-task']],
  ['a whole step whose estimate was too low', [1, 2, 3, 4].map((index) => createRun(index, 700, 10)), { ended: 0 }, []]
])('%s', (_name, runs, known, expected) => expect(list(runs, known)).toEqual(expected))

test('copies are a bounded share of the running tasks of a pool', () => {
  expect([countAllowedCopies(0, 0), countAllowedCopies(10, 0), countAllowedCopies(10, 1), countAllowedCopies(200, 4)]).toEqual([1, 1, 0, 6])
})

// Guards against copies of tasks that are long wherever they run: each would be work thrown away.
test('work whose copies rarely win gets one copy in ten seconds', () => {
  const lost = Array.from({ length: 5 }).reduce<ReturnType<typeof createCopyRecord>>((record) => addOutcome(record, false), createCopyRecord())
  const tried = recordCopy(lost, NOW)
  expect([canCopyWork(createCopyRecord(), NOW), canCopyWork(lost, NOW), canCopyWork(tried, NOW + 9000), canCopyWork(tried, NOW + 10_000), canCopyWork(addOutcome(tried, true), NOW)]).toEqual([true, true, false, true, true])
})
