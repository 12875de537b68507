import { expect, test } from 'vitest'
import { createRandom } from '../../src/common/index.js'
import type { RunEvent } from '../../src/fakes/runFleet.js'
import { CATALOG, createScene } from './support.js'

// Short work of the uneven deployment for a tenth of its workers: two steps of 10 tasks, 540 ms with an error of one fifth.
const WORKERS = 24
const WORKFLOWS = 60
const INTERVAL_MS = 700
const TASKS = 10
const RUN_MS = 540
const ERROR = 0.2
const STRAGGLER_SHARE = 0.03
const STRAGGLER_FACTOR = 7
/** Largest share of the running tasks of a pool that may be copies. */
const MAX_COPY_SHARE = 0.05
const QUEUES = CATALOG.queues.map((queue) => ({ ...queue, slackFactor: 1.5, objectiveMs: 250 }))

/** `excess`: times at which more copies ran than the share of a pool allows. `wastedShare`: work of stopped runs, which without copies are moves off a slow worker. */
interface Figures { onTime: number, meanMs: number, copies: number, excess: number, wastedShare: number }

/** Counts the copies, and the times at which there were more of them than allowed. */
function countCopies (events: readonly RunEvent[]): Pick<Figures, 'copies' | 'excess'> {
  const running = new Map<string, number>()
  return events.toSorted((a, b) => a.at - b.at).reduce((counts, { kind, task }) => {
    running.set(task, (running.get(task) ?? 0) + (kind === 'started' ? 1 : kind === 'ended' ? -1 : 0))
    if (kind !== 'started' || running.get(task) !== 2) return counts
    const doubled = [...running.values()].filter((count) => count > 1).length
    const allowed = Math.max(1, MAX_COPY_SHARE * [...running.values()].reduce((sum, count) => sum + count, 0))
    return { copies: counts.copies + 1, excess: counts.excess + Number(doubled > allowed) }
  }, { copies: 0, excess: 0 })
}

/** `isTaskLong`: a straggler takes as long in all its runs, so that copies cannot help. */
async function playLoad (speculative: boolean, isTaskLong: boolean): Promise<Figures> {
  const scene = await createScene(Array.from({ length: WORKERS }, (_, number) => `w${number}`), { ...CATALOG, queues: QUEUES })
  const random = createRandom(5)
  const durations = new Map(Array.from({ length: WORKFLOWS }, (_, workflow) => [0, 1].flatMap((step) => Array.from({ length: TASKS }, (_index, index): [string, number[]] =>
    [`a${workflow}.0.${step}.${index}`, [0, 1, 2].map(() => RUN_MS * (1 + ERROR * (2 * random.next() - 1)) * (random.next() < STRAGGLER_SHARE ? STRAGGLER_FACTOR : 1))]))).flat())
  const runs = new Map<string, number>()
  scene.fleet.plan = (task) => {
    const run = runs.get(task) ?? 0
    runs.set(task, run + 1)
    return { runMs: durations.get(task)?.[isTaskLong ? 0 : run] ?? RUN_MS, result: 'succeeded' }
  }
  const submittedAt: number[] = []
  const endedAt = new Map<string, number>()
  scene.log.subscribe(() => submittedAt.forEach((_at, number) => {
    if (!endedAt.has(`a${number}`) && scene.log.state().workflows.workflows[`a${number}`]?.outcome === 'completed') endedAt.set(`a${number}`, scene.clock.now())
  }))
  const step = { count: TASKS, cores: 4, expectedRunMs: RUN_MS, image: 'quote', speculative }
  for (let number = 0; number < WORKFLOWS; number += 1) {
    submittedAt.push(scene.clock.now())
    await scene.submit(`a${number}`, [step, { ...step, dependsOn: [0] }])
    await scene.run(INTERVAL_MS)
  }
  await scene.run(10_000)
  const tookMs = submittedAt.map((at, number) => (endedAt.get(`a${number}`) ?? Infinity) - at)
  const ends = new Map(scene.listEvents('ended').map(({ worker, task, attempt, at, cause }) => [`${worker} ${task} ${attempt}`, { at, cause }]))
  const spans = scene.listEvents('started').map(({ worker, task, attempt, at }) => ({ ms: (ends.get(`${worker} ${task} ${attempt}`)?.at ?? NaN) - at, cause: ends.get(`${worker} ${task} ${attempt}`)?.cause }))
  const sum = (values: number[]): number => values.reduce((total, value) => total + value, 0)
  return {
    onTime: tookMs.filter((ms) => ms <= 1.5 * 2 * RUN_MS + 250).length / WORKFLOWS,
    meanMs: Math.round(sum(tookMs) / WORKFLOWS),
    ...countCopies(scene.fleet.events),
    wastedShare: sum(spans.filter(({ cause }) => cause === 'stopped').map(({ ms }) => ms)) / sum(spans.map(({ ms }) => ms))
  }
}

test('copies bring more workflows to their end in time, and throw away a bounded share of the work', async () => {
  const [without, withCopies] = [await playLoad(false, false), await playLoad(true, false)]
  expect([withCopies.onTime > without.onTime, withCopies.meanMs < without.meanMs, without.copies, withCopies.excess]).toEqual([true, true, 0, 0])
}, 120_000)

test('work whose tasks are long wherever they run is not slowed down by copies', async () => {
  const [without, withCopies] = [await playLoad(false, true), await playLoad(true, true)]
  expect([withCopies.onTime >= without.onTime, withCopies.excess]).toEqual([true, 0])
}, 120_000)
