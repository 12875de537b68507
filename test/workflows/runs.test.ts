import { expect, test } from 'vitest'
import type { RunEvent } from '../../src/fakes/runFleet.js'
import type { WorkerIncarnation } from '../../src/state/index.js'
import { createScene, type Scene } from './support.js'

function getOutcome ({ log }: Scene, id: string): string | undefined {
  return log.state().workflows.workflows[id]?.outcome
}

/** Pairs of runs of one task that overlap in time. */
function findOverlaps (events: RunEvent[]): string[] {
  const ends = events.filter(({ kind }) => kind === 'ended')
  const runs = events.filter(({ kind }) => kind === 'started').map((start) => ({
    ...start, until: ends.find(({ worker, task, attempt }) => worker === start.worker && task === start.task && attempt === start.attempt)?.at ?? Infinity
  }))
  return runs.flatMap((run, position) => runs.slice(position + 1)
    .filter((other) => other.task === run.task && other.at < run.until && run.at < other.until)
    .map((other) => `${run.task} on ${run.worker} and ${other.worker}`))
}

test('steps run in the order of their dependencies and the workflow completes', async () => {
  const scene = await createScene(['w1', 'w2'])
  expect(await scene.submit('a1', [{ count: 3 }, { count: 2, dependsOn: [0] }])).toEqual({ kind: 'accepted' })
  await scene.run(3000)
  const lastOfFirst = Math.max(...scene.listEvents('ended').filter(({ task }) => task.startsWith('a1.0.0.')).map(({ at }) => at))
  const firstOfSecond = Math.min(...scene.listEvents('started').filter(({ task }) => task.startsWith('a1.0.1.')).map(({ at }) => at))
  expect([getOutcome(scene, 'a1'), scene.listEvents('started').length, firstOfSecond > lastOfFirst]).toEqual(['completed', 5, true])
})

test('a run that ended while the answer to its start was lost is not started again', async () => {
  const scene = await createScene(['w1', 'w2'])
  scene.fleet.plan = () => ({ runMs: 300, result: 'succeeded' })
  const lost = new Set<string>()
  scene.fleet.workers.forEach((worker) => {
    // The answer to the poll that would report the end is lost as well.
    worker.fault = (kind) => {
      if (kind !== 'start' && (kind !== 'hold' || !lost.has('start') || lost.has('hold'))) return 'none'
      const isFirst = !lost.has(kind)
      lost.add(kind)
      return isFirst ? 'lost-answer' : 'none'
    }
  })
  await scene.submit('a1', [{ count: 1 }])
  await scene.run(6000)
  expect([getOutcome(scene, 'a1'), scene.listEvents('started').length]).toEqual(['completed', 1])
})

test('the tasks of an unreachable worker are assigned to others only after its lease has ended', async () => {
  const scene = await createScene(['w1', 'w2'])
  scene.fleet.plan = () => ({ runMs: 60_000, result: 'succeeded' })
  await scene.submit('a1', [{ count: 4 }])
  await scene.run(500)
  const unreachable = scene.fleet.workers.get('w1')
  const assigned = [...unreachable?.running.keys() ?? []]
  if (unreachable !== undefined) unreachable.reachable = false
  await scene.run(9000)
  const restarted = scene.listEvents('started').filter(({ attempt }) => attempt > 1).map(({ task }) => task).sort()
  if (unreachable !== undefined) unreachable.reachable = true
  await scene.run(2000)
  expect(restarted).toEqual(assigned.sort())
  expect(findOverlaps(scene.fleet.events)).toEqual([])
})

// Guards against waiting for a lease that the worker has shortened by itself.
test('the tasks of an unreachable worker are assigned to others sooner where workers grant shorter leases', async () => {
  const scene = await createScene(['w1', 'w2'], undefined, { maxLeaseMs: 2500 })
  scene.fleet.plan = () => ({ runMs: 5000, result: 'succeeded' })
  await scene.submit('a1', [{ count: 1, expectedRunMs: 5000 }])
  await scene.run(500)
  const first = scene.fleet.workers.get(scene.listEvents('started')[0]?.worker ?? '')
  if (first !== undefined) first.reachable = false
  await scene.run(5000)
  // The worker reports the end of the lease when it can be reached again.
  if (first !== undefined) first.reachable = true
  await scene.run(2000)
  expect([scene.listEvents('started').length, findOverlaps(scene.fleet.events)]).toEqual([2, []])
})

