import { expect, test } from 'vitest'
import { createManualClock, createSilentLogger } from '../../src/common/index.js'
import { createAttempts } from '../../src/coordination/tasks/attempts.js'
import type { AttemptsOptions } from '../../src/coordination/tasks/attemptTypes.js'
import type { ExchangeReply, ExchangeRequest } from '../../src/coordination/tasks/exchange.js'
import { createJournalState } from '../../src/coordination/tasks/journal.js'
import { createTaskTable, type TaskSpec } from '../../src/coordination/tasks/table.js'

const SIZE = { cores: 1, memoryBytes: 1e9, accelerators: 0 }
const TOKEN = { epoch: 1, sequence: 7 }

/** Attempts whose journal records are stored only when the test says so. */
function createScene (more: Partial<AttemptsOptions> = {}) {
  const clock = createManualClock(1000)
  const table = createTaskTable(createJournalState(), 'a')
  const stored: Array<(done: boolean) => void> = []
  const enqueued: string[] = []
  const attempts = createAttempts({
    table,
    clock,
    term: { epoch: 1, round: 0, host: 'h1' },
    logger: createSilentLogger(),
    observe: () => {},
    enqueue: ({ task }) => { enqueued.push(task.id) },
    append: () => new Promise((resolve) => stored.push(resolve)),
    isDurable: () => true,
    isReplicated: () => true,
    wakeWorker: () => {},
    firstAttempt: 1,
    mayAdoptOrphans: () => false,
    isLogCurrent: () => true,
    ...more
  })
  const spec: TaskSpec = {
    task: { id: 'dose/0', job: 'dose', member: 'parish', jobClass: 'dose', size: SIZE, expectedRunMs: 1000, urgent: false, idempotent: false, resumed: false },
    number: 0,
    cancelled: false,
    command: 'dose',
    notBefore: 0,
    seenAtIndex: 1
  }
  table.specs.set('dose/0', spec)
  const storeNext = async (): Promise<void> => {
    stored.shift()?.(true)
    await clock.advance(1)
  }
  return { attempts, table, spec, enqueued, storeNext, listCommands: () => attempts.composeCommands('w1').commands.map(({ kind }) => kind) }
}

// Guards against a stop without a record: a coordinator that takes over would not know why the attempt has ended.
test('an eviction is sent only once its record is stored, also when the start has no confirmation yet', async () => {
  const scene = createScene()
  scene.attempts.start(scene.spec, 'w1', 'i1', SIZE)
  await scene.storeNext()
  const started = scene.listCommands()
  scene.attempts.evict(scene.table.journal.entries.get('dose/0')!)
  const beforeStored = scene.listCommands()
  await scene.storeNext()
  expect([started, beforeStored, scene.listCommands()]).toEqual([['start'], [], ['stop']])
})

// Guards against a second run of a task that may run only once: the worker has reported the attempt, so it has been started.
test('an attempt that only its worker knows counts as started when the worker is lost before the record is stored', () => {
  const scene = createScene({ mayAdoptOrphans: () => true })
  const reply = { kind: 'exchange', incarnation: 'i1', applied: true, full: true, tasks: [{ task: 'dose/0', attempt: 1, state: 'running', token: TOKEN }], outcomes: [] } as unknown as ExchangeReply
  scene.attempts.handleReply('w1', reply, { acknowledged: [] } as unknown as ExchangeRequest)
  scene.attempts.handleWorkerLost('w1')
  expect([scene.enqueued, scene.table.journal.entries.get('dose/0')?.outcome]).toEqual([[], 'unknown'])
})
