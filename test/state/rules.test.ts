import { crc32 } from 'node:zlib'
import { expect, test } from 'vitest'
import { createManualClock, createRandom, createNoopEventLoopMeter, createSilentLogger, type ManualClock, type Network } from '../../src/common/index.js'
import { createFakeCluster, type FakeCluster, type FakeClusterOptions } from '../../src/fakes/fakeCluster.js'
import { createHostProcess } from '../../src/fakes/hostProcess.js'
import { createReplicatedState } from '../../src/state/index.js'
import { updateCommit } from '../../src/state/replica/apply.js'
import { appendCommand, appendEntry, createContext, type Peer } from '../../src/state/replica/context.js'
import { encodeCommand, encodeSnapshot, type SnapshotReply, type VoteRequest } from '../../src/state/replica/messages.js'
import { createNotifier } from '../../src/state/replica/notifier.js'
import { DEFAULT_LOG_LIMITS } from '../../src/state/replica/timing.js'

/** Starts three voters, and connects a fourth network endpoint through which the test sends messages of its own to them. */
async function startWithMessageSender (options: Partial<FakeClusterOptions> = {}): Promise<{ clock: ManualClock, cluster: FakeCluster, formation: number, sender: Network }> {
  const clock = createManualClock()
  const cluster = createFakeCluster({ clock, seed: 5, voters: ['a', 'b', 'c'], ...options })
  const sender = cluster.network.connect('x', createHostProcess(clock))
  let formation = 0
  sender.handle('log.append', async (_from, body) => {
    formation = (body as { formation: number }).formation
    return { term: 0, matches: false, index: 1 }
  })
  cluster.hosts.forEach((host) => host.start())
  await clock.advance(3000)
  sender.request(cluster.findLeader()!.name, 'log.join', { incarnation: 'x-0', availabilityZone: 'z', hasDisk: true }, clock.now() + 1000)
  await clock.advance(500)
  return { clock, cluster, formation, sender }
}

function createVote (formation: number, changes: Partial<VoteRequest>): VoteRequest {
  return { formation, to: 'a-0', term: 50, incarnation: 'x-0', lastIndex: 1000, lastTerm: 49, phase: 'vote', handover: true, ...changes }
}

test('a host votes once in a term, also after a crash, and only for a candidate whose log is up to date', async () => {
  const { clock, cluster, formation, sender } = await startWithMessageSender()
  const ask = async (changes: Partial<VoteRequest>): Promise<unknown> => {
    const reply = sender.request('a', 'log.vote', createVote(formation, changes), clock.now() + 1000)
    await clock.advance(20)
    return (await reply).val
  }
  const host = cluster.getHost('a')
  expect(host.replica()!.incarnation).toBe('a-0')
  expect(await ask({ lastIndex: 0, lastTerm: 0 })).toEqual({ term: 50, granted: false })
  expect(await ask({})).toEqual({ term: 50, granted: true })
  expect(await ask({ incarnation: 'x-1' })).toEqual({ term: 50, granted: false })
  expect(await ask({ to: 'a-9', term: 60 })).toEqual({ refused: 'incarnation' })
  expect(await ask({ formation: formation + 1, term: 60 })).toEqual({ refused: 'formation' })
  host.crash()
  host.start()
  await clock.advance(20)
  expect(await ask({ incarnation: 'x-1' })).toEqual({ term: 50, granted: false })
  expect(await ask({})).toEqual({ term: 50, granted: true })
})

test('a duplicate proposal that arrives after the leader stepped down gets the reply of the first one, outcome-unknown', async () => {
  const { clock, cluster, sender } = await startWithMessageSender()
  const leader = cluster.findLeader()!
  const term = leader.replica()!.status().term
  cluster.setCut([leader.name], ['a', 'b', 'c'], 'silent')
  const send = () => sender.request(leader.name, 'log.propose', { term, origin: 'x/1', sequence: 1, entry: { kind: 'noop' }, remainingMs: 5000 }, clock.now() + 9000)
  const first = send()
  await clock.advance(2000)
  expect(leader.replica()!.status().role).not.toBe('leader')
  const second = send()
  await clock.advance(6000)
  expect((await first).val).toMatchObject({ kind: 'failed', failure: { kind: 'outcome-unknown' } })
  expect((await second).val).toEqual((await first).val)
})

