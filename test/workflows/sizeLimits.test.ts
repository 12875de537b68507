import { expect, test } from 'vitest'
import { createManualClock, createSilentLogger, Err, Ok } from '../../src/common/index.js'
import { splitAssignments } from '../../src/coordination/workflows/assignmentEntries.js'
import { MAX_RUNS_PER_WORKER } from '../../src/coordination/workflows/candidates.js'
import { createEndRecorder } from '../../src/coordination/workflows/endRecorder.js'
import { MAX_GANG_TASKS } from '../../src/coordination/workflows/gangLimit.js'
import { createMemoryLog } from '../../src/fakes/memoryLog.js'
import { checkEntry, type Assignment, type Entry, type ReplicatedLog, type RunEnd } from '../../src/state/index.js'
import { createScene, STEP, type Scene } from './support.js'

/** Tasks that request nothing, so that any number fits on a worker. */
const NOTHING = { cores: 0, memoryMb: 0 }
const LONGEST_ID = 'x'.repeat(121)

/** Refuses each entry that the log could not hold, as the replicated log does. */
function limitEntries ({ log }: Scene): { largest: number, refused: number } {
  const seen = { largest: 0, refused: 0 }
  const { propose } = log
  log.propose = async (entry, deadline) => {
    const checked = checkEntry(entry)
    seen.refused += Number(checked.err)
    if (checked.err) return checked
    seen.largest = Math.max(seen.largest, checked.val.bytes.length)
    return propose(entry, deadline)
  }
  return seen
}

// Guards against a gang whose assignments no entry of the log can hold: no job was started beside it (review/9).
test.each([MAX_GANG_TASKS + 1, 10_000, 50_000, 100_000])('a gang of %d tasks is refused with a reason, and other jobs run', async (count) => {
  const scene = await createScene(['w1', 'w2'])
  const entries = limitEntries(scene)
  const reply = await scene.submit('gang', [{ ...NOTHING, count, gang: true }])
  await scene.submit('a1', [{ count: 2 }])
  await scene.run(3000)
  const { workflows } = scene.log.state().workflows
  expect({ reply, known: workflows.gang !== undefined, outcome: workflows.a1?.outcome, refused: entries.refused })
    .toEqual({ reply: { kind: 'invalid', message: `step 0 is a gang of ${count} tasks; at most ${MAX_GANG_TASKS} are allowed` }, known: false, outcome: 'completed', refused: 0 })
})

test('an oversized gang that an earlier build has accepted is never placed, is accepted again when it is repeated, and other jobs run', async () => {
  const scene = await createScene(['w1', 'w2'])
  const steps = [{ ...STEP, ...NOTHING, count: 50_000, gang: true }]
  const entries = limitEntries(scene)
  scene.log.propose({ kind: 'workflow.submit', queue: 'quotes', workflow: { id: 'gang', command: 'run', steps, recurrence: { firstAt: 0, intervalMs: 0, count: 1_000_000_000 } }, at: 0 }, Infinity)
  await scene.run(100)
  const repeated = await scene.submit('gang', steps)
  await scene.submit('a1', [{ count: 2 }])
  await scene.run(3000)
  const { workflows } = scene.log.state().workflows
  expect([repeated.kind, workflows.gang?.outcome, workflows.a1?.outcome, entries.refused]).toEqual(['accepted', undefined, 'completed', 0])
})

test('many gangs of the largest size are recorded in entries that the log can hold, and other jobs run beside them', async () => {
  const scene = await createScene(['w1', 'w2', 'w3'])
  const entries = limitEntries(scene)
  for (let number = 0; number < 5; number += 1) await scene.submit(`${LONGEST_ID.slice(1)}${number}`, [{ ...NOTHING, count: MAX_GANG_TASKS, gang: true }])
  await scene.submit('a1', [{ count: 2 }])
  await scene.run(8000)
  const { workflows } = scene.log.state().workflows
  expect({ outcomes: Object.values(workflows).map(({ outcome }) => outcome), refused: entries.refused }).toEqual({ outcomes: Array(6).fill('completed'), refused: 0 })
}, 60_000)

test('a worker gets no more than its number of tasks, whatever they request, and its expiry is recorded', async () => {
  const scene = await createScene(['w1'])
  const entries = limitEntries(scene)
  scene.fleet.plan = () => ({ runMs: 0, result: 'never' })
  await scene.submit('many', [{ ...NOTHING, count: 100_000, lasting: true }])
  await scene.run(8000)
  const assigned = (): number => Object.keys(scene.log.state().workflows.workers.w1?.assigned ?? {}).length
  const before = assigned()
  scene.fleet.workers.get('w1')?.crash()
  await scene.run(10_000)
  expect({ before: before > 0 && before <= MAX_RUNS_PER_WORKER, after: assigned(), refused: entries.refused }).toEqual({ before: true, after: 0, refused: 0 })
}, 60_000)

