import { expect, test } from 'vitest'
import { createSystemClock, Err, Ok, type Result } from '../src/common/index.js'
import { createMemberEntry } from '../src/fakes/entries.js'
import { proposeEntry } from '../src/programs/entryHost/work.js'
import type { ReplicatedLog, AppliedEntry, LogFailure } from '../src/state/index.js'

type Answer = Result<AppliedEntry, LogFailure>
const unclear: Answer = Err({ kind: 'outcome-unknown', message: 'the leader was lost' })
const refused: Answer = Err({ kind: 'not-recorded', message: 'no majority' })
const accepted: Answer = Ok({ index: 7, value: {} })

async function propose (requestId: string | undefined, answers: Answer[]): Promise<unknown> {
  const left = [...answers]
  const log = { propose: async () => left.length > 1 ? left.shift() : left[0] } as unknown as ReplicatedLog
  const clock = createSystemClock()
  // A clock that runs 40 times as fast, so that a proposal whose outcome stays unknown reaches its deadline soon.
  const start = clock.now()
  const fast = { ...clock, now: () => start + (clock.now() - start) * 40 }
  const result = await proposeEntry(log, fast, createMemberEntry('m', requestId))
  return result.ok ? 'accepted' : result.val.kind
}

test('a proposal with an unknown outcome is resent only with a request id, and a failed resend does not make it count as not recorded', async () => {
  expect(await Promise.all([
    propose('r', [unclear, unclear, accepted]),
    propose(undefined, [unclear, accepted]),
    propose('r', [unclear, refused]),
    propose('r', [refused])
  ])).toEqual(['accepted', 'outcome-unknown', 'outcome-unknown', 'not-recorded'])
})
