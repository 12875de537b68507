import { expect, test } from 'vitest'
import { decodeOrderReply, decodePollReply, decodeWave } from '../../platform/wire.js'
import { applyEntry, createReplicatedState, type Entry, type ReplicatedState } from '../../src/state/index.js'
import { decodeSnapshot, encodeSnapshot } from '../../src/state/replica/messages.js'
import { createScene, CATALOG } from './support.js'

/** Names that every plain object inherits. */
const INHERITED = Object.getOwnPropertyNames(Object.prototype)

// Guards against a request whose id is an inherited name: its entry could not be applied, and ended all voters again and again (review/6).
test.each(INHERITED)('a job called %s is not known, can be neither read nor cancelled, and other jobs run', async (name) => {
  const scene = await createScene(['w1'])
  const address = { hostName: 'desk.example', path: `/quotes/${name}` }
  const replies = [await scene.send({ kind: 'cancel', address, remainingMs: 1000, heldMs: 0 }), await scene.send({ kind: 'read', address, remainingMs: 1000, heldMs: 0 })]
  await scene.submit('a1', [{ count: 1 }])
  await scene.run(2000)
  expect([replies.map(({ kind }) => kind), scene.log.state().workflows.workflows.a1?.outcome]).toEqual([['no-workflow', 'no-workflow'], 'completed'])
})

function createEntries (name: string): Entry[] {
  const judge = { host: 'h1', division: 0 }
  return [
    { kind: 'workflow.cancel', id: name, at: 0 },
    { kind: 'workflow.assign', assignments: [[`${name}.0.0.0`, name, 1]] },
    { kind: 'workflow.end', lives: [{ worker: name, bornAt: 1, ends: [[1, `${name}.0.0.0`, 1, 'succeeded', '']] }], judge, at: 0 },
    { kind: 'life.expire', worker: name, bornAt: 1, judge, at: 0 },
    { kind: 'life.leave', worker: name, bornAt: 1, isCertain: true, at: 0 },
    { kind: 'life.remove', worker: name, bornAt: 1, at: 0 },
    { kind: 'wave.order', wave: 1, host: name }
  ]
}

const STATES: Array<[state: string, create: () => ReplicatedState]> = [
  ['a new state', () => createReplicatedState()],
  ['a state from a snapshot', () => {
    const state = createReplicatedState()
    applyEntry(state, { kind: 'catalog.put', catalog: CATALOG })
    return decodeSnapshot(encodeSnapshot({ index: 1, term: 1, voters: [], state })).state
  }]
]

test.each(STATES)('entries that name an inherited property are rejected by %s, also where an earlier build has recorded them', (_state, create) => {
  const state = create()
  const before = JSON.stringify(state)
  INHERITED.flatMap(createEntries).forEach((entry) => applyEntry(state, entry))
  expect(JSON.stringify(state)).toBe(before)
})

test.each(INHERITED)('a worker and an operator that use the name %s change nothing else', (name) => {
  const reply = decodePollReply({ clockMs: 5, running: [], finished: [[1, `${name}.0.0.0`, 1, name, '']] })
  expect([reply.ok && reply.val.ends, decodeOrderReply({ clockMs: 5, reason: name }).refusal, decodeWave({ wave: 1, machines: [name], durationS: 1, maxCount: 1 }, 0).ok])
    .toEqual([[[1, `${name}.0.0.0`, 1, 'stopped', '']], undefined, false])
})
