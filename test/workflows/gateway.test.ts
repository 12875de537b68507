import { expect, test } from 'vitest'
import { createManualClock, createSilentLogger, Err, Ok, type ManualClock, type Network, type NetworkFailure, type Result } from '../../src/common/index.js'
import { createVersionOrder } from '../../src/coordination/workflows/versionOrder.js'
import { createWorkflowGateway, type WorkflowGateway, type WorkflowReply, type WorkflowRequest } from '../../src/coordination/workflows/index.js'

type Answer = WorkflowReply | NetworkFailure['kind']
type Host = (request: WorkflowRequest) => Answer | Promise<Answer>

interface Scene { clock: ManualClock, gateway: WorkflowGateway, sent: string[], send (kind: 'submit' | 'read', waitMs: number): Promise<{ reply: WorkflowReply, ms: number }> }

const PONG: WorkflowReply = { kind: 'pong', hasCatalog: true, voters: ['a', 'b', 'c'] }
const LEADS: Host = (request) => request.kind === 'ping' ? PONG : { kind: 'accepted' }
const DOWN: Host = () => 'unreachable'

function follow (leader: string | undefined): Host {
  return () => ({ kind: 'not-leader', leader, voters: ['a', 'b', 'c'] })
}

async function createScene (hosts: Record<string, Host>, seeds: string[], settleMs = 1000): Promise<Scene> {
  const clock = createManualClock(10_000)
  const sent: string[] = []
  const network = {
    self: 'entry',
    handle: () => {},
    request: async (to: string, _kind: string, body: unknown, deadline: number): Promise<Result<unknown, NetworkFailure>> => {
      const request = body as WorkflowRequest
      if (request.kind !== 'ping') sent.push(to)
      await clock.sleep(2)
      const answer = await hosts[to]?.(request) ?? 'unreachable'
      if (typeof answer !== 'string') return Ok(answer)
      if (answer !== 'unreachable') await clock.sleep(deadline - clock.now())
      return Err({ kind: answer, to, message: answer })
    }
  }
  const gateway = createWorkflowGateway({ clock, logger: createSilentLogger(), network, seeds, reorderMs: 250 })
  for (let passed = 0; passed < settleMs; passed += 10) await clock.advance(10)
  return {
    clock,
    gateway,
    sent,
    send: async (kind, waitMs) => {
      const replies: WorkflowReply[] = []
      const startedAt = clock.now()
      gateway.send({ kind, address: { hostName: 'h', path: '/q/1' }, workflow: null }, startedAt + waitMs).then((reply) => replies.push(reply))
      while (replies.length === 0) await clock.advance(5)
      return { reply: replies[0] as WorkflowReply, ms: clock.now() - startedAt }
    }
  }
}

test('a request reaches the leader named by a seed host', async () => {
  const scene = await createScene({ a: follow('c'), c: LEADS }, ['a'])
  expect([scene.gateway.isReady(), (await scene.send('submit', 3000)).reply, scene.sent]).toEqual([true, { kind: 'accepted' }, ['c']])
})

test('without a leader a request is refused as not run long before the deadline of its client', async () => {
  const scene = await createScene({ a: DOWN, b: follow(undefined) }, ['a', 'b'])
  const { reply, ms } = await scene.send('submit', 3000)
  expect([scene.gateway.isReady(), reply.kind, ms < 1500]).toEqual([false, 'not-run', true])
})

test('the outcome of a change is reported as unknown when a leader that does not answer may have recorded it', async () => {
  const hosts: Record<string, Host> = { a: LEADS }
  const scene = await createScene(hosts, ['a'])
  hosts.a = () => 'deadline-exceeded'
  expect((await scene.send('submit', 2500)).reply.kind).toBe('unknown')
})

test('a request that arrives while the leader changes is served by the next one', async () => {
  const hosts: Record<string, Host> = { a: LEADS, b: follow('a') }
  const scene = await createScene(hosts, ['a', 'b'])
  hosts.a = DOWN
  scene.clock.sleep(400).then(() => { hosts.b = LEADS })
  expect([(await scene.send('submit', 3000)).reply, scene.sent.at(-1)]).toEqual([{ kind: 'accepted' }, 'b'])
})

test('a host is ready as soon as the leader has answered once', async () => {
  const scene = await createScene({ a: LEADS }, ['a'], 50)
  expect(scene.gateway.isReady()).toBe(true)
})

test('the leader is told how long the entry host has already held a request', async () => {
  const held: number[] = []
  const asked: Host = (request) => {
    if (request.kind === 'ping') return PONG
    held.push(request.heldMs)
    return held.length === 1 ? 'deadline-exceeded' : { kind: 'accepted' }
  }
  const scene = await createScene({ a: asked }, ['a'])
  const { ms } = await scene.send('submit', 3000)
  expect([held[0], (held[1] ?? 0) > 1000, (held[1] ?? 0) < ms]).toEqual([0, true, true])
})

// Guards against a client that sees the configuration go back: its later request was handled by the older version.
test('a request that had to wait is not answered by a newer catalog than a later request that did not wait', async () => {
  const waits: Array<(reply: WorkflowReply) => void> = []
  const answers: Array<WorkflowReply | undefined> = [undefined, { kind: 'queue', pending: 0, catalogVersion: 4 }, { kind: 'no-queue', catalogVersion: 6 }]
  const leader: Host = (request) => request.kind === 'ping' ? PONG : answers.shift() ?? new Promise((resolve) => waits.push(resolve))
  const scene = await createScene({ a: leader }, ['a'])
  const early = scene.gateway.send({ kind: 'read', address: { hostName: 'h', path: '/q/' } }, scene.clock.now() + 3000)
  await scene.clock.advance(300)
  const late = await scene.send('read', 3000)
  waits[0]?.({ kind: 'no-queue', catalogVersion: 6 })
  expect([late.reply.kind, await early]).toEqual(['queue', { kind: 'not-run', retryAfterMs: 60, reason: 'catalog-changed' }])
  expect((await scene.send('read', 3000)).reply.kind).toBe('no-queue')
})

