import { expect, test } from 'vitest'
import type { CompetitionSettings } from '../../src/coordination/workflows/index.js'
import { DEFAULT_COMPETITION } from '../../src/coordination/workflows/competition.js'
import type { Step } from '../../src/state/index.js'
import { CATALOG, createScene } from './support.js'

/** Four workers with 32 cores and 128 GB each. */
const WORKERS = ['w1', 'w2', 'w3', 'w4']
const TICK_MS = 100
const CHECKPOINT_MS = 1000
const RESTORE_MS = 250
const PLAY_MS = 90_000
/** Callers of the first time are not counted: the leader has not learned the capacity yet. */
const WARM_UP_MS = 15_000

interface Load { everyMs: number, priority: number, slackFactor: number, objectiveMs: number, chainMs: number, runMs: number, steps: Array<Partial<Step>> }

function createBatch (image: string, everyMs: number, count: number): Load {
  const steps = [[], [0]].map((dependsOn) => ({ count, cores: 4, memoryMb: 15_000, fills: true, checkpoints: true, image, expectedRunMs: 2000, dependsOn }))
  return { everyMs, priority: 2, slackFactor: 2, objectiveMs: 1000, chainMs: 4000, runMs: 2000, steps }
}

/** Best-effort workflows ask for 1.3 times the cores that urgent ones leave, and their tasks hold most of the memory. */
const LOADS: Record<string, Load> = {
  urgent: { everyMs: 1000, priority: 0, slackFactor: 1.5, objectiveMs: 500, chainMs: 1000, runMs: 1000, steps: [{ count: 2, cores: 12, memoryMb: 45_000, expectedRunMs: 1000 }] },
  large: createBatch('large', 900, 7),
  small: createBatch('small', 3000, 2)
}

/** Shares of a queue's callers by what they got. */
interface Service { onTime: number, late: number, worthless: number, refused: number }

async function play (competition: CompetitionSettings): Promise<Record<string, Service>> {
  const queues = Object.entries(LOADS).map(([name, { priority, slackFactor, objectiveMs }]) => ({ ...CATALOG.queues[0]!, name, pathPrefix: `/${name}/`, priority, slackFactor, objectiveMs }))
  const scene = await createScene(WORKERS, { ...CATALOG, queues }, { competition })
  /** Work of earlier runs up to the last checkpoint is not repeated. */
  const measureSavedMs = (task: string): number => scene.fleet.events.filter((event) => event.task === task).reduce((saved, { kind, at }, index, events) =>
    saved + (kind === 'ended' ? Math.floor((at - (events[index - 1]?.at ?? at)) / CHECKPOINT_MS) * CHECKPOINT_MS : 0), 0)
  scene.fleet.plan = (task) => {
    const savedMs = measureSavedMs(task)
    return { runMs: (LOADS[task.split('-')[0] ?? '']?.runMs ?? 0) - savedMs + (savedMs > 0 ? RESTORE_MS : 0), result: 'succeeded' }
  }
  scene.fleet.stopMs = 200
  const callers: Array<{ queue: string, id: string, at: number, isRefused: boolean }> = []
  for (let passed = 0; passed < PLAY_MS; passed += TICK_MS) {
    for (const [queue, { steps }] of Object.entries(LOADS).filter(([, load]) => passed % load.everyMs === 0)) {
      const id = `${queue}-${passed}`
      const at = scene.clock.now()
      const reply = await scene.submit(id, steps, {}, queue)
      callers.push({ queue, id, at, isRefused: reply.kind === 'overloaded' })
    }
    await scene.run(TICK_MS - 10)
  }
  await scene.run(15_000)
  const endedAt = new Map<string, number>()
  const succeeded = new Map<string, number>()
  scene.listEvents('ended').filter(({ cause }) => cause === 'succeeded').forEach(({ task, at }) => {
    const id = task.split('.')[0] ?? ''
    endedAt.set(id, Math.max(at, endedAt.get(id) ?? 0))
    succeeded.set(id, (succeeded.get(id) ?? 0) + 1)
  })
  return Object.fromEntries(Object.entries(LOADS).map(([queue, { steps, chainMs, slackFactor, objectiveMs: queueMs }]) => {
    const counted = callers.filter((caller) => caller.queue === queue && caller.at >= WARM_UP_MS + (callers[0]?.at ?? 0))
    const objectiveMs = slackFactor * chainMs + queueMs
    const tasks = steps.reduce((sum, { count }) => sum + (count ?? 1), 0)
    const measureShare = (isCounted: (tookMs: number, isRefused: boolean) => boolean): number =>
      Math.round(100 * counted.filter(({ id, at, isRefused }) => isCounted(succeeded.get(id) === tasks ? (endedAt.get(id) ?? Infinity) - at : Infinity, isRefused)).length / counted.length) / 100
    return [queue, {
      onTime: measureShare((ms) => ms <= objectiveMs),
      late: measureShare((ms) => ms > objectiveMs && ms <= 3 * objectiveMs),
      worthless: measureShare((ms, isRefused) => ms > 3 * objectiveMs && !isRefused),
      refused: measureShare((_ms, isRefused) => isRefused)
    }]
  }))
}

// Guards against accepting what cannot be served, and against one queue that takes the capacity of another of its priority.
test('urgent callers and those of a small queue are on time beside a queue that asks for too much, of which most of the excess is refused', async () => {
  const { urgent, large, small } = await play(DEFAULT_COMPETITION) as { urgent: Service, large: Service, small: Service }
  // The pool can serve three of four large workflows; the others are the excess.
  const served = 0.75
  expect([urgent.onTime >= 0.95, small.onTime >= 0.95, large.worthless <= (1 - served) / 2, large.onTime + large.late >= served * 0.75, large.refused <= (1 - served) * 1.25]).toEqual([true, true, true, true, true])
  const without = await play({ ...DEFAULT_COMPETITION, preemption: false, fairShares: false })
  expect([small.onTime > (without['small']?.onTime ?? 1), urgent.onTime >= (without['urgent']?.onTime ?? 1)]).toEqual([true, true])
}, 120_000)
