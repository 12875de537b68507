import { expect, test } from 'vitest'
import type { Decision } from '../../src/coordination/placement/index.js'
import { createScript, createTask, GB, renderDecisions, type Script } from './helpers.js'

const LARGE = { cores: 1, memoryBytes: 60 * GB, accelerators: 0 }

function setQuota (script: Script, member: string, cores: number, memory: number): void {
  script.observe({ kind: 'member', member, weight: 1, quota: { cores, memoryBytes: memory * GB, accelerators: 0 } })
}

/** Two tasks of `owner` fill the memory of the only worker. */
function createFullWorker (owner: string, isolated = false): Script {
  const script = createScript(1)
  script.setPolicy('ordinary', { safetyMargin: 0 })
  script.queue(createTask('x-0', { member: owner, jobClass: 'x', size: LARGE }), createTask('y-0', { member: owner, jobClass: 'y', size: LARGE }))
  expect(script.decide()).toHaveLength(2)
  if (isolated) script.setPolicy('ordinary', { safetyMargin: 0 }, true)
  return script
}

test('an alternative of the same cost is explained as one of a higher cost', () => {
  const script = createScript(3)
  script.queue(createTask('a-0'))
  const [start] = script.decide()
  const alternatives = start?.kind === 'start' ? start.reason.alternatives : []
  expect(alternatives).toMatchInlineSnapshot(`
    [
      {
        "rejectedBecause": "equal cost, looked at later",
        "score": 0.005454,
        "worker": "w1",
      },
      {
        "rejectedBecause": "equal cost, looked at later",
        "score": 0.005454,
        "worker": "w2",
      },
    ]
  `)
})

test('an urgent task uses the headroom that batch tasks may not', () => {
  const script = createScript(1)
  script.setPolicy('ordinary', { safetyMargin: 0 })
  script.queue(createTask('a-0', { size: { cores: 25, memoryBytes: GB, accelerators: 0 } }), createTask('b-0', { jobClass: 'b', size: { cores: 5, memoryBytes: GB, accelerators: 0 } }),
    createTask('u-0', { jobClass: 'u', urgent: true, size: { cores: 5, memoryBytes: GB, accelerators: 0 } }))
  expect(script.decide().map((decision) => 'task' in decision ? decision.task : '')).toEqual(['u-0', 'a-0'])
})

test('an urgent task that lacks cores is started at once beside throttled batch tasks', () => {
  const script = createScript(1)
  script.setPolicy('ordinary', { safetyMargin: 0, batchShare: 1 })
  script.queue(createTask('a-0', { size: { cores: 30, memoryBytes: GB, accelerators: 0 } }))
  script.decide()
  script.queue(createTask('u-0', { jobClass: 'u', urgent: true, size: { cores: 6, memoryBytes: GB, accelerators: 0 } }))
  expect(renderDecisions(script.decide(100))).toMatchInlineSnapshot(`
    [
      "throttle task=a-0 worker=w0 share=0.8666666666666667 "throttled to make room for the urgent task u-0"",
      "start task=u-0 worker=w0 size={"cores":6,"memoryBytes":1000000000,"accelerators":0} "urgent: room was made by throttling; size declared"",
    ]
  `)
})

test('an urgent task that lacks memory displaces batch tasks and starts within 3.2 s of its arrival', () => {
  const script = createFullWorker('rival')
  setQuota(script, 'clinic', 32, 125)
  script.queue(createTask('u-0', { member: 'clinic', jobClass: 'u', urgent: true, size: { cores: 1, memoryBytes: 8 * GB, accelerators: 0 } }))
  const queuedAt = script.now
  const stops = script.decide(250)
  expect(renderDecisions(stops)).toMatchInlineSnapshot(`
    [
      "stop task=x-0 worker=w0 cause=priority causingMember=clinic causingTask=u-0 "stopped for the urgent task u-0"",
    ]
  `)
  expect(script.decide(250)).toEqual([])
  script.now += 2000
  script.observe({ kind: 'task-ended', task: 'x-0', worker: 'w0', result: 'stopped' })
  expect(script.decide(250).map(({ kind }) => kind)).toEqual(['start'])
  expect(script.now - queuedAt).toBeLessThan(3200)
})

test('a member above its quota never displaces a rival, only its own tasks', () => {
  const urgent = { jobClass: 'u', urgent: true, size: { cores: 1, memoryBytes: 8 * GB, accelerators: 0 } }
  const rival = createFullWorker('rival')
  setQuota(rival, 'clinic', 32, 4)
  rival.queue(createTask('u-0', { ...urgent, member: 'clinic' }))
  expect(rival.decide()).toEqual([])
  const own = createFullWorker('clinic')
  setQuota(own, 'clinic', 32, 4)
  own.queue(createTask('u-0', { ...urgent, member: 'clinic' }))
  expect(own.decide().map(({ kind }) => kind)).toEqual(['stop'])
})

test('the isolation rules evict nothing for an urgent task', () => {
  const script = createFullWorker('rival', true)
  script.queue(createTask('u-0', { member: 'clinic', jobClass: 'u', urgent: true, size: { cores: 1, memoryBytes: 8 * GB, accelerators: 0 } }))
  expect(script.decide()).toEqual([])
})

test('a long wait of a member below its quota displaces one above, by cause quota', () => {
  const script = createFullWorker('hog')
  setQuota(script, 'hog', 1, 10)
  setQuota(script, 'modest', 32, 125)
  script.queue(createTask('m-0', { member: 'modest', jobClass: 'm', size: { cores: 1, memoryBytes: 30 * GB, accelerators: 0 } }))
  expect(script.decide()).toEqual([])
  expect(renderDecisions(script.decide(200_000))).toMatchInlineSnapshot(`
    [
      "stop task=x-0 worker=w0 cause=quota causingMember=modest causingTask=m-0 "stopped for m-0 of modest, which is below its quota"",
    ]
  `)
})

