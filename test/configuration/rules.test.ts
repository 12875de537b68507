import { expect, test } from 'vitest'
import { createManualClock, createNoopMetrics, createSilentLogger, Err, Ok, type Result } from '../../src/common/index.js'
import { proposeChange } from '../../src/coordination/configuration/change.js'
import { createLeaseGranter } from '../../src/coordination/configuration/granter.js'
import { createLeaseHolder } from '../../src/coordination/configuration/holder.js'
import { LEASE_MS, type RenewReply } from '../../src/coordination/configuration/messages.js'
import { createMemoryLog } from '../../src/fakes/memoryLog.js'
import { createReplicatedState, type ReplicatedLog, type AppliedEntry, type LogFailure, type LogStatus } from '../../src/state/index.js'

const request = { session: 's1', floor: 0, known: 0 }
const granted: RenewReply = { kind: 'granted', revision: 0, leaseMs: LEASE_MS }

function createGranterWithLog (overrides: Partial<ReplicatedLog>) {
  const clock = createManualClock()
  const log = { ...createMemoryLog('h1'), ...overrides }
  return { clock, log, granter: createLeaseGranter({ clock, log, logger: createSilentLogger(), metrics: createNoopMetrics() }) }
}

test('a renewal that arrives during a read barrier waits for the next barrier, which starts after the renewal arrived', async () => {
  const started: Array<() => void> = []
  const readBarrier = (): Promise<Result<number, LogFailure>> => new Promise((resolve) => { started.push(() => resolve(Ok(0))) })
  const { granter } = createGranterWithLog({ readBarrier })
  const answered: string[] = []
  const renewals = ['first', 'second', 'third'].map(async (session) => {
    await granter.handleRenew('h2', { ...request, session })
    answered.push(session)
  })
  expect(started.length).toBe(1)
  started[0]!()
  await renewals[0]
  expect([answered, started.length]).toEqual([['first'], 2])
  started[1]!()
  await Promise.all(renewals)
  expect([answered, started.length]).toEqual([['first', 'second', 'third'], 2])
})

test('a renewal that waits for a barrier is not granted after a release, so that a stopped host delays no change', async () => {
  let finish = (): void => {}
  const readBarrier = (): Promise<Result<number, LogFailure>> => new Promise((resolve) => { finish = () => resolve(Ok(0)) })
  const { granter } = createGranterWithLog({ readBarrier })
  const overtaken = granter.handleRenew('h2', request)
  granter.handleRenew('h2', { ...request, floor: Number.MAX_SAFE_INTEGER })
  await granter.activatePending()
  finish()
  expect((await overtaken).kind).toBe('suspended')
})

test('no lease is granted after a barrier that ended in another term, because the new leader would not wait for that lease', async () => {
  const status: LogStatus = createMemoryLog('h1').status()
  const readBarrier = async (): Promise<Result<number, LogFailure>> => {
    status.term += 1
    return Ok(0)
  }
  const { granter } = createGranterWithLog({ readBarrier, status: () => ({ ...status }) })
  expect(await granter.handleRenew('h2', request)).toEqual({ kind: 'refused', reason: 'no-read-barrier' })
})

test('no lease is granted while a change is pending, not even to a host that does not know the change', async () => {
  const { granter, log, clock } = createGranterWithLog({})
  await proposeChange(log, clock, { requestId: 'r', baseRevision: 0, preset: 'peak', setBy: 'ana', reason: '' }, 1000)
  expect(await granter.handleRenew('h2', request)).toEqual({ kind: 'suspended', pendingRevision: 1 })
})

test('a delayed confirmation of an earlier process does not count for its successor', async () => {
  const { granter, log, clock } = createGranterWithLog({})
  await granter.handleRenew('h2', { ...request, session: 'successor' })
  await clock.advance(1400)
  await granter.handleRenew('h2', { ...request, session: 'successor' })
  await proposeChange(log, clock, { requestId: 'r', baseRevision: 0, preset: 'peak', setBy: 'ana', reason: '' }, 1000)
  await granter.handleRenew('h2', { ...request, session: 'earlier', floor: 1 })
  await clock.advance(1400)
  await granter.activatePending()
  expect(log.state().configuration.revision).toBe(0)
  await clock.advance(200)
  await granter.activatePending()
  expect(log.state().configuration.revision).toBe(1)
})

test('a reply that arrives after a newer one neither shortens a lease nor restores an old revision', () => {
  const state = createReplicatedState()
  const holder = createLeaseHolder('s1', state.configuration)
  holder.handleReply(granted, 500)
  holder.handleReply(granted, 100)
  expect(holder.getView(500 + LEASE_MS - 1).claim).toBe('in-force')
  const peak = { ...state.configuration, revision: 1, preset: 'peak' }
  holder.handleReply({ ...granted, revision: 1, configuration: peak }, 600)
  holder.handleReply(granted, 700)
  expect(holder.getView(701)).toMatchObject({ claim: 'in-force', revision: 1, preset: 'peak', leaseDeadline: 600 + LEASE_MS })
})

test('a lease ends exactly at its deadline, and the view of a host without a reachable leader tells the time since the last contact', () => {
  const holder = createLeaseHolder('s1', createReplicatedState().configuration)
  expect(holder.getView(0).certainty).toEqual({ kind: 'unconfirmed', leaderHeardAgoMs: undefined })
  holder.handleReply(granted, 100)
  expect(holder.getView(99 + LEASE_MS).claim).toBe('in-force')
  expect(holder.getView(100 + LEASE_MS)).toMatchSnapshot()
})

test('if an earlier attempt may have been recorded, a later certain failure is reported as an unknown outcome', async () => {
  const clock = createManualClock()
  const answers: Array<Result<AppliedEntry, LogFailure>> = [
    Err({ kind: 'outcome-unknown', message: 'lost' }), Err({ kind: 'no-leader', message: 'none' })
  ]
  const log = { ...createMemoryLog('h1'), propose: async () => answers.shift()! }
  const outcome = proposeChange(log, clock, { requestId: 'r', baseRevision: 0, preset: 'peak', setBy: 'ana', reason: '' }, 150)
  await clock.advance(200)
  expect(await outcome).toEqual({ kind: 'outcome-unknown', requestId: 'r', message: 'none' })
})

test('a request id that belongs to another command is not taken for an accepted change', async () => {
  const clock = createManualClock()
  const log = createMemoryLog('h1')
  const host = { id: 'h9', availabilityZone: 'a', region: 'r', peerAddress: '', httpAddress: '', hasDisk: true }
  await log.propose({ kind: 'host.add', requestId: 'r', host }, 1000)
  const outcome = await proposeChange(log, clock, { requestId: 'r', baseRevision: 0, preset: 'peak', setBy: 'ana', reason: '' }, 1000)
  expect(outcome.kind).toBe('invalid-change')
})

test('an entry that the log can never record is reported at once and not proposed again', async () => {
  const clock = createManualClock()
  let proposals = 0
  const propose = async (): Promise<Result<AppliedEntry, LogFailure>> => {
    proposals += 1
    return Err({ kind: 'entry-too-large', message: 'too large', bytes: 2, limit: 1 })
  }
  const log = { ...createMemoryLog('h1'), propose }
  const outcome = await proposeChange(log, clock, { requestId: 'r', baseRevision: 0, preset: 'peak', setBy: 'ana', reason: '' }, 3000)
  expect([outcome, proposals]).toEqual([{ kind: 'invalid-change', message: 'too large' }, 1])
})
