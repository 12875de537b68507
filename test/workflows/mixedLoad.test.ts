import { expect, test } from 'vitest'
import { createScene, type Scene } from './support.js'

const TARGET_MS = 18
const UNLOADED_MS = 4
const OSCILLATION_MS = 10_000
const TASK_MS = 2700
const TASK_CORES = 3.5
const WORKER_CORES = 32
const STEP_MS = 100
/** Interference coefficients by service image and neighbour image; missing pairs do not interfere. */
const INTERFERENCE: Record<string, number> = { 'touchy heavy': 2.2, 'touchy light': 0.15, 'calm heavy': 0.15, 'calm light': 0.15 }
/** Largest share of their time that services may be over their targets. */
const MAX_OVER_TARGET_SHARE = 0.05
const BATCH_OBJECTIVE_MS = 3 * TASK_MS

/** The image is the start of the task's name: `calm-2.0.0.1` runs the image `calm`. */
function getImage (task: string): string {
  return task.split('-')[0] ?? ''
}

/** Load of a service: an oscillation by half around 0.42 with its own phase, plus the interference of its neighbours. */
function computeLoad (task: string, running: ReadonlyMap<string, unknown>, now: number): number {
  const phase = Number(task.split('.')[0]?.split('-')[1]) / 4
  const own = 0.42 * (1 + 0.5 * Math.sin((now / OSCILLATION_MS + phase) * 2 * Math.PI))
  return [...running.keys()].reduce((sum, other) => sum + (INTERFERENCE[`${getImage(task)} ${getImage(other)}`] ?? 0) * TASK_CORES / WORKER_CORES, own)
}

interface Outcome { overTargetShare: number, onTime: number, submitted: number }

/** Submits batches of alternating images beside services that request most cores of the pool; measures the time of services over their targets and the batches on time. */
async function playLoad (scene: Scene, batches: number): Promise<Outcome> {
  let overTarget = 0
  let samples = 0
  const isOverTarget = (task: string, running: ReadonlyMap<string, unknown>): boolean => UNLOADED_MS / Math.max(0.01, 1 - computeLoad(task, running, scene.clock.now())) > TARGET_MS
  const sampleLoad = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await scene.run(STEP_MS)
      scene.fleet.workers.forEach(({ running }) => [...running.keys()].filter((task) => ['calm', 'touchy'].includes(getImage(task))).forEach((task) => {
        samples += 1
        if (isOverTarget(task, running)) overTarget += 1
      }))
    }
  }
  const submittedAt = new Map<string, number>()
  for (let batch = 0; batch < batches; batch += 1) {
    const image = batch % 2 === 0 ? 'light' : 'heavy'
    submittedAt.set(`${image}-${batch}`, scene.clock.now())
    await scene.submit(`${image}-${batch}`, [{ count: 6, cores: TASK_CORES, memoryMb: 100, fills: true, image, expectedRunMs: TASK_MS }])
    await sampleLoad(1000)
  }
  await sampleLoad(BATCH_OBJECTIVE_MS)
  const onTime = [...submittedAt].filter(([id, at]) => {
    const ends = scene.listEvents('ended').filter(({ task, cause }) => cause === 'succeeded' && task.startsWith(`${id}.`))
    return ends.length === 6 && Math.max(...ends.map((end) => end.at)) - at <= BATCH_OBJECTIVE_MS
  }).length
  return { overTargetShare: overTarget / samples, onTime, submitted: submittedAt.size }
}

// Waves of batch work, of which one image interferes with half of the services; the load of each service oscillates with its own phase.
test('batch work ends on time beside services with which it may interfere, and they are over their targets for a small share of the time', async () => {
  const scene = await createScene(['w1', 'w2', 'w3', 'w4'])
  scene.fleet.plan = (task) => ['light', 'heavy'].includes(getImage(task)) ? { runMs: TASK_MS, result: 'succeeded' } : { runMs: 0, result: 'never' }
  // Readings are taken every half second and repeated until the next one.
  scene.fleet.measure = (task, running, now) => Math.ceil(UNLOADED_MS / Math.max(0.02, 1 - computeLoad(task, running, Math.floor(now / 500) * 500)))
  for (const [number, image] of ['calm', 'touchy', 'calm', 'touchy'].entries()) {
    await scene.submit(`${image}-${number}`, [{ count: 4, cores: 7, memoryMb: 100, lasting: true, image, tailTargetMs: TARGET_MS }])
  }
  await scene.run(15_000)
  const { overTargetShare, onTime, submitted } = await playLoad(scene, 40)
  expect(overTargetShare).toBeLessThan(MAX_OVER_TARGET_SHARE)
  expect(onTime / submitted).toBeGreaterThan(0.9)
}, 60_000)
