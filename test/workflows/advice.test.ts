import { expect, test } from 'vitest'
import { CATALOG, createScene } from './support.js'

const ADVISED = { ...CATALOG, queues: [{ ...CATALOG.queues[0]!, advice: { decisionMs: 40, perWorkerMs: 1, validityMs: 3000 } }] }

test('the tasks of a queue with an advice service run only on workers that the service permits', async () => {
  const scene = await createScene(['w1', 'w2', 'w3'], ADVISED)
  scene.fleet.approved = (_step, worker) => worker === 'w2'
  await scene.submit('a1', [{ count: 4 }, { count: 2, dependsOn: [0] }])
  await scene.run(5000)
  expect([scene.log.state().workflows.workflows.a1?.outcome, [...new Set(scene.listEvents('started').map(({ worker }) => worker))]]).toEqual(['completed', ['w2']])
})

test('the query for a step is repeated while no worker is permitted to run it', async () => {
  const scene = await createScene(['w1', 'w2'], ADVISED)
  scene.fleet.approved = () => false
  await scene.submit('a1', [{ count: 1 }])
  await scene.run(1000)
  scene.fleet.approved = () => true
  await scene.run(3000)
  expect(scene.log.state().workflows.workflows.a1?.outcome).toBe('completed')
})
