import { expect, test } from 'vitest'
import { createSharing } from '../../src/coordination/workflows/sharing.js'
import { createScene } from './support.js'

const SERVING = { task: 's', image: 'desk', targetMs: 18 }
const HEAVY = { task: 'f1', image: 'heavy', part: 0.1 }
const LIGHT = { task: 'f2', image: 'light', part: 0.1 }

test('a pair that saturates a service is avoided after a few readings, and a harmless one is not', () => {
  const sharing = createSharing()
  for (let reading = 0; reading < 20; reading += 1) {
    sharing.observe([{ ...SERVING, tailMs: 6 + reading % 3 }], [], reading * 500)
    sharing.observe([{ ...SERVING, tailMs: 6 + reading % 3 }], [LIGHT], reading * 500)
    sharing.observe([{ ...SERVING, tailMs: 60 }], [HEAVY], reading * 500)
  }
  expect(sharing.estimateRisk([SERVING], [HEAVY])).toBeGreaterThan(0)
  expect(sharing.estimateRisk([SERVING], [LIGHT, LIGHT])).toBeLessThan(0)
  expect(sharing.listPressing('w', [{ ...SERVING, tailMs: 60 }], [LIGHT, HEAVY])).toEqual(['f1'])
})

test('a filling task that presses a service over its target is moved', async () => {
  const scene = await createScene(['w1', 'w2'])
  scene.fleet.plan = () => ({ runMs: 60_000, result: 'never' })
  await scene.submit('s1', [{ count: 1, cores: 10, lasting: true, image: 'desk', tailTargetMs: 18 }])
  await scene.run(300)
  const serving = [...scene.fleet.workers.values()].find(({ running }) => running.size > 0)
  const other = [...scene.fleet.workers.values()].find((worker) => worker !== serving)
  if (other !== undefined) other.reachable = false
  await scene.run(9000)
  await scene.submit('f1', [{ count: 1, cores: 3, fills: true, image: 'heavy', checkpoints: true }])
  await scene.run(200)
  if (other !== undefined) other.reachable = true
  serving?.setReading('s1.0.0.0', 60)
  await scene.run(3000)
  expect(serving?.running.has('f1.0.0.0')).toBe(false)
  expect(other?.running.has('f1.0.0.0')).toBe(true)
})

test('a workflow of which nothing runs is started even where a service bears it badly', async () => {
  const scene = await createScene(['w1'])
  scene.fleet.plan = () => ({ runMs: 60_000, result: 'never' })
  await scene.submit('s1', [{ count: 1, cores: 10, lasting: true, image: 'desk', tailTargetMs: 18 }])
  await scene.submit('f1', [{ count: 4, cores: 8, fills: true, image: 'heavy', checkpoints: true }])
  await scene.run(300)
  const worker = scene.fleet.workers.get('w1')
  // Pressed while anything fills, sound otherwise, until the pair is known to be a bad one.
  for (let round = 0; round < 150; round += 1) {
    worker?.setReading('s1.0.0.0', [...worker.running.keys()].some((task) => task.startsWith('f1')) ? 60 : 6)
    await scene.run(100)
  }
  worker?.setReading('s1.0.0.0', 6)
  const startsBefore = scene.listEvents('started').length
  await scene.run(3000)
  expect(scene.listEvents('started').length).toBeGreaterThan(startsBefore)
})