test('answers keep the order of the catalog versions, apart from requests that arrive at about the same time', () => {
  const order = createVersionOrder(100)
  order.record(1000, 4)
  order.record(1300, 4)
  const newer = [1000, 1190, 1210, 1400].map((arrivedAt) => order.isKept(arrivedAt, 6))
  order.record(1400, 6)
  const older = [1350, 1490, 1510].map((arrivedAt) => order.isKept(arrivedAt, 4))
  expect([newer, older, order.isKept(9000, 6)]).toEqual([[false, false, true, true], [true, true, false], true])
})

// Guards against a job that runs although its client was told that it never will: the try without an answer may still be recorded.
test.each<[WorkflowReply['kind'], WorkflowReply]>([
  ['overloaded', { kind: 'overloaded', retryAfterMs: 1000 }],
  ['no-queue', { kind: 'no-queue', catalogVersion: 1 }],
  ['not-run', { kind: 'not-run', retryAfterMs: 1000, reason: 'no-leader' }]
])('a refusal as %s after a try without an answer leaves the outcome of a change open', async (_kind, refusal) => {
  let tries = 0
  const scene = await createScene({ a: (request) => request.kind === 'ping' ? PONG : (tries++ % 2 === 0 ? 'remote-failure' : refusal) }, ['a'])
  expect([(await scene.send('submit', 4000)).reply.kind, (await scene.send('read', 4000)).reply]).toEqual(['unknown', refusal])
})

// Guards against clients that wait for a leader that no longer answers although the next one is known.
test('a request that was sent to a leader that has stopped answering is served soon after the next leader is elected', async () => {
  const electedAfterMs = 1300
  const measure = async (sentAfterMs: number): Promise<[WorkflowReply['kind'], boolean]> => {
    const hosts: Record<string, Host> = { a: LEADS, b: follow('a'), c: follow('a') }
    const scene = await createScene(hosts, ['a', 'b', 'c'])
    const stoppedAt = scene.clock.now()
    Object.assign(hosts, { a: () => 'deadline-exceeded', b: follow(undefined), c: follow(undefined) })
    scene.clock.sleep(electedAfterMs).then(() => { Object.assign(hosts, { b: LEADS, c: follow('b') }) })
    await scene.clock.advance(sentAfterMs)
    const { reply } = await scene.send('submit', 3000)
    return [reply.kind, scene.clock.now() - stoppedAt < electedAfterMs + 350]
  }
  const outcomes = await Promise.all([0, 200, 400, 600].map(measure))
  expect(outcomes).toEqual(outcomes.map(() => ['accepted', true]))
})

// On a loaded host or a lossy link an answer takes longer than the pause before the next search.
test('a leader that answers slowly is found', async () => {
  const clock = createManualClock(10_000)
  const network = {
    self: 'entry',
    handle: () => {},
    request: async () => {
      await clock.sleep(500)
      return Ok(PONG)
    }
  }
  const gateway = createWorkflowGateway({ clock, logger: createSilentLogger(), network: withDeadlines(clock, network), seeds: ['a'], reorderMs: 250 })
  for (let passed = 0; passed < 2000; passed += 10) await clock.advance(10)
  expect(gateway.isReady()).toBe(true)
})

/** Ends each request at its deadline, as the network between hosts does. */
function withDeadlines (clock: ManualClock, network: Network): Network {
  return {
    ...network,
    request: (to, kind, body, deadline) => Promise.race([
      network.request(to, kind, body, deadline),
      clock.sleep(deadline - clock.now()).then(() => Err({ kind: 'deadline-exceeded' as const, to, message: 'late' }))
    ])
  }
}

// The word of a follower may have been on its way since before the election.
test('a late answer of a follower that names the earlier leader does not replace one that has answered itself', async () => {
  const hosts: Record<string, Host> = { a: () => 'deadline-exceeded', b: LEADS }
  const waits: Array<(reply: WorkflowReply) => void> = []
  hosts.c = () => new Promise((resolve) => waits.push(resolve))
  const scene = await createScene(hosts, ['b', 'c'], 100)
  waits.forEach((answer) => answer({ kind: 'not-leader', leader: 'a', voters: ['a', 'b', 'c'] }))
  await scene.clock.advance(5)
  await scene.send('submit', 3000)
  expect([waits.length > 0, scene.sent]).toEqual([true, ['b']])
})

// Entry hosts have no replica, so they learn the limits that the operator publishes only from the leader.
test('the limits of the catalog are those of the last answer of the leader', async () => {
  const limits = { maxBodyBytes: 1000 }
  const hosts: Record<string, Host> = { a: () => ({ kind: 'pong', hasCatalog: true, voters: ['a'], limits }) }
  const scene = await createScene(hosts, ['a'])
  expect(scene.gateway.getLimits()).toEqual(limits)
  hosts.a = LEADS
  await scene.clock.advance(1000)
  expect(scene.gateway.getLimits()).toBeUndefined()
})
