import { expect, test } from 'vitest'
import { createManualClock } from '../../src/common/index.js'
import { exchangeReplySchema, exchangeRequestSchema, type ExchangeRequest, type WorkerCommand } from '../../src/coordination/tasks/index.js'
import { createWorkerCore } from '../../src/fakes/worker.js'

const term = { epoch: 1, round: 0, host: 'h1' }
const start: WorkerCommand = {
  kind: 'start', task: 'a/0', attempt: 1, token: { epoch: 1, sequence: 1 }, member: 'parish', jobClass: 'match', command: '', cores: 1, memoryBytes: 1, accelerators: 0
}

function createPair () {
  const clock = createManualClock()
  const worker = createWorkerCore({ id: 'w1', clock, plan: () => ({ runMs: 60_000, result: 'succeeded' }) })
  let sequence = 0
  const exchange = (change: Partial<ExchangeRequest> = {}) => {
    sequence += 1
    const request = exchangeRequestSchema.parse({ term, sequence, grantMs: 2_500, taskLeaseMs: 15_000, commands: [], acknowledged: [], ...change })
    return exchangeReplySchema.parse(worker.handle(request))
  }
  const see = (reply: { incarnation: string, reply: number }) => ({ seen: { incarnation: reply.incarnation, reply: reply.reply } })
  return { clock, worker, exchange, see }
}

test('a worker grants its lease to one term until the grant has expired or was released', () => {
  const { exchange } = createPair()
  const rival = { epoch: 1, round: 1, host: 'h2' }
  expect([exchange().granted, exchange({ term: rival }).promised]).toEqual([true, term])
  exchange({ grantMs: 0 })
  expect([exchange({ term: rival }).granted, exchange().promised]).toEqual([true, rival])
})

test('a start that is delayed for longer than a task lease has no effect, since the task may run elsewhere by then', async () => {
  const { clock, worker, exchange, see } = createPair()
  const seen = see(exchange())
  await clock.advance(15_001)
  exchange({ ...seen, commands: [start] })
  expect(worker.listTasks()).toEqual([])
  exchange({ ...see(exchange()), commands: [start] })
  expect(worker.listTasks()).toHaveLength(1)
})

test('a task lease counts from the reply that the request names, however late the request arrives', async () => {
  const { clock, worker, exchange, see } = createPair()
  const seen = see(exchange())
  exchange({ ...seen, commands: [start] })
  await clock.advance(10_000)
  exchange(seen)
  await clock.advance(5_000)
  worker.update()
  expect(worker.listTasks()).toEqual([])
  expect(exchange().outcomes).toMatchObject([{ task: 'a/0', attempt: 1, result: 'stopped' }])
})

test('a request that arrives after a later one, or a second time, is refused', () => {
  const { worker, exchange, see } = createPair()
  const seen = see(exchange())
  exchange({ ...seen, commands: [start], sequence: 5 })
  const stop: WorkerCommand = { kind: 'stop', task: 'a/0', attempt: 1, token: { epoch: 1, sequence: 1 }, checkpoint: false }
  expect([exchange({ ...seen, commands: [stop], sequence: 4 }).granted, exchange({ ...seen, commands: [stop], sequence: 5 }).granted]).toEqual([false, false])
  expect(worker.listTasks()).toHaveLength(1)
})

test('a restarted worker ignores commands for its previous process and grants no lease at first', async () => {
  const { clock, worker, exchange, see } = createPair()
  const seen = see(exchange())
  worker.crash()
  worker.restart()
  expect(exchange().granted).toBe(false)
  await clock.advance(2_600)
  exchange({ ...seen, commands: [start] })
  expect(worker.listTasks()).toEqual([])
})

test('an outcome is kept until it is acknowledged, and replies contain only changes since the reply that the request names', async () => {
  const { clock, exchange, see } = createPair()
  const first = exchange({ ...see(exchange()), commands: [start] })
  const second = exchange(see(first))
  expect([first.tasks.length, second.full, second.tasks]).toEqual([1, false, []])
  await clock.advance(15_000)
  const third = exchange(see(second))
  const lostAnswer = exchange(see(second))
  expect([third.outcomes.length, lostAnswer.outcomes.length, exchange(see(lostAnswer)).outcomes, exchange().outcomes.length]).toEqual([1, 1, [], 1])
  const last = exchange({ ...see(exchange()), acknowledged: [{ task: 'a/0', attempt: 1 }] })
  expect([last.applied, exchange().outcomes]).toEqual([true, []])
})

test('a stop that arrives before its start is confirmed, and a later start of the attempt is ignored', () => {
  const { worker, exchange, see } = createPair()
  const stop: WorkerCommand = { kind: 'stop', task: 'a/0', attempt: 1, token: { epoch: 1, sequence: 1 }, checkpoint: false }
  const reply = exchange({ ...see(exchange()), commands: [stop] })
  exchange({ ...see(reply), commands: [start] })
  expect([reply.outcomes[0]?.result, worker.listTasks()]).toEqual(['refused', []])
})
