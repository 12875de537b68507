import { expect, test } from 'vitest'
import { listEvacuated } from '../../src/coordination/workflows/evacuation.js'
import { createScene, STEP } from './support.js'

test('a wave takes one host down after the other, empties each before, and ends when all are back', async () => {
  const scene = await createScene(['w1', 'w2', 'w3'])
  scene.fleet.plan = () => ({ runMs: 400, result: 'never' })
  scene.fleet.workers.forEach(({ life }) => { scene.log.propose({ kind: 'life.report', life: { ...life, host: `m-${life.id}`, bornAt: life.bornAt + 1 } }, Infinity) })
  await scene.run(100)
  scene.fleet.workers.forEach((worker) => Object.assign(worker.life, { host: `m-${worker.life.id}`, bornAt: 2 }))
  await scene.submit('s1', [{ count: 4, lasting: true, maxUnavailable: 1 }])
  await scene.run(1000)
  const ordered: Array<{ host: string, running: number, at: number }> = []
  let down = 0
  let mostDown = 0
  scene.fleet.onUpkeep = (host) => {
    down += 1
    mostDown = Math.max(mostDown, down)
    const id = host.slice(2)
    ordered.push({ host, running: Object.keys(scene.log.state().workflows.workers[id]?.assigned ?? {}).length, at: scene.clock.now() })
    scene.clock.sleep(2000).then(() => {
      down -= 1
      const { life } = scene.fleet.addWorker({ ...scene.fleet.workers.get(id)!.life, bornAt: 3 })
      scene.log.propose({ kind: 'life.report', life }, Infinity)
    })
  }
  scene.log.propose({ kind: 'wave.open', wave: { id: 1, hosts: ['m-w1', 'm-w2'], dueAt: scene.clock.wall() + 60_000, maxDown: 1 } }, Infinity)
  await scene.run(20_000)
  expect(ordered.map(({ host, running }) => ({ host, running }))).toEqual([{ host: 'm-w1', running: 0 }, { host: 'm-w2', running: 0 }])
  expect([mostDown, scene.log.state().workflows.waves[1]?.done]).toEqual([1, ['m-w1', 'm-w2']])
})

test('work that cannot end before a worker leaves is moved, and work that can is left alone', () => {
  const runs = [
    { task: 'lasting', step: { ...STEP, lasting: true }, elapsedMs: 5000, percent: 100 },
    { task: 'ends in time', step: STEP, elapsedMs: 900, percent: 90 },
    { task: 'saved', step: { ...STEP, checkpoints: true }, elapsedMs: 1000, percent: 20 },
    { task: 'just begun', step: STEP, elapsedMs: 1000, percent: 10 },
    { task: 'too far to lose', step: STEP, elapsedMs: 5000, percent: 50 }
  ]
  expect(listEvacuated(runs, 2000)).toEqual(['lasting', 'saved', 'just begun'])
})
