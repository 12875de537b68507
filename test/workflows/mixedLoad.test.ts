import { expect, test } from 'vitest'
import { createScene, type Scene } from './support.js'

const TARGET_MS = 18
const UNLOADED_MS = 4
const SWING_MS = 10_000
const TASK_MS = 2700
const TASK_CORES = 3.5
const WORKER_CORES = 32
const STEP_MS = 100
/** Load that a neighbour on the whole worker adds to a service, by their images; pairs that bear each other are the rest. */
const PRESSURES: Record<string, number> = { 'touchy heavy': 2.2, 'touchy light': 0.15, 'calm heavy': 0.15, 'calm light': 0.15 }
/** Services count as harmed beyond this part of their time over their targets. */
const MAX_HARMED_SHARE = 0.05
const BATCH_OBJECTIVE_MS = 3 * TASK_MS

/** `calm-2.0.0.1` runs the image calm. */
function getImage (task: string): string {
  return task.split('-')[0] ?? ''
}

/** Load of a service: a swing by half around 0.42 in a phase of its own, and the pressure of its neighbours. */
function computeLoad (task: string, running: ReadonlyMap<string, unknown>, now: number): number {
  const phase = Number(task.split('.')[0]?.split('-')[1]) / 4
  const own = 0.42 * (1 + 0.5 * Math.sin((now / SWING_MS + phase) * 2 * Math.PI))
  return [...running.keys()].reduce((sum, other) => sum + (PRESSURES[`${getImage(task)} ${getImage(other)}`] ?? 0) * TASK_CORES / WORKER_CORES, own)
}

interface Outcome { harmedShare: number, onTime: number, submitted: number }

/** Submits a batch of each image in turn beside services that fill the pool, and watches what users and callers get. */
async function playLoad (scene: Scene, batches: number): Promise<Outcome> {
  let harmed = 0
  let watched = 0
  const isHarmed = (task: string, running: ReadonlyMap<string, unknown>): boolean => UNLOADED_MS / Math.max(0.01, 1 - computeLoad(task, running, scene.clock.now())) > TARGET_MS
  const watch = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await scene.run(STEP_MS)
      scene.fleet.workers.forEach(({ running }) => [...running.keys()].filter((task) => ['calm', 'touchy'].includes(getImage(task))).forEach((task) => {
        watched += 1
        if (isHarmed(task, running)) harmed += 1
      }))
    }
  }
  const submittedAt = new Map<string, number>()
  for (let batch = 0; batch < batches; batch += 1) {
    const image = batch % 2 === 0 ? 'light' : 'heavy'
    submittedAt.set(`${image}-${batch}`, scene.clock.now())
    await scene.submit(`${image}-${batch}`, [{ count: 6, cores: TASK_CORES, memoryMb: 100, fills: true, image, expectedRunMs: TASK_MS }])
    await watch(1000)
  }
  await watch(BATCH_OBJECTIVE_MS)
  const onTime = [...submittedAt].filter(([id, at]) => {
    const ends = scene.listEvents('ended').filter(({ task, cause }) => cause === 'succeeded' && task.startsWith(`${id}.`))
    return ends.length === 6 && Math.max(...ends.map((end) => end.at)) - at <= BATCH_OBJECTIVE_MS
  }).length
  return { harmedShare: harmed / watched, onTime, submitted: submittedAt.size }
}

// The load is batch work in waves of which one image disturbs half of the services, whose loads swing each in its phase.
test('batch work is done on time beside services that it would harm, and harms them for a small part of their time only', async () => {
  const scene = await createScene(['w1', 'w2', 'w3', 'w4'])
  scene.fleet.plan = (task) => ['light', 'heavy'].includes(getImage(task)) ? { runMs: TASK_MS, result: 'succeeded' } : { runMs: 0, result: 'never' }
  // Readings are taken each half second and repeated until the next.
  scene.fleet.measure = (task, running, now) => Math.ceil(UNLOADED_MS / Math.max(0.02, 1 - computeLoad(task, running, Math.floor(now / 500) * 500)))
  for (const [number, image] of ['calm', 'touchy', 'calm', 'touchy'].entries()) {
    await scene.submit(`${image}-${number}`, [{ count: 4, cores: 7, memoryMb: 100, lasting: true, image, tailTargetMs: TARGET_MS }])
  }
  await scene.run(15_000)
  const { harmedShare, onTime, submitted } = await playLoad(scene, 40)
  expect(harmedShare).toBeLessThan(MAX_HARMED_SHARE)
  expect(onTime / submitted).toBeGreaterThan(0.9)
}, 60_000)