test.each([0, 600])('a snapshot that arrives twice, after %i entries that conflict, is not confirmed before it is on the disk', async (count) => {
  const { clock, cluster, formation, sender } = await startWithMessageSender({ syncMs: 50, voters: ['a', 'b', 'c'] })
  const bytes = encodeSnapshot({ index: 500, term: 90, voters: [], state: createReplicatedState() })
  const request = { formation, to: 'a-0', term: 99, index: 500, lastTerm: 90, size: bytes.length, checksum: crc32(bytes), offset: 0, bytes }
  const isOnDisk = async (): Promise<boolean> => {
    cluster.getHost('a').crash()
    cluster.getHost('a').start()
    await clock.advance(2000)
    return (cluster.getHost('a').replica()?.status().commitIndex ?? 0) >= 500
  }
  const send = async (): Promise<boolean> => {
    const result = await sender.request('a', 'log.snapshot', request, clock.now() + 5000)
    return result.ok && (result.val as SnapshotReply).offset === bytes.length
  }
  const { commitIndex: prevIndex, term: prevTerm } = cluster.getHost('a').replica()!.status()
  const entries = Array.from({ length: count }, () => [50, encodeCommand({ kind: 'noop' })])
  sender.request('a', 'log.append', { formation, to: 'a-0', term: 99, prevIndex, prevTerm, commit: 0, entries }, clock.now() + 5000)
  // The term is saved by then, and the entries are being written.
  await clock.advance(60)
  send()
  await clock.advance(5)
  const progress = { isConfirmed: false }
  send().then((isConfirmed) => { progress.isConfirmed = isConfirmed })
  while (!progress.isConfirmed) await clock.advance(1)
  expect(await isOnDisk()).toBe(true)
})

test('a host without a disk grants no vote', async () => {
  const { clock, cluster, formation, sender } = await startWithMessageSender({ voters: ['a', 'b', 'c'], learners: ['f'] })
  const reply = sender.request('f', 'log.vote', createVote(formation, { to: cluster.getHost('f').replica()!.incarnation }), clock.now() + 1000)
  await clock.advance(20)
  expect((await reply).val).toMatchObject({ granted: false })
})

test('while leader and followers are in contact, both refuse votes', async () => {
  const { clock, cluster, formation, sender } = await startWithMessageSender()
  const replies = [...cluster.hosts.values()].map((host) => sender.request(host.name, 'log.vote',
    createVote(formation, { to: host.replica()!.incarnation, handover: false }), clock.now() + 1000))
  await clock.advance(50)
  const answers = await Promise.all(replies)
  answers.forEach((answer) => expect(answer.val).toMatchObject({ granted: false, term: 2 }))
})

test('an entry of an earlier term is committed only together with an entry of the leader\'s own term', () => {
  const clock = createManualClock()
  const network: Network = { self: 'a', request: () => new Promise(() => {}), handle: () => {} }
  const context = createContext({
    deployment: 'test',
    self: 'a',
    availabilityZone: 'z',
    clock,
    random: createRandom(1),
    network,
    logger: createSilentLogger(),
    work: createNoopEventLoopMeter(),
    bootstrapVoters: [],
    seeds: [],
    createState: createReplicatedState,
    limits: DEFAULT_LOG_LIMITS
  }, undefined, undefined, 'a-0')
  const voters = ['a', 'b', 'c'].map((host) => ({ host, incarnation: `${host}-0`, availabilityZone: 'z' }))
  appendEntry(context, 1, encodeCommand({ kind: 'log.membership', voters }))
  Object.assign(context, { role: 'leader', term: 3 })
  const peer: Peer = {
    host: 'b', incarnation: 'b-0', availabilityZone: 'z', hasDisk: true, isVoter: true, matchIndex: 1, nextIndex: 2, mode: 'replicate', inFlight: 0, lastSentAt: 0, sentCommitIndex: 0, lastContactAt: 0, confirmedRound: 0, wake: createNotifier(clock)
  }
  context.peers.set('b/b-0', peer)
  updateCommit(context)
  expect(context.commitIndex).toBe(0)
  appendCommand(context, { kind: 'noop' })
  peer.matchIndex = 2
  updateCommit(context)
  expect(context.commitIndex).toBe(2)
})
