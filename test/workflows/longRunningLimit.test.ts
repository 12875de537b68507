import { expect, test } from 'vitest'
import { DEFAULT_COMPETITION } from '../../src/coordination/workflows/competition.js'
import { canAdmitLongRunning, createShortDemand } from '../../src/coordination/workflows/longRunningLimit.js'
import type { Step, Workflow } from '../../src/state/index.js'
import { createScene, STEP } from './support.js'

const createWorkflow = (...steps: Array<Partial<Step>>): Workflow => ({ id: 'w', command: '', steps: steps.map((step) => ({ ...STEP, ...step })) })

test('the demand counts accepted short work of the last ten seconds, without best-effort and long-running steps', () => {
  const demand = createShortDemand()
  const accept = (at: number, ...steps: Array<Partial<Step>>): void => demand.recordAccepted('desk', createWorkflow(...steps), at)
  accept(0, { count: 10, cores: 2, expectedRunMs: 700 })
  accept(5000, { count: 10, cores: 2, expectedRunMs: 700 }, { fills: true, count: 50, cores: 4 }, { lasting: true, count: 5, cores: 4 })
  expect([demand.get('desk', 6000), demand.get('desk', 12_000), demand.get('desk', 16_000), demand.get('other', 6000)]).toEqual([6, 3, 0, 0])
})

test('long-running work is limited only beside short work, and other work never', () => {
  const load = { cores: 100, longRunningCores: 80, shortDemandCores: 15 }
  const admit = (step: Partial<Step>, more: Partial<typeof load> = {}): boolean => canAdmitLongRunning({ ...load, ...more }, createWorkflow(step))
  expect([
    admit({ lasting: true, count: 1, cores: 5 }),
    admit({ lasting: true, count: 2, cores: 5 }),
    admit({ lasting: true, count: 2, cores: 5 }, { shortDemandCores: 0 }),
    admit({ count: 50, cores: 5 })
  ]).toEqual([true, false, true, true])
})

// Guards against long-running tasks that take each core as it becomes free and keep it, while short work is late for minutes.
test('short workflows end in time although callers submit more long-running work than the pool can hold', async () => {
  const play = async (longRunningLimit: boolean): Promise<{ inTime: number, started: number }> => {
    const scene = await createScene(['w1', 'w2', 'w3', 'w4'], undefined, { competition: { ...DEFAULT_COMPETITION, longRunningLimit } })
    scene.fleet.plan = (task) => task.startsWith('service') ? { runMs: 0, result: 'never' } : { runMs: 500, result: 'succeeded' }
    const submittedAt = new Map<string, number>()
    for (let round = 0; round < 60; round += 1) {
      submittedAt.set(`short${round}`, scene.clock.now())
      await scene.submit(`short${round}`, [{ count: 10, cores: 3, expectedRunMs: 500 }])
      if (round > 10 && round % 3 === 0) await scene.submit(`service${round}`, [{ lasting: true, count: 3, cores: 4 }])
      await scene.run(300)
    }
    await scene.run(3000)
    const endedAt = new Map(scene.listEvents('ended').toSorted((a, b) => a.at - b.at).map(({ task, at }) => [task.split('.')[0], at]))
    const inTime = [...submittedAt].filter(([id, at]) => (endedAt.get(id) ?? Infinity) - at <= 1000).length
    return { inTime, started: scene.listEvents('started').filter(({ task }) => task.startsWith('service')).length }
  }
  const [limited, unlimited] = [await play(true), await play(false)]
  expect([limited.inTime >= 57, limited.inTime > unlimited.inTime, limited.started > 0]).toEqual([true, true, true])
})
