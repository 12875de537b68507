import { expect, test } from 'vitest'
import { createSilentLogger } from '../../src/common/index.js'
import { createWorkerDirectory, type WorkerDirectory } from '../../src/coordination/workflows/directory.js'
import type { FakeRunWorker } from '../../src/fakes/runFleet.js'
import type { Step } from '../../src/state/index.js'
import { createScene, listDoubled, type Scene } from './support.js'

const TASKS = 4
/** A worker without an answer to its announcement ends some seconds later. */
const END_AFTER_MS = 5000
/** No lease on a fake worker lasts longer. */
const LONGEST_LEASE_MS = 11_000
/** A worker waits this long for an answer. */
const ANSWER_MS = 1000

interface LeavingScene { scene: Scene, worker: FakeRunWorker, announce: () => ReturnType<WorkerDirectory['removeWorker']> }

/** A worker that runs long tasks, beside one that has room for them. `announce` sends the announcement of its shutdown. */
async function createLeavingScene (step: Partial<Step> = {}): Promise<LeavingScene> {
  const scene = await createScene(['w1'])
  const { fleet, log, clock } = scene
  const worker = fleet.workers.get('w1') as FakeRunWorker
  fleet.stopMs = 200
  fleet.plan = () => ({ runMs: 60_000, result: step.lasting === true ? 'never' : 'succeeded' })
  await scene.submit('a', [{ count: TASKS, ...step }])
  await scene.run(2000)
  log.propose({ kind: 'life.report', life: fleet.addWorker({ id: 'w2', address: '127.0.0.1:2' }).life }, Infinity)
  await scene.run(1000)
  const directory = createWorkerDirectory({ clock, logger: createSilentLogger(), log })
  const { bornAt } = worker.life
  return { scene, worker, announce: () => directory.removeWorker('w1', bornAt, clock.now() + ANSWER_MS) }
}

const STEPS: Array<[kind: string, step: Partial<Step>]> = [['tasks', {}], ['a gang', { gang: true }], ['long-running tasks', { lasting: true }]]

// Guards against two runs of a task while a worker that gets no answer to its announcement runs on (review/7).
test.each(STEPS)('%s of a worker that announces its shutdown and is not reached start elsewhere only after its leases', async (_kind, step) => {
  const { scene, worker, announce } = await createLeavingScene(step)
  worker.reachable = false
  announce()
  await scene.run(END_AFTER_MS)
  announce()
  await scene.run(LONGEST_LEASE_MS)
  worker.crash()
  expect({
    before: scene.listEvents('started').filter(({ worker }) => worker === 'w1').length,
    after: new Set(scene.listEvents('started').filter(({ worker }) => worker === 'w2').map(({ task }) => task)).size,
    doubled: listDoubled(scene.fleet.events),
    workers: Object.keys(scene.log.state().workflows.workers)
  }).toEqual({ before: TASKS, after: TASKS, doubled: [], workers: ['w2'] })
})

test.each(STEPS)('%s of a worker that announces its shutdown end before the answer and start elsewhere at once', async (_kind, step) => {
  const { scene, worker, announce } = await createLeavingScene(step)
  const answers: unknown[] = []
  announce().then((answer) => {
    answers.push(answer)
    // The worker ends with the answer.
    worker.crash()
  })
  await scene.run(ANSWER_MS)
  const started = scene.listEvents('started').filter(({ worker }) => worker === 'w2')
  expect({ answers: answers.length, lost: scene.listEvents('lost').length, started: started.length, doubled: listDoubled(scene.fleet.events) })
    .toEqual({ answers: 1, lost: 0, started: TASKS, doubled: [] })
})

test('tasks of a leaving worker wait for its leases also when the leader changes after the announcement', async () => {
  const { scene, worker, announce } = await createLeavingScene()
  worker.reachable = false
  announce()
  await scene.run(100)
  await scene.changeLeader()
  announce()
  await scene.run(END_AFTER_MS)
  worker.crash()
  await scene.run(LONGEST_LEASE_MS)
  expect({ runs: scene.listEvents('started').filter(({ worker }) => worker === 'w2').length, doubled: listDoubled(scene.fleet.events) }).toEqual({ runs: TASKS, doubled: [] })
})

test('a later incarnation of a leaving worker inherits its tasks, and no late report brings the leaving one back', async () => {
  const { scene, worker, announce } = await createLeavingScene()
  const former = worker.life
  worker.reachable = false
  announce()
  await scene.run(100)
  worker.restart()
  scene.log.propose({ kind: 'life.report', life: worker.life }, Infinity)
  await scene.run(100)
  scene.log.propose({ kind: 'life.report', life: former }, Infinity)
  announce()
  await scene.run(3000)
  expect({ workers: Object.values(scene.log.state().workflows.workers).map(({ life, leaving }) => [life.id, life.bornAt, leaving]), doubled: listDoubled(scene.fleet.events) })
    .toMatchInlineSnapshot(`
      {
        "doubled": [],
        "workers": [
          [
            "w1",
            2,
            undefined,
          ],
          [
            "w2",
            1,
            undefined,
          ],
        ],
      }
    `)
})

test('an announcement is answered in time although the worker is not reached, and again when it is repeated', async () => {
  const { scene, worker, announce } = await createLeavingScene()
  worker.reachable = false
  const answers: unknown[] = []
  const announceAgain = (): unknown => announce().then((answer) => answers.push(answer.val))
  announceAgain()
  await scene.run(800)
  announceAgain()
  await scene.run(800)
  expect(answers).toMatchInlineSnapshot(`
    [
      "recorded",
      "recorded",
    ]
  `)
})