test('the members of a gang stay in one entry, and each entry with the longest names and tickets can be held', () => {
  const createTasks = (workflow: string, count: number): Assignment[] => Array.from({ length: count }, (_, index) => [`${workflow}.0.0.${index}`, LONGEST_ID, 1, 't'.repeat(512), 1_700_000_000_000])
  const gangs = ['g1', 'g2', 'g3'].map((name) => createTasks(`${name}${LONGEST_ID.slice(2)}`, MAX_GANG_TASKS))
  const copies = createTasks('c', 2)
  const batches = splitAssignments([...createTasks('a', 399), ...gangs.flat()], copies, (task) => task.startsWith('g'))
  expect({
    gangs: batches.map(({ assignments }) => new Set(assignments.map(([task]) => task.slice(0, 2)).filter((name) => name.startsWith('g'))).size),
    tasks: batches.reduce((sum, { assignments }) => sum + assignments.length, 0),
    copies: batches.map((batch) => batch.copies.length),
    held: batches.every((batch) => checkEntry({ kind: 'workflow.assign', ...batch }).ok)
  }).toMatchInlineSnapshot(`
    {
      "copies": [
        0,
        0,
        0,
        0,
        2,
      ],
      "gangs": [
        0,
        0,
        1,
        1,
        1,
      ],
      "held": true,
      "tasks": 3399,
    }
  `)
})

// Guards against ends that are never recorded, and tasks that are never released, because one entry cannot hold all of them.
test('many ends of one worker, and ends with long checkpoints, are recorded in entries that the log can hold', async () => {
  const log = createMemoryLog('h1')
  const proposed: Entry[] = []
  const recorder = createEndRecorder({ clock: createManualClock(), logger: createSilentLogger(), log: { ...log, propose: async (entry) => { proposed.push(entry); return Ok({ index: 1, value: {} }) } }, getSessionOwner: () => ({ host: 'h1', division: 1 }) })
  const createEnds = (count: number, checkpoint: string): RunEnd[] => Array.from({ length: count }, (_, index) => [index + 1, `${LONGEST_ID}.0.0.${index}`, 1, 'stopped', checkpoint])
  const recorded = await Promise.all([recorder.recordEnds('w1', 1, createEnds(100_000, '')), recorder.recordEnds('w2', 1, createEnds(500, 'c'.repeat(4000)))])
  // Guards against ends that are skipped because later ones of the same worker are recorded.
  const numbers = proposed.flatMap((entry) => entry.kind === 'workflow.end' ? entry.lives : []).filter(({ worker }) => worker === 'w1').flatMap((life) => life.ends.map(([number]) => number))
  const ends = proposed.flatMap((entry) => entry.kind === 'workflow.end' ? entry.lives : []).reduce((sum, life) => sum + life.ends.length, 0)
  expect(numbers).toEqual(numbers.toSorted((a, b) => a - b))
  expect({ recorded, ends, held: proposed.every((entry) => checkEntry(entry).ok) }).toEqual({ recorded: [true, true], ends: 100_500, held: true })
})

test('no end is recorded after one that could not be recorded', async () => {
  const proposed: Entry[] = []
  const log: ReplicatedLog = { ...createMemoryLog('h1'), propose: async (entry) => { proposed.push(entry); return Err({ kind: 'no-leader', message: 'no leader' }) } }
  const recorder = createEndRecorder({ clock: createManualClock(), logger: createSilentLogger(), log, getSessionOwner: () => ({ host: 'h1', division: 1 }) })
  const ends = Array.from({ length: 10_000 }, (_, index): RunEnd => [index + 1, `a1.0.0.${index}`, 1, 'succeeded', ''])
  expect([await recorder.recordEnds('w1', 1, ends), proposed.length]).toEqual([false, 1])
})

test('all parts of the ends of one reply name the session assignment under which they were concluded', async () => {
  const proposed: Entry[] = []
  let division = 1
  const log: ReplicatedLog = { ...createMemoryLog('h1'), propose: async (entry) => { proposed.push(entry); division += 1; return Ok({ index: 1, value: {} }) } }
  const recorder = createEndRecorder({ clock: createManualClock(), logger: createSilentLogger(), log, getSessionOwner: () => ({ host: 'h1', division }) })
  await recorder.recordEnds('w1', 1, Array.from({ length: 10_000 }, (_, index): RunEnd => [0, `a1.0.0.${index}`, 1, 'not-started', '']))
  const judges = proposed.flatMap((entry) => entry.kind === 'workflow.end' ? [entry.judge.division] : [])
  expect([judges.length > 1, new Set(judges)]).toEqual([true, new Set([1])])
})