test('a start that is executed late does not make a task run twice', async () => {
  const scene = await createScene(['w1', 'w2'])
  scene.fleet.plan = () => ({ runMs: 4000, result: 'succeeded' })
  let late = 0
  scene.fleet.workers.forEach((worker) => {
    worker.fault = (kind) => kind === 'start' && late++ < 2 ? 'late' : 'none'
  })
  await scene.submit('a1', [{ count: 6 }])
  await scene.run(12_000)
  expect(findOverlaps(scene.fleet.events)).toEqual([])
  expect([getOutcome(scene, 'a1'), scene.listEvents('started').length]).toEqual(['completed', 6])
})

test('a cancelled workflow is stopped and none of its tasks starts again', async () => {
  const scene = await createScene(['w1'])
  scene.fleet.plan = () => ({ runMs: 60_000, result: 'succeeded' })
  await scene.submit('a1', [{ count: 3, lasting: true }])
  await scene.run(500)
  expect(await scene.send({ kind: 'cancel', address: { hostName: 'desk.example', path: '/quotes/a1' }, remainingMs: 1000, heldMs: 0 })).toEqual({ kind: 'accepted' })
  await scene.run(2000)
  expect([scene.fleet.workers.get('w1')?.running.size, scene.listEvents('started').length, scene.listEvents('acknowledged').length]).toEqual([0, 3, 3])
})

test('a task that fails as often as its queue allows fails the workflow, and no more often', async () => {
  const scene = await createScene(['w1', 'w2'])
  scene.fleet.plan = () => ({ runMs: 100, result: 'failed' })
  await scene.submit('a1', [{ count: 1 }])
  await scene.run(4000)
  expect([getOutcome(scene, 'a1'), scene.listEvents('started').length]).toEqual(['failed', 2])
})

test('a long-running task is restarted however it ends', async () => {
  const scene = await createScene(['w1', 'w2'])
  scene.fleet.plan = () => ({ runMs: 400, result: 'failed' })
  await scene.submit('a1', [{ count: 1, lasting: true }])
  await scene.run(2500)
  expect(getOutcome(scene, 'a1')).toBeUndefined()
  expect(scene.listEvents('started').length).toBeGreaterThan(3)
})

test('submitting a workflow again does not start its tasks again', async () => {
  const scene = await createScene(['w1'])
  await scene.submit('a1', [{ count: 2 }])
  expect(await scene.submit('a1', [{ count: 2 }])).toEqual({ kind: 'accepted' })
  await scene.run(2500)
  expect(await scene.submit('a1', [{ count: 2 }])).toEqual({ kind: 'accepted' })
  await scene.run(2500)
  expect(scene.listEvents('started').length).toBe(2)
})

test('no worker gets more tasks than fit its capacity', async () => {
  const scene = await createScene(['w1', 'w2'])
  await scene.submit('a1', [{ count: 40, cores: 5, memoryMb: 10_000 }])
  let most = 0
  for (let round = 0; round < 100; round += 1) {
    await scene.run(50)
    most = Math.max(most, ...[...scene.fleet.workers.values()].map(({ running }) => running.size))
  }
  expect(most).toBe(6)
})

test('a worker that was unreachable for less than its lease keeps its runs', async () => {
  const scene = await createScene(['w1', 'w2'])
  scene.fleet.plan = () => ({ runMs: 20_000, result: 'succeeded' })
  await scene.submit('a1', [{ count: 4 }])
  await scene.run(1000)
  scene.fleet.workers.forEach((worker) => { worker.reachable = false })
  await scene.run(2800)
  scene.fleet.workers.forEach((worker) => { worker.reachable = true })
  await scene.run(3000)
  expect(scene.listEvents('ended')).toEqual([])
})

test('tasks on a slow worker are moved to other workers', async () => {
  const scene = await createScene(['w1', 'w2', 'w3'])
  scene.fleet.plan = (task, worker) => ({ runMs: worker === 'w1' ? 12_000 : 1000, result: 'succeeded' })
  await scene.submit('a1', [{ count: 24 }])
  await scene.run(5000)
  expect(getOutcome(scene, 'a1')).toBe('completed')
})

