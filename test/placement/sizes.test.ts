import { expect, test } from 'vitest'
import type { Decision, Observation } from '../../src/coordination/placement/index.js'
import { createScenario, createTask, GB, renderDecisions, type PlacementScenario } from './helpers.js'

function createUsageReport (task: string, worker: string, cores: number, memory: number, measuredAt: number): Observation {
  return { kind: 'usage', task, worker, cores, memoryBytes: memory * GB, measuredAt }
}

/** Runs `count` tasks of one class to their end, one after the other, each with one report of the same usage. */
function runTasks (scenario: PlacementScenario, count: number, cores: number, memory: number): void {
  for (let index = 0; index < count; index++) {
    const id = `past${index}-0`
    scenario.queue(createTask(id))
    const start = scenario.decide().find((decision) => decision.kind === 'start' && decision.task === id) as Extract<Decision, { kind: 'start' }>
    scenario.now += 2000
    scenario.observe(createUsageReport(id, start.worker, cores, memory, scenario.now - 500), { kind: 'task-ended', task: id, worker: start.worker, result: 'succeeded' })
  }
}

test('a declared size that is 4 times too large is replaced by the measured size after 12 tasks, and the reason names the size used', () => {
  const scenario = createScenario(2)
  scenario.queue(createTask('first-0'))
  const first = scenario.decide()
  scenario.observe({ kind: 'task-ended', task: 'first-0', worker: 'w0', result: 'succeeded' }, { kind: 'task-ended', task: 'first-0', worker: 'w1', result: 'succeeded' })
  runTasks(scenario, 12, 0.5, 1)
  scenario.queue(createTask('later-0'))
  const later = scenario.decide()
  const listFigures = (decisions: Decision[]): string[] => decisions.flatMap(({ reason }) => reason.figures.slice(0, 4).map(({ name, value, unit }) => `${name} ${value} ${unit}`))
  expect([listFigures(first), listFigures(later)]).toMatchInlineSnapshot(`
    [
      [
        "declared cores with margin 3 cores",
        "declared memory with margin 6 GB",
        "margin 0.5 ratio",
        "tasks measured 0 tasks",
      ],
      [
        "learned cores with margin 0.55 cores",
        "learned memory with margin 1.1 GB",
        "margin 0.1 ratio",
        "tasks measured 12 tasks",
      ],
    ]
  `)
})

// Otherwise a further task would be placed into memory that is already in use.
test('a task that uses more than declared counts with its measured usage from the first report on', () => {
  const scenario = createScenario(1)
  scenario.queue(createTask('big-0', { size: { cores: 4, memoryBytes: 20 * GB, accelerators: 0 } }))
  scenario.decide()
  scenario.now += 2000
  scenario.observe(createUsageReport('big-0', 'w0', 4, 80, scenario.now - 500))
  scenario.queue(createTask('next-0', { jobClass: 'other', size: { cores: 1, memoryBytes: 32 * GB, accelerators: 0 } }))
  expect(scenario.decide()).toEqual([])
  expect(scenario.placement.explain({ kind: 'task', id: 'next-0' }).at(-1)?.reason.summary).toBe('waits: no room in memoryBytes')
})

// When memory runs out, any task of the worker may fail. One is stopped in time, and it has to be the one that exceeds its declaration.
test('when the tasks of a worker use up its memory, the one that exceeds its declaration is stopped and named as the cause', () => {
  const scenario = createScenario(1)
  scenario.queue(createTask('a-0', { member: 'one', size: { cores: 1, memoryBytes: 30 * GB, accelerators: 0 } }), createTask('b-0', { member: 'two', size: { cores: 1, memoryBytes: 30 * GB, accelerators: 0 } }))
  scenario.decide()
  scenario.now += 2000
  scenario.observe(createUsageReport('a-0', 'w0', 1, 30, scenario.now - 500), createUsageReport('b-0', 'w0', 1, 96, scenario.now - 500))
  expect(renderDecisions(scenario.decide())).toMatchInlineSnapshot(`
    [
      "stop task=b-0 worker=w0 cause=capacity causingMember=two causingTask=b-0 "b-0 uses more memory than declared and its worker is full"",
    ]
  `)
  expect(scenario.decide()).toEqual([])
})

// Cores can be reclaimed by a throttle, so an eviction would lose work without need.
test('when the tasks of a worker need more cores than it has, the one that exceeds its declaration is throttled, not evicted', () => {
  const scenario = createScenario(1)
  scenario.queue(createTask('a-0', { size: { cores: 10, memoryBytes: GB, accelerators: 0 } }), createTask('b-0', { jobClass: 'other', size: { cores: 5, memoryBytes: GB, accelerators: 0 } }))
  scenario.decide()
  scenario.now += 2000
  scenario.observe(createUsageReport('a-0', 'w0', 10, 1, scenario.now - 500), createUsageReport('b-0', 'w0', 20, 1, scenario.now - 500))
  expect(renderDecisions(scenario.decide())).toMatchInlineSnapshot(`
    [
      "throttle task=b-0 worker=w0 share=0.6181818181818182 "throttled: its worker holds larger tasks than were declared"",
    ]
  `)
})

// The guard is the worker's own overload protection, which throttles or refuses tasks. A task placed while it acts would be throttled or refused as well.
test('no task is placed on a worker while its guard is active, nor within 10 s of its activation', () => {
  const scenario = createScenario(1)
  scenario.observe({ kind: 'guard', worker: 'w0', active: true })
  scenario.queue(createTask('a-0'))
  expect(scenario.decide()).toEqual([])
  expect(scenario.placement.explain({ kind: 'task', id: 'a-0' }).at(-1)?.reason.summary).toBe('waits: its guard is active')
  scenario.observe({ kind: 'guard', worker: 'w0', active: false })
  expect(scenario.decide()).toEqual([])
  expect(scenario.decide(10_000)).toHaveLength(1)
})
