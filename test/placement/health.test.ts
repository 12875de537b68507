import { expect, test } from 'vitest'
import type { Decision } from '../../src/coordination/placement/index.js'
import { createScript, createTask, renderDecisions, type Script } from './helpers.js'

/** Runs tasks for some rounds; `isFailing` tells whether a class fails on a worker. */
function runRounds (script: Script, rounds: number, isFailing: (worker: string, jobClass: string) => boolean): Decision[] {
  const classes = ['a', 'b', 'c']
  const all: Decision[] = []
  for (let round = 0; round < rounds; round++) {
    script.queue(...classes.map((jobClass) => createTask(`${jobClass}${round}${script.now}-0`, { jobClass })))
    const decisions = script.decide()
    all.push(...decisions)
    script.now += 1500
    decisions.forEach((decision) => {
      if (decision.kind !== 'start') return
      const result = isFailing(decision.worker, decision.task[0] as string) ? 'failed' : 'succeeded'
      script.observe({ kind: 'task-ended', task: decision.task, worker: decision.worker, result })
    })
  }
  return all
}

test('a worker that fails everything is quarantined, probed and returned gradually', () => {
  const script = createScript(3)
  runRounds(script, 10, () => false)
  const failing = runRounds(script, 30, (worker) => worker === 'w1')
  expect(renderDecisions(failing.filter(({ kind }) => kind === 'quarantine' || kind === 'probe'))).toMatchInlineSnapshot(`
    [
      "quarantine worker=w1 "fails tasks of classes that succeed elsewhere"",
      "probe worker=w1 "its quarantine is over; it receives one task"",
      "quarantine worker=w1 "fails tasks of classes that succeed elsewhere"",
    ]
  `)
  expect(failing.filter((decision) => decision.kind === 'start' && decision.worker === 'w1').length).toBeLessThanOrEqual(6)
  const recovered = runRounds(script, 120, () => false)
  expect(recovered.filter(({ kind }) => kind === 'probe').length).toBeGreaterThan(0)
  expect(recovered.slice(-60).some((decision) => decision.kind === 'start' && decision.worker === 'w1')).toBe(true)
})

test('a class that fails everywhere quarantines no worker and gets single trials', () => {
  const script = createScript(4)
  const decisions = runRounds(script, 60, (_, jobClass) => jobClass === 'b')
  expect(decisions.filter(({ kind }) => kind === 'quarantine')).toEqual([])
  const starts = decisions.filter((decision) => decision.kind === 'start' && decision.task.startsWith('b'))
  expect(starts.length).toBeLessThan(12)
  script.queue(createTask('last-0', { jobClass: 'b' }))
  script.decide(0)
  expect(script.placement.explain({ kind: 'task', id: 'last-0' }).map(({ reason }) => reason.summary)).toEqual(['waits: class b fails on every worker; next trial later'])
})

test('classes that all fail everywhere quarantine no worker, because none of them has succeeded elsewhere', () => {
  const script = createScript(4)
  const decisions = runRounds(script, 60, () => true)
  expect(decisions.filter(({ kind }) => kind === 'quarantine')).toEqual([])
})

test('a worker that flaps is quarantined and receives one task at first', () => {
  const script = createScript(1)
  const decisions: Decision[] = []
  for (let loss = 0; loss < 3; loss++) {
    script.observe({ kind: 'worker-down', worker: 'w0' })
    decisions.push(...script.decide(5000))
    script.observe({ kind: 'worker-up', worker: 'w0', rack: 'r0', availabilityZone: 'almendral', capacity: { cores: 32, memoryBytes: 125e9, accelerators: 0 } })
    decisions.push(...script.decide(5000))
  }
  script.queue(...['a', 'b', 'c'].map((name) => createTask(`${name}-0`, { jobClass: name })))
  expect(renderDecisions(decisions)).toMatchInlineSnapshot(`
    [
      "quarantine worker=w0 "was lost 3 times within 10 min"",
    ]
  `)
  expect(script.decide().map(({ kind }) => kind)).toEqual([])
  expect(script.decide(40_000).map(({ kind }) => kind)).toEqual(['probe', 'start'])
})