test('the members of a gang start together at the first attempt, or not at all without capacity for all of them', async () => {
  const scene = await createScene(['w1', 'w2'])
  await scene.submit('small', [{ count: 3, gang: true, cores: 10 }])
  await scene.submit('large', [{ count: 9, gang: true, cores: 10 }])
  await scene.run(4000)
  const starts = scene.listEvents('started')
  expect([getOutcome(scene, 'small'), getOutcome(scene, 'large')]).toEqual(['completed', undefined])
  expect(starts.map(({ task, attempt }) => `${task}#${attempt}`).sort()).toEqual(['small.0.0.0#1', 'small.0.0.1#1', 'small.0.0.2#1'])
})

test('occurrences start when they are due and not before', async () => {
  const scene = await createScene(['w1'])
  const firstAt = scene.clock.wall() + 1000
  await scene.submit('a1', [{ count: 1 }], { recurrence: { firstAt, intervalMs: 1500, count: 3 } })
  await scene.run(8000)
  const late = scene.listEvents('started').map(({ at, task }) => [task, at - firstAt - Number(task.split('.')[1]) * 1500])
  expect([getOutcome(scene, 'a1'), late.length, late.every(([, ms]) => Number(ms) >= 0 && Number(ms) < 200)]).toEqual(['completed', 3, true])
})

test('a worker that does not return is removed', async () => {
  const scene = await createScene(['w1', 'w2'])
  const lost = scene.fleet.workers.get('w1')
  if (lost !== undefined) lost.reachable = false
  await scene.run(70_000)
  expect(Object.keys(scene.log.state().workflows.workers)).toEqual(['w2'])
})

test('a waiting long-running task is started while the pool has free capacity for it twice, on any of its workers', async () => {
  const workers = Array.from({ length: 20 }, (_, index) => `w${index}`)
  const scene = await createScene(workers)
  scene.fleet.plan = () => ({ runMs: 60_000, result: 'never' })
  await scene.submit('full', [{ count: 18, cores: 32 }, { count: 2, cores: 20 }])
  await scene.run(500)
  await scene.submit('a1', [{ count: 1, cores: 10, lasting: true }])
  await scene.run(2500)
  expect(scene.listEvents('started').filter(({ task }) => task.startsWith('a1'))).toHaveLength(1)
})

test('a long-running task that has ended restarts at once although a backlog of urgent short tasks takes all cores', async () => {
  const scene = await createScene(['w1', 'w2'])
  scene.fleet.plan = (task) => task.startsWith('lasting') ? { runMs: 2000, result: 'failed' } : { runMs: 500, result: 'succeeded' }
  await scene.submit('lasting', [{ count: 1, cores: 8, lasting: true }])
  await scene.run(500)
  await scene.submit('backlog', [{ count: 400, cores: 8 }])
  await scene.run(4000)
  expect(getOutcome(scene, 'backlog')).toBeUndefined()
  const [first, second] = scene.listEvents('started').filter(({ task }) => task.startsWith('lasting')).map(({ at }) => at)
  expect(Number(second) - Number(first) - 2000).toBeLessThan(700)
})

test('a long-running task of a lost worker gets capacity before a backlog of smaller tasks that would take each core as it becomes free', async () => {
  const scene = await createScene(['w1', 'w2'])
  scene.fleet.plan = (task) => task.startsWith('lasting') ? { runMs: 0, result: 'never' } : { runMs: 400 + 70 * (Number(task.split('.').at(-1)) % 9), result: 'succeeded' }
  await scene.submit('lasting', [{ count: 1, cores: 20, lasting: true }])
  await scene.run(500)
  await scene.submit('backlog', [{ count: 1000, cores: 2 }])
  await scene.run(500)
  const lost = [...scene.fleet.workers.values()].find(({ running }) => running.has('lasting.0.0.0'))
  if (lost !== undefined) lost.reachable = false
  const lostAt = scene.clock.now()
  await scene.run(10_000)
  expect(getOutcome(scene, 'backlog')).toBeUndefined()
  const restartedAt = scene.listEvents('started').filter(({ task }) => task.startsWith('lasting'))[1]?.at
  // The last poll may have been sent 2.3 s after the loss; its lease ends 6.2 s later, and the short tasks end within 1 s.
  expect(Number(restartedAt) - lostAt).toBeLessThan(9500)
})