test('a burst of 10,000 tasks of one member delays no task of another', () => {
  const script = createScript(4)
  script.queue(...Array.from({ length: 10_000 }, (_, index) => createTask(`burst-${index}`, { member: 'flood' })))
  const started = performance.now()
  Array.from({ length: 50 }, () => script.decide(200))
  const perDecideMs = (performance.now() - started) / 50
  script.queue(createTask('small-0', { member: 'other', jobClass: 'small' }))
  script.observe({ kind: 'task-ended', task: 'burst-0', worker: 'w0', result: 'succeeded' })
  const decisions = script.decide()
  expect(decisions[0]).toMatchObject({ kind: 'start', task: 'small-0' })
  // The waiting tasks of one shape are examined once, so the burst costs no more than a few tasks.
  expect(perDecideMs).toBeLessThan(20)
})

test('small tasks do not starve a large one, because a worker is reserved for it', () => {
  const script = createScript(2)
  script.setPolicy('ordinary', { safetyMargin: 0 })
  const running: Array<{ task: string, worker: string }> = []
  let next = 0
  let started = 0
  // Four small tasks always wait, and one task ends in each step.
  const runStep = (): Decision[] => {
    while (next - started < 4) script.queue(createTask(`s${next}-0`, { jobClass: `s${next++}`, size: { cores: 6, memoryBytes: GB, accelerators: 0 } }))
    const ended = running.shift()
    if (ended !== undefined) script.observe({ kind: 'task-ended', ...ended, result: 'succeeded' })
    const decisions = script.decide(4000)
    decisions.forEach((decision) => {
      if (decision.kind !== 'start') return
      started += 1
      running.push({ task: decision.task, worker: decision.worker })
    })
    return decisions
  }
  Array.from({ length: 10 }, runStep)
  script.queue(createTask('large-0', { member: 'other', jobClass: 'large', size: { cores: 24, memoryBytes: GB, accelerators: 0 } }))
  const startedAt = Array.from({ length: 60 }, runStep).findIndex((decisions) => decisions.some((decision) => decision.kind === 'start' && decision.task === 'large-0'))
  expect(startedAt).toBeGreaterThan(0)
})

test('tasks of a job and replicas of a service are spread over racks', () => {
  const script = createScript(24)
  script.queue(...Array.from({ length: 6 }, (_, index) => createTask(`desk-${index}`, { service: 'desk', jobClass: 'desk' })))
  const racks = script.decide().map((decision) => 'worker' in decision ? Math.floor(Number(decision.worker.slice(1)) / 8) : -1)
  expect(racks.sort()).toEqual([0, 0, 1, 1, 2, 2])
})

test('a draining worker receives nothing and is emptied at checkpoints, within the allowance', () => {
  const script = createScript(1)
  script.setPolicy('maintenance')
  script.queue(...['a', 'b', 'c'].map((name) => createTask(`${name}-0`, { jobClass: name, expectedRunMs: 600_000 })))
  script.decide()
  script.observe({ kind: 'worker-drain', worker: 'w0' })
  script.queue(createTask('d-0'))
  expect(renderDecisions(script.decide())).toMatchInlineSnapshot(`
    [
      "checkpoint task=a-0 worker=w0 "checkpoint before a move: w0 drains"",
      "checkpoint task=b-0 worker=w0 "checkpoint before a move: w0 drains"",
    ]
  `)
  expect(script.decide()).toEqual([])
  script.observe({ kind: 'task-checkpointed', task: 'a-0', worker: 'w0' })
  expect(renderDecisions(script.decide())).toMatchInlineSnapshot(`
    [
      "stop task=a-0 worker=w0 cause=drain causingMember=parish causingTask=a-0 "w0 drains; its checkpoint is complete"",
    ]
  `)
})

test('presets visibly change decisions: the same work is placed, held back or counted larger', () => {
  const outcomes = ['ordinary', 'peak', 'maintenance'].map((preset) => {
    const script = createScript(1)
    script.setPolicy(preset)
    script.queue(...Array.from({ length: 6 }, (_, index) => createTask(`j${index}-0`, { jobClass: `c${index}`, size: { cores: 4, memoryBytes: GB, accelerators: 0 } })))
    const starts = script.decide()
    const [explanation] = script.placement.explain({ kind: 'preset', id: preset })
    return { preset, started: starts.length, cores: starts.map((start) => 'size' in start ? start.size.cores : 0)[0], revision: explanation?.reason.revision }
  })
  expect(outcomes).toMatchInlineSnapshot(`
    [
      {
        "cores": 6,
        "preset": "ordinary",
        "revision": 2,
        "started": 4,
      },
      {
        "cores": 7.2,
        "preset": "peak",
        "revision": 2,
        "started": 2,
      },
      {
        "cores": 6,
        "preset": "maintenance",
        "revision": 2,
        "started": 3,
      },
    ]
  `)
})

test('explanations are bounded for each subject and sum older ones up', () => {
  const script = createScript(3)
  for (let index = 0; index < 300; index++) {
    script.queue(createTask(`t${index}-0`, { jobClass: `c${index % 7}` }))
    script.decide().forEach((decision) => {
      if (decision.kind === 'start') script.observe({ kind: 'task-ended', task: decision.task, worker: decision.worker, result: 'succeeded' })
    })
  }
  const kept = script.placement.explain({ kind: 'preset', id: 'ordinary' })
  expect(kept).toHaveLength(200)
  expect(kept.reduce((sum, { repeated }) => sum + repeated, 0)).toBe(300)
  expect(kept.at(-1)?.task).toBe('t299-0')
})
