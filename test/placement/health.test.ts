import { expect, test } from 'vitest'
import type { Decision } from '../../src/coordination/placement/index.js'
import { createScenario, createTask, renderDecisions, type PlacementScenario } from './helpers.js'

/** Queues one task of each class in each round, and ends every started task. `isFailing` tells whether a class fails on a worker. */
function runRounds (scenario: PlacementScenario, rounds: number, isFailing: (worker: string, jobClass: string) => boolean): Decision[] {
  const classes = ['a', 'b', 'c']
  const allDecisions: Decision[] = []
  for (let round = 0; round < rounds; round++) {
    scenario.queue(...classes.map((jobClass) => createTask(`${jobClass}${round}${scenario.now}-0`, { jobClass })))
    const decisions = scenario.decide()
    allDecisions.push(...decisions)
    scenario.now += 1500
    decisions.forEach((decision) => {
      if (decision.kind !== 'start') return
      const result = isFailing(decision.worker, decision.task[0] as string) ? 'failed' : 'succeeded'
      scenario.observe({ kind: 'task-ended', task: decision.task, worker: decision.worker, result })
    })
  }
  return allDecisions
}

test('a worker that fails every task is quarantined, probed, and gradually receives tasks again once they succeed', () => {
  const scenario = createScenario(3)
  runRounds(scenario, 10, () => false)
  const failing = runRounds(scenario, 30, (worker) => worker === 'w1')
  expect(renderDecisions(failing.filter(({ kind }) => kind === 'quarantine' || kind === 'probe'))).toMatchInlineSnapshot(`
    [
      "quarantine worker=w1 "fails tasks of classes that succeed elsewhere"",
      "probe worker=w1 "its quarantine is over; it receives one task"",
      "quarantine worker=w1 "fails tasks of classes that succeed elsewhere"",
    ]
  `)
  expect(failing.filter((decision) => decision.kind === 'start' && decision.worker === 'w1').length).toBeLessThanOrEqual(6)
  const recovered = runRounds(scenario, 120, () => false)
  expect(recovered.filter(({ kind }) => kind === 'probe').length).toBeGreaterThan(0)
  expect(recovered.slice(-60).some((decision) => decision.kind === 'start' && decision.worker === 'w1')).toBe(true)
})

// Failures of such a class say nothing about the workers; quarantines for them would take healthy workers away from the other classes.
test('a job class that fails on every worker causes no quarantine and is started in single trials only', () => {
  const scenario = createScenario(4)
  const decisions = runRounds(scenario, 60, (_, jobClass) => jobClass === 'b')
  expect(decisions.filter(({ kind }) => kind === 'quarantine')).toEqual([])
  const starts = decisions.filter((decision) => decision.kind === 'start' && decision.task.startsWith('b'))
  expect(starts.length).toBeLessThan(12)
  scenario.queue(createTask('last-0', { jobClass: 'b' }))
  scenario.decide(0)
  expect(scenario.placement.explain({ kind: 'task', id: 'last-0' }).map(({ reason }) => reason.summary)).toEqual(['waits: class b fails on every worker; next trial later'])
})

// A failure counts against a worker only if tasks of the same class succeed on others; otherwise a faulty release of all classes would quarantine every worker.
test('no worker is quarantined while every job class fails on every worker', () => {
  const scenario = createScenario(4)
  const decisions = runRounds(scenario, 60, () => true)
  expect(decisions.filter(({ kind }) => kind === 'quarantine')).toEqual([])
})

test('a worker that is lost repeatedly is quarantined, then receives a single task as a probe', () => {
  const scenario = createScenario(1)
  const decisions: Decision[] = []
  for (let loss = 0; loss < 3; loss++) {
    scenario.observe({ kind: 'worker-down', worker: 'w0' })
    decisions.push(...scenario.decide(5000))
    scenario.observe({ kind: 'worker-up', worker: 'w0', rack: 'r0', availabilityZone: 'almendral', capacity: { cores: 32, memoryBytes: 125e9, accelerators: 0 } })
    decisions.push(...scenario.decide(5000))
  }
  scenario.queue(...['a', 'b', 'c'].map((name) => createTask(`${name}-0`, { jobClass: name })))
  expect(renderDecisions(decisions)).toMatchInlineSnapshot(`
    [
      "quarantine worker=w0 "was lost 3 times within 10 min"",
    ]
  `)
  expect(scenario.decide().map(({ kind }) => kind)).toEqual([])
  expect(scenario.decide(40_000).map(({ kind }) => kind)).toEqual(['probe', 'start'])
})
