import { expect, test } from 'vitest'
import type { Decision } from '../../src/coordination/placement/index.js'
import { createScenario, createTask, GB, renderDecisions, type PlacementScenario } from './helpers.js'

const LARGE = { cores: 1, memoryBytes: 60 * GB, accelerators: 0 }

function setQuota (scenario: PlacementScenario, member: string, cores: number, memory: number): void {
  scenario.observe({ kind: 'member', member, weight: 1, quota: { cores, memoryBytes: memory * GB, accelerators: 0 } })
}

/** One worker whose memory is nearly used up by two tasks of `owner`; `isolated` puts the isolation rules in force after their start. */
function createFullWorker (owner: string, isolated = false): PlacementScenario {
  const scenario = createScenario(1)
  scenario.setPolicy('ordinary', { safetyMargin: 0 })
  scenario.queue(createTask('x-0', { member: owner, jobClass: 'x', size: LARGE }), createTask('y-0', { member: owner, jobClass: 'y', size: LARGE }))
  expect(scenario.decide()).toHaveLength(2)
  if (isolated) scenario.setPolicy('ordinary', { safetyMargin: 0 }, true)
  return scenario
}

// The chosen worker is the first with the lowest cost; the reason would contradict the shown scores if it called the others more expensive.
test('an alternative of the same cost as the chosen worker is explained as one of equal cost', () => {
  const scenario = createScenario(3)
  scenario.queue(createTask('a-0'))
  const [start] = scenario.decide()
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

test('an urgent task may use the cores that the batch share keeps free of batch tasks', () => {
  const scenario = createScenario(1)
  scenario.setPolicy('ordinary', { safetyMargin: 0 })
  scenario.queue(createTask('a-0', { size: { cores: 25, memoryBytes: GB, accelerators: 0 } }), createTask('b-0', { jobClass: 'b', size: { cores: 5, memoryBytes: GB, accelerators: 0 } }),
    createTask('u-0', { jobClass: 'u', urgent: true, size: { cores: 5, memoryBytes: GB, accelerators: 0 } }))
  expect(scenario.decide().map((decision) => 'task' in decision ? decision.task : '')).toEqual(['u-0', 'a-0'])
})

// Cores can be reclaimed from running tasks, so an eviction would lose their work without need.
test('an urgent task for which cores are missing starts at once, and batch tasks are throttled to free them', () => {
  const scenario = createScenario(1)
  scenario.setPolicy('ordinary', { safetyMargin: 0, batchShare: 1 })
  scenario.queue(createTask('a-0', { size: { cores: 30, memoryBytes: GB, accelerators: 0 } }))
  scenario.decide()
  scenario.queue(createTask('u-0', { jobClass: 'u', urgent: true, size: { cores: 6, memoryBytes: GB, accelerators: 0 } }))
  expect(renderDecisions(scenario.decide(100))).toMatchInlineSnapshot(`
    [
      "throttle task=a-0 worker=w0 share=0.8666666666666667 "throttled to make room for the urgent task u-0"",
      "start task=u-0 worker=w0 size={"cores":6,"memoryBytes":1000000000,"accelerators":0} "urgent: room was made by throttling; size declared"",
    ]
  `)
})

// Memory cannot be reclaimed from running tasks, so one has to stop. Its stop takes 2 s here, and the urgent task has to start with the next decision.
test('an urgent task for which memory is missing evicts a batch task and starts within 3.2 s of its arrival', () => {
  const scenario = createFullWorker('rival')
  setQuota(scenario, 'clinic', 32, 125)
  scenario.queue(createTask('u-0', { member: 'clinic', jobClass: 'u', urgent: true, size: { cores: 1, memoryBytes: 8 * GB, accelerators: 0 } }))
  const queuedAt = scenario.now
  const stops = scenario.decide(250)
  expect(renderDecisions(stops)).toMatchInlineSnapshot(`
    [
      "stop task=x-0 worker=w0 cause=priority causingMember=clinic causingTask=u-0 "stopped for the urgent task u-0"",
    ]
  `)
  expect(scenario.decide(250)).toEqual([])
  scenario.now += 2000
  scenario.observe({ kind: 'task-ended', task: 'x-0', worker: 'w0', result: 'stopped' })
  expect(scenario.decide(250).map(({ kind }) => kind)).toEqual(['start'])
  expect(scenario.now - queuedAt).toBeLessThan(3200)
})

// Otherwise a member could use urgent tasks to drive the tasks of other members away, beyond its quota.
test('an urgent task of a member above its quota evicts only tasks of that member, never of another', () => {
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

test('under the isolation rules, nothing is evicted for an urgent task', () => {
  const scenario = createFullWorker('rival', true)
  scenario.queue(createTask('u-0', { member: 'clinic', jobClass: 'u', urgent: true, size: { cores: 1, memoryBytes: 8 * GB, accelerators: 0 } }))
  expect(scenario.decide()).toEqual([])
})

test('after a long wait, a task of a member below its quota evicts one of a member above its quota, with the cause quota', () => {
  const scenario = createFullWorker('hog')
  setQuota(scenario, 'hog', 1, 10)
  setQuota(scenario, 'modest', 32, 125)
  scenario.queue(createTask('m-0', { member: 'modest', jobClass: 'm', size: { cores: 1, memoryBytes: 30 * GB, accelerators: 0 } }))
  expect(scenario.decide()).toEqual([])
  expect(renderDecisions(scenario.decide(200_000))).toMatchInlineSnapshot(`
    [
      "stop task=x-0 worker=w0 cause=quota causingMember=modest causingTask=m-0 "stopped for m-0 of modest, which is below its quota"",
    ]
  `)
})

// If every waiting task were examined in each decision, a burst of one member would hold up the decisions for all members.
test('a burst of 10,000 tasks of one member delays no task of another, and a decision takes less than 20 ms on average', () => {
  const scenario = createScenario(4)
  scenario.queue(...Array.from({ length: 10_000 }, (_, index) => createTask(`burst-${index}`, { member: 'flood' })))
  const started = performance.now()
  Array.from({ length: 50 }, () => scenario.decide(200))
  const perDecideMs = (performance.now() - started) / 50
  scenario.queue(createTask('small-0', { member: 'other', jobClass: 'small' }))
  scenario.observe({ kind: 'task-ended', task: 'burst-0', worker: 'w0', result: 'succeeded' })
  const decisions = scenario.decide()
  expect(decisions[0]).toMatchObject({ kind: 'start', task: 'small-0' })
  // Of waiting tasks that are equal in all properties that matter for placement, only the oldest is examined, so the burst costs no more than a few tasks.
  expect(perDecideMs).toBeLessThan(20)
})

// Small tasks fit as soon as any task ends. Without a reservation they would take all free capacity before it suffices for the large task.
test('a large task starts although small tasks keep arriving, because a worker is reserved for it', () => {
  const scenario = createScenario(2)
  scenario.setPolicy('ordinary', { safetyMargin: 0 })
  const running: Array<{ task: string, worker: string }> = []
  let next = 0
  let started = 0
  // Four small tasks always wait, and one task ends in each step.
  const runStep = (): Decision[] => {
    while (next - started < 4) scenario.queue(createTask(`s${next}-0`, { jobClass: `s${next++}`, size: { cores: 6, memoryBytes: GB, accelerators: 0 } }))
    const ended = running.shift()
    if (ended !== undefined) scenario.observe({ kind: 'task-ended', ...ended, result: 'succeeded' })
    const decisions = scenario.decide(4000)
    decisions.forEach((decision) => {
      if (decision.kind !== 'start') return
      started += 1
      running.push({ task: decision.task, worker: decision.worker })
    })
    return decisions
  }
  Array.from({ length: 10 }, runStep)
  scenario.queue(createTask('large-0', { member: 'other', jobClass: 'large', size: { cores: 24, memoryBytes: GB, accelerators: 0 } }))
  const startedAt = Array.from({ length: 60 }, runStep).findIndex((decisions) => decisions.some((decision) => decision.kind === 'start' && decision.task === 'large-0'))
  expect(startedAt).toBeGreaterThan(0)
})

// Otherwise the loss of one rack could stop most replicas of a service at once.
test('replicas of a service, as tasks of one job, are spread evenly over racks', () => {
  const scenario = createScenario(24)
  scenario.queue(...Array.from({ length: 6 }, (_, index) => createTask(`desk-${index}`, { service: 'desk', jobClass: 'desk' })))
  const racks = scenario.decide().map((decision) => 'worker' in decision ? Math.floor(Number(decision.worker.slice(1)) / 8) : -1)
  expect(racks.sort()).toEqual([0, 0, 1, 1, 2, 2])
})

// Stops of all tasks at once would exceed the eviction limit, and stops without checkpoints would lose work.
test('a draining worker receives no tasks, and its own are moved by checkpoint and stop within the eviction limit', () => {
  const scenario = createScenario(1)
  scenario.setPolicy('maintenance')
  scenario.queue(...['a', 'b', 'c'].map((name) => createTask(`${name}-0`, { jobClass: name, expectedRunMs: 600_000 })))
  scenario.decide()
  scenario.observe({ kind: 'worker-drain', worker: 'w0' })
  scenario.queue(createTask('d-0'))
  expect(renderDecisions(scenario.decide())).toMatchInlineSnapshot(`
    [
      "checkpoint task=a-0 worker=w0 "checkpoint before a move: w0 drains"",
      "checkpoint task=b-0 worker=w0 "checkpoint before a move: w0 drains"",
    ]
  `)
  expect(scenario.decide()).toEqual([])
  scenario.observe({ kind: 'task-checkpointed', task: 'a-0', worker: 'w0' })
  expect(renderDecisions(scenario.decide())).toMatchInlineSnapshot(`
    [
      "stop task=a-0 worker=w0 cause=drain causingMember=parish causingTask=a-0 "w0 drains; its checkpoint is complete"",
    ]
  `)
})

test('presets change how many of the same tasks start and how large they are counted', () => {
  const outcomes = ['ordinary', 'peak', 'maintenance'].map((preset) => {
    const scenario = createScenario(1)
    scenario.setPolicy(preset)
    scenario.queue(...Array.from({ length: 6 }, (_, index) => createTask(`j${index}-0`, { jobClass: `c${index}`, size: { cores: 4, memoryBytes: GB, accelerators: 0 } })))
    const starts = scenario.decide()
    const [explanation] = scenario.placement.explain({ kind: 'preset', id: preset })
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

// Without a limit, each decision under a preset would take more memory.
test('at most 200 explanations are kept for a subject, and the counts of older ones are added to those kept', () => {
  const scenario = createScenario(3)
  for (let index = 0; index < 300; index++) {
    scenario.queue(createTask(`t${index}-0`, { jobClass: `c${index % 7}` }))
    scenario.decide().forEach((decision) => {
      if (decision.kind === 'start') scenario.observe({ kind: 'task-ended', task: decision.task, worker: decision.worker, result: 'succeeded' })
    })
  }
  const kept = scenario.placement.explain({ kind: 'preset', id: 'ordinary' })
  expect(kept).toHaveLength(200)
  expect(kept.reduce((sum, { repeated }) => sum + repeated, 0)).toBe(300)
  expect(kept.at(-1)?.task).toBe('t299-0')
})

/** A worker that holds a batch task and has refused one of 20 GB, which shows that at most 18 GB of its 60 GB are free. */
function createRefusingWorker (): PlacementScenario {
  const scenario = createScenario(1, 1, { cores: 8, memoryBytes: 60 * GB, accelerators: 0 })
  scenario.setPolicy('ordinary', { safetyMargin: 0, batchShare: 1 })
  scenario.queue(createTask('a-0', { size: { cores: 8, memoryBytes: 10 * GB, accelerators: 0 } }))
  scenario.decide()
  scenario.queue(createTask('b-0', { jobClass: 'b', size: { cores: 0, memoryBytes: 20 * GB, accelerators: 0 } }))
  scenario.decide()
  scenario.observe({ kind: 'task-ended', task: 'b-0', worker: 'w0', result: 'refused' })
  scenario.decide(10_000)
  return scenario
}

// Throttles free cores only, so the worker would refuse the urgent task as well.
test('an urgent task does not start by throttles on a worker that has shown too little memory for it', () => {
  const start = (memory: number): string[] => {
    const scenario = createRefusingWorker()
    scenario.queue(createTask('u-0', { jobClass: 'u', urgent: true, size: { cores: 2, memoryBytes: memory * GB, accelerators: 0 } }))
    return scenario.decide(100).flatMap((decision) => decision.kind === 'start' || decision.kind === 'throttle' ? [`${decision.kind} ${decision.task}`] : [])
  }
  expect([start(10), start(30)]).toEqual([['throttle a-0', 'start u-0'], []])
})

// The reservation would keep other tasks off the worker although no eviction helps the waiting one.
test('no worker is reserved for a waiting task that fits there and is rejected for another reason', () => {
  const scenario = createScenario(1)
  scenario.setPolicy('ordinary', { safetyMargin: 0, batchShare: 0.5 })
  setQuota(scenario, 'hog', 1, 10)
  setQuota(scenario, 'modest', 32, 125)
  scenario.queue(createTask('h-0', { member: 'hog', jobClass: 'h', size: { cores: 14, memoryBytes: GB, accelerators: 0 } }))
  scenario.decide()
  scenario.queue(createTask('m-0', { member: 'modest', jobClass: 'm', size: { cores: 4, memoryBytes: GB, accelerators: 0 } }))
  expect(scenario.decide(200_000)).toEqual([])
  scenario.queue(createTask('s-0', { member: 'hog', jobClass: 's', size: { cores: 1, memoryBytes: GB, accelerators: 0 } }))
  expect(scenario.decide().map((decision) => 'task' in decision ? decision.task : '')).toEqual(['s-0'])
})

test('the wait after a refusal is explained as such, and not as an active guard', () => {
  const scenario = createScenario(1)
  scenario.queue(createTask('a-0'))
  scenario.decide()
  scenario.observe({ kind: 'task-ended', task: 'a-0', worker: 'w0', result: 'refused' })
  scenario.queue(createTask('b-0', { jobClass: 'b' }))
  scenario.decide()
  expect(scenario.placement.explain({ kind: 'task', id: 'b-0' }).at(-1)?.reason.summary).toBe('waits: its guard was active or it refused a task just before')
})
