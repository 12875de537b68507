import { expect, test } from 'vitest'
import { applyEntry, createReplicatedState, findOwningZone, listUnfinishedTasks, type Entry } from '../src/state/index.js'

const member = { id: 'parish', tokenHash: 'a'.repeat(64), quota: { cores: 8, memoryBytes: 1e9, accelerators: 0 }, weight: 1 }
const size = { cores: 1, memoryBytes: 1e8, accelerators: 0 }

function proposePreset (preset: string, baseRevision: number, requestId?: string): Entry {
  return { kind: 'config.propose', requestId, change: { baseRevision, preset, presets: {}, setBy: requestId ?? 'operator', reason: 'test' }, wallTime: 5 }
}

test('of two operators with equal base revisions one wins and the other is told who did', () => {
  const state = createReplicatedState()
  const outcomes = [
    applyEntry(state, proposePreset('peak', 0, 'first')),
    applyEntry(state, proposePreset('maintenance', 0, 'second')),
    applyEntry(state, { kind: 'config.activate', revision: 1, wallTime: 9 }),
    applyEntry(state, proposePreset('maintenance', 0, 'third'))
  ]
  expect(outcomes).toMatchSnapshot()
  expect(state.configuration).toMatchObject({ preset: 'peak', revision: 1, since: 9 })
})

test('a resend after a lost answer gets the first outcome and changes nothing', () => {
  const state = createReplicatedState()
  const first = applyEntry(state, proposePreset('peak', 0, 'request-1'))
  applyEntry(state, { kind: 'config.activate', revision: 1, wallTime: 9 })
  expect(applyEntry(state, proposePreset('peak', 0, 'request-1'))).toEqual(first)
  expect(state.pending).toBeUndefined()
})

test('a zone reports outcomes only of tasks that it owns, and the first outcome stands', () => {
  const state = createReplicatedState()
  applyEntry(state, { kind: 'member.put', member })
  const host = { id: 'h1', availabilityZone: 'a', region: 'r', peerAddress: '', httpAddress: '', hasDisk: true }
  applyEntry(state, { kind: 'host.add', host })
  applyEntry(state, { kind: 'host.add', host: { ...host, id: 'h2', availabilityZone: 'b' } })
  const job = { id: 'match', member: 'parish', jobClass: 'match', size, tasks: 4, expectedRunMs: 10, urgent: false, idempotent: true, command: '' }
  applyEntry(state, { kind: 'job.create', job, zones: [{ availabilityZone: 'a', tasks: 3 }, { availabilityZone: 'b', tasks: 1 }], wallTime: 1 })
  applyEntry(state, { kind: 'zone.transfer', from: 'a', to: 'b', tasks: [['match', 2], ['match', 3]] })
  applyEntry(state, { kind: 'job.summary', availabilityZone: 'a', outcomes: [['match', 0, 'succeeded'], ['match', 2, 'failed']] })
  applyEntry(state, { kind: 'job.summary', availabilityZone: 'a', outcomes: [['match', 0, 'failed']] })
  const record = state.jobs.match!
  expect({
    owners: [0, 1, 2, 3, 4].map((task) => findOwningZone(record, task)),
    outcomes: record.outcomes,
    open: { a: listUnfinishedTasks(record, 'a'), b: listUnfinishedTasks(record, 'b') }
  }).toMatchSnapshot()
})

test('of two rival grants of a zone only the first is accepted', () => {
  const state = createReplicatedState()
  applyEntry(state, { kind: 'host.add', host: { id: 'h1', availabilityZone: 'a', region: 'r', peerAddress: '', httpAddress: '', hasDisk: true } })
  const grant: Entry = { kind: 'zone.grant', availabilityZone: 'a', previousEpoch: 0, host: 'h1', incarnation: 'x' }
  expect([applyEntry(state, grant), applyEntry(state, { ...grant, host: 'h2' })]).toMatchSnapshot()
})