// Guards against a task that stays assigned forever to a worker on which it never starts.
test('a task whose start orders get no answer is assigned to another worker, although the first one answers polls', async () => {
  const scene = await createScene(['w1', 'w2'])
  scene.fleet.plan = () => ({ runMs: 0, result: 'never' })
  const unresponsive = scene.fleet.workers.get('w1')
  if (unresponsive !== undefined) unresponsive.fault = (kind) => kind === 'start' ? 'lost-order' : 'none'
  await scene.submit('a1', [{ count: 2, lasting: true }])
  // A long-running task has to run again within 6 s.
  await scene.run(6000)
  expect(scene.fleet.workers.get('w2')?.running.size).toBe(2)
})

test('unanswered start orders are not repeated after their worker has announced that it is draining', async () => {
  const scene = await createScene(['w1', 'w2'])
  const worker = scene.fleet.workers.get('w1')
  const orderedAt: number[] = []
  if (worker !== undefined) {
    worker.fault = (kind) => {
      if (kind !== 'start') return 'none'
      orderedAt.push(scene.clock.now())
      return 'lost-order'
    }
  }
  await scene.submit('x', [{ count: 4, cores: 10 }])
  await scene.run(200)
  scene.log.propose({ kind: 'life.report', life: { ...worker?.life as WorkerIncarnation, draining: true } }, Infinity)
  const drainedAt = scene.clock.now()
  await scene.run(8000)
  expect(orderedAt.some((at) => at < drainedAt)).toBe(true)
  // An order may be in transit while the report is being committed.
  expect(orderedAt.filter((at) => at > drainedAt + 100)).toEqual([])
  expect(scene.log.state().workflows.workflows.x?.outcome).toBe('completed')
})

// Guards against tasks that run again although they have succeeded, while their worker lists its ends in parts.
test.each(['w1', 'w2'])('the tasks of a worker that was cut off while they ended are not started again before all ends are listed (%s)', async (cutOff) => {
  const scene = await createScene(['w1', 'w2'])
  scene.fleet.endsPerReply = 10
  scene.fleet.plan = (task) => ({ runMs: task.startsWith('long') ? 5800 : 4000 + 20 * (Number(task.split('.').at(-1)) % 50), result: 'succeeded' })
  await scene.submit('long', [{ count: 4, cores: 0.1, memoryMb: 10 }])
  await scene.submit('short', [{ count: 300, cores: 0.1, memoryMb: 10 }])
  await scene.run(3000)
  const worker = scene.fleet.workers.get(cutOff)
  const started = worker?.running.size ?? 0
  if (worker !== undefined) worker.reachable = false
  await scene.run(3500)
  if (worker !== undefined) worker.reachable = true
  await scene.run(6000)
  const repeated = scene.listEvents('started').filter(({ attempt }) => attempt > 1)
  const lapsed = scene.listEvents('ended').filter(({ cause }) => cause === 'lease-expired')
  expect([started > 100, getOutcome(scene, 'long'), getOutcome(scene, 'short'), lapsed, repeated]).toEqual([true, 'completed', 'completed', [], []])
})

// Guards against a workflow that cannot be done and stops the starts of all others.
test('other workflows start while one that cannot be done fails on all workers', async () => {
  const scene = await createScene(['w1', 'w2', 'w3', 'w4'])
  scene.fleet.plan = (task) => ({ runMs: 1000, result: task.startsWith('poison') ? 'failed' : 'succeeded' })
  await scene.submit('poison', [{ count: 36 }])
  await scene.run(1500)
  await scene.submit('a1', [{ count: 6 }])
  await scene.run(3000)
  expect([getOutcome(scene, 'poison'), getOutcome(scene, 'a1')]).toEqual(['failed', 'completed'])
})

