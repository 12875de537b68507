import { expect, test } from 'vitest'
import type { Decision, Observation } from '../../src/coordination/placement/index.js'
import { createScript, createTask, GB, renderDecisions, type Script } from './helpers.js'

function report (task: string, worker: string, cores: number, memory: number, measuredAt: number): Observation {
  return { kind: 'usage', task, worker, cores, memoryBytes: memory * GB, measuredAt }
}

/** Runs `count` tasks of one class to their end, each with reports of the same usage. */
function runTasks (script: Script, count: number, cores: number, memory: number): void {
  for (let index = 0; index < count; index++) {
    const id = `past${index}-0`
    script.queue(createTask(id))
    const start = script.decide().find((decision) => decision.kind === 'start' && decision.task === id) as Extract<Decision, { kind: 'start' }>
    script.now += 2000
    script.observe(report(id, start.worker, cores, memory, script.now - 500), { kind: 'task-ended', task: id, worker: start.worker, result: 'succeeded' })
  }
}

test('a declaration that is 4 times too large stops counting as evidence accumulates, and the reason names the figure used', () => {
  const script = createScript(2)
  script.queue(createTask('first-0'))
  const first = script.decide()
  script.observe({ kind: 'task-ended', task: 'first-0', worker: 'w0', result: 'succeeded' }, { kind: 'task-ended', task: 'first-0', worker: 'w1', result: 'succeeded' })
  runTasks(script, 12, 0.5, 1)
  script.queue(createTask('later-0'))
  const later = script.decide()
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

test('a task larger than declared is counted at its real size at once, so that its worker is not overfilled', () => {
  const script = createScript(1)
  script.queue(createTask('big-0', { size: { cores: 4, memoryBytes: 20 * GB, accelerators: 0 } }))
  script.decide()
  script.now += 2000
  script.observe(report('big-0', 'w0', 4, 80, script.now - 500))
  script.queue(createTask('next-0', { jobClass: 'other', size: { cores: 1, memoryBytes: 32 * GB, accelerators: 0 } }))
  expect(script.decide()).toEqual([])
  expect(script.placement.explain({ kind: 'task', id: 'next-0' }).at(-1)?.reason.summary).toBe('waits: no room in memoryBytes')
})

test('a worker whose tasks outgrow its memory loses the task that grew, which names itself as the cause', () => {
  const script = createScript(1)
  script.queue(createTask('a-0', { member: 'one', size: { cores: 1, memoryBytes: 30 * GB, accelerators: 0 } }), createTask('b-0', { member: 'two', size: { cores: 1, memoryBytes: 30 * GB, accelerators: 0 } }))
  script.decide()
  script.now += 2000
  script.observe(report('a-0', 'w0', 1, 30, script.now - 500), report('b-0', 'w0', 1, 96, script.now - 500))
  expect(renderDecisions(script.decide())).toMatchInlineSnapshot(`
    [
      "stop task=b-0 worker=w0 cause=capacity causingMember=two causingTask=b-0 "b-0 uses more memory than declared and its worker is full"",
    ]
  `)
  expect(script.decide()).toEqual([])
})

test('a worker whose tasks outgrow its cores throttles the one that grew instead of evicting', () => {
  const script = createScript(1)
  script.queue(createTask('a-0', { size: { cores: 10, memoryBytes: GB, accelerators: 0 } }), createTask('b-0', { jobClass: 'other', size: { cores: 5, memoryBytes: GB, accelerators: 0 } }))
  script.decide()
  script.now += 2000
  script.observe(report('a-0', 'w0', 10, 1, script.now - 500), report('b-0', 'w0', 20, 1, script.now - 500))
  expect(renderDecisions(script.decide())).toMatchInlineSnapshot(`
    [
      "throttle task=b-0 worker=w0 share=0.6181818181818182 "throttled: its worker holds larger tasks than were declared"",
    ]
  `)
})

test('a refusal or throttle by a guard closes the worker for a while, and is no failure of the task', () => {
  const script = createScript(1)
  script.observe({ kind: 'guard', worker: 'w0', active: true })
  script.queue(createTask('a-0'))
  expect(script.decide()).toEqual([])
  expect(script.placement.explain({ kind: 'task', id: 'a-0' }).at(-1)?.reason.summary).toBe('waits: its guard is active')
  script.observe({ kind: 'guard', worker: 'w0', active: false })
  expect(script.decide()).toEqual([])
  expect(script.decide(10_000)).toHaveLength(1)
})
