import { afterEach, expect, test } from 'vitest'
import { createNoopMetrics, createNoopEventLoopMeter, createSilentLogger, createSystemClock } from '../../src/common/index.js'
import { openPeerNetwork, type PeerNetwork } from '../../src/transport/index.js'
import { createCredentialVerifier, createPeerCredential } from '../../src/transport/peerAuth.js'
import { openRelay } from '../support/relay.js'

const clock = createSystemClock()
const closers: Array<() => unknown> = []
afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()))
})

async function open (self: string, addresses: Record<string, string>, secret = 's'.repeat(32)): Promise<PeerNetwork> {
  const network = await openPeerNetwork({
    self, listenHost: '127.0.0.1', listenPort: 0, secret, clock, logger: createSilentLogger(), metrics: createNoopMetrics(), work: createNoopEventLoopMeter(), findAddress: (host) => addresses[host]
  })
  closers.push(() => network.close())
  return network
}

const soon = (ms = 3_000): number => clock.now() + ms

test('each request gets its own reply, even if replies arrive in another order', async () => {
  const addresses: Record<string, string> = {}
  const [a, b] = [await open('a', addresses), await open('b', addresses)]
  addresses.b = `127.0.0.1:${b.getPort()}`
  b.handle('echo', async (from, body) => {
    const { value, delayMs } = body as { value: number, delayMs: number }
    await clock.sleep(delayMs)
    return { from, value }
  })
  const replies = await Promise.all([30, 10, 20, 0].map((delayMs, value) => a.request('b', 'echo', { value, delayMs }, soon())))
  expect(replies.map((reply) => reply.val)).toEqual([0, 1, 2, 3].map((value) => ({ from: 'a', value })))
})

test('a failing handler, a missing one and a host without an address are told apart', async () => {
  const addresses: Record<string, string> = {}
  const [a, b] = [await open('a', addresses), await open('b', addresses)]
  addresses.b = `127.0.0.1:${b.getPort()}`
  b.handle('fail', async () => { throw new Error('disk is full') })
  b.handle('hang', () => new Promise(() => {}))
  const failures = await Promise.all([
    a.request('b', 'fail', {}, soon()),
    a.request('b', 'none', {}, soon()),
    a.request('b', 'hang', {}, soon(50)),
    a.request('c', 'any', {}, soon(100))
  ])
  expect(failures.map((failure) => failure.val)).toMatchSnapshot()
})

test('a host that does not know the secret cannot connect', async () => {
  const addresses: Record<string, string> = {}
  const [a, b] = [await open('a', addresses, 'x'.repeat(32)), await open('b', addresses)]
  addresses.b = `127.0.0.1:${b.getPort()}`
  b.handle('echo', async (_from, body) => body)
  expect((await a.request('b', 'echo', {}, soon(500))).val).toMatchObject({ kind: 'unreachable' })
})

test('a connection that stays silent is closed, and the next requests use a new one', async () => {
  const addresses: Record<string, string> = {}
  const [a, b] = [await open('a', addresses), await open('b', addresses)]
  const relay = await openRelay(b.getPort())
  closers.push(() => relay.close())
  addresses.b = `127.0.0.1:${relay.port}`
  b.handle('echo', async (_from, body) => body)
  expect((await a.request('b', 'echo', 1, soon())).val).toBe(1)
  relay.silenceOpenConnections()
  expect((await a.request('b', 'echo', 2, soon(5_000))).val).toMatchObject({ kind: 'remote-failure' })
  expect((await a.request('b', 'echo', 3, soon())).val).toBe(3)
  expect(relay.countConnections()).toBe(2)
})

test('a credential is accepted once, only while it is recent, and only by the host that it names', () => {
  const verifier = createCredentialVerifier('secret', 'b')
  const credential = createPeerCredential('secret', 'a', 'b', 1_000_000)
  const forOther = createPeerCredential('secret', 'a', 'c', 1_000_000)
  const altered = { ...createPeerCredential('secret', 'a', 'b', 1_000_000), host: 'x' }
  const old = createPeerCredential('secret', 'a', 'b', 1_000_000 - 60_001)
  expect([credential, credential, forOther, altered, old].map((each) => verifier.accept(each, 1_000_000))).toEqual([true, false, false, false, false])
  expect(verifier.accept(credential, 1_000_000 + 120_001)).toBe(false)
})

// Guards against counts of requests in flight that are never taken back, because a request has neither a reply nor a failure.
test('an unexpected error of a request is returned as a failure with an unknown outcome, and later requests go on', async () => {
  const addresses: Record<string, string> = {}
  const [a, b] = [await open('a', addresses), await open('b', addresses)]
  addresses.b = `127.0.0.1:${b.getPort()}`
  b.handle('echo', async (_from, body) => body)
  const unreadable = { get value () { throw new Error('unexpected') } }
  expect((await a.request('b', 'echo', unreadable, soon())).val).toMatchObject({ kind: 'remote-failure' })
  expect((await a.request('b', 'echo', { value: 1 }, soon())).val).toEqual({ value: 1 })
})