// Guards against faulty workers that fail at once, are free again at once, and so take task after task until the workflows have
// failed: no task of such a workflow has succeeded by then.
test('five of sixty workers that fail everything at once are paused after a few failures', async () => {
  const scene = await createScene(Array.from({ length: 60 }, (_, number) => `w${number}`))
  scene.fleet.plan = (_task, worker) => Number(worker.slice(1)) < 5 ? { runMs: 20, result: 'failed' } : { runMs: 1000, result: 'succeeded' }
  for (let number = 0; number < 60; number += 1) {
    await scene.submit(`a${number}`, [{ count: 9, cores: 6.4 }])
    await scene.run(100)
  }
  await scene.run(4000)
  const failedRuns = scene.listEvents('ended').filter(({ cause }) => cause === 'failed').length
  const failed = Array.from({ length: 60 }, (_, number) => getOutcome(scene, `a${number}`)).filter((outcome) => outcome !== 'completed').length
  // Three failures before the first pause of 2 s, and one after each of the pauses of 2, 4 and 8 s that end meanwhile.
  expect([failedRuns <= 5 * 6, failed <= 3]).toEqual([true, true])
})

// Guards against a task that uses up its attempts on one faulty worker although others are free.
test('a task that has failed on a worker is tried on another one', async () => {
  const scene = await createScene(['w1', 'w2', 'w3'])
  scene.fleet.plan = (_task, worker) => ({ runMs: 200, result: worker === 'w1' ? 'failed' : 'succeeded' })
  for (let number = 0; number < 20; number += 1) {
    await scene.submit(`a${number}`, [{ count: 3 }])
    await scene.run(300)
  }
  await scene.run(2000)
  expect(Array.from({ length: 20 }, (_, number) => getOutcome(scene, `a${number}`)).filter((outcome) => outcome !== 'completed')).toEqual([])
})

// Guards against jobs that count as begun although they were only assigned, for example to a worker that was lost before it
// received the order.
test('a workflow is queued until a worker has started a task of it, and running from then on', async () => {
  const scene = await createScene(['w1'])
  scene.fleet.plan = () => ({ runMs: 60_000, result: 'succeeded' })
  const read = async (): Promise<unknown[]> => {
    const timing = { remainingMs: 1000, heldMs: 0 }
    const queue = await scene.send({ kind: 'read', address: { hostName: 'desk.example', path: '/quotes/' }, ...timing })
    const status = await scene.send({ kind: 'read', address: { hostName: 'desk.example', path: '/quotes/a1' }, ...timing })
    return ['pending' in queue && queue.pending, 'status' in status && status.status]
  }
  const worker = scene.fleet.workers.get('w1')
  if (worker !== undefined) worker.fault = (kind) => kind === 'start' ? 'lost-order' : 'none'
  await scene.submit('a1', [{ count: 2 }])
  await scene.run(500)
  const assigned = Object.keys(scene.log.state().workflows.workers.w1?.assigned ?? {}).length
  const beforeLoss = await read()
  worker?.crash()
  // The start orders without an answer may be executed until 12.7 s after the last one, so the tasks stay with the worker until then.
  await scene.run(16_000)
  const afterLoss = await read()
  const { life } = scene.fleet.addWorker({ id: 'w2', address: '127.0.0.1:9' })
  scene.log.propose({ kind: 'life.report', life }, Infinity)
  await scene.run(1000)
  const started = await read()
  scene.fleet.workers.get('w2')?.crash()
  await scene.run(10_000)
  expect([assigned, beforeLoss, afterLoss, started, await read()]).toEqual([2, [1, 'queued'], [1, 'queued'], [0, 'running'], [0, 'running']])
})

// Guards against a start on a worker that was replaced under its id by one of another service while the assignment was committed.
test('an assignment to an earlier incarnation of a worker has no effect', async () => {
  const scene = await createScene(['w1'])
  const { life } = scene.fleet.workers.get('w1') ?? {}
  const submitted = scene.submit('a1', [{ count: 1 }])
  // The report of the replacement is committed after the task was placed, and before its assignment.
  const { propose } = scene.log
  scene.log.propose = (entry, deadline) => {
    if (entry.kind === 'workflow.assign') {
      scene.log.propose = propose
      scene.fleet.addWorker({ ...life, id: 'w1', bornAt: 2, service: 'other' })
      propose({ kind: 'life.report', life: { ...life!, bornAt: 2, service: 'other' } }, Infinity)
    }
    return propose(entry, deadline)
  }
  await submitted
  await scene.run(2000)
  expect([scene.log.state().workflows.workers.w1?.life.service, scene.listEvents('started')]).toEqual(['other', []])
})
