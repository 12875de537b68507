import { expect, test } from 'vitest'
import { computeProcessLimits, findConnectionToClose, listExpiredConnections, type ConnectionPhase } from '../../src/transport/connectionLimit.js'

const TIMEOUTS = { headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
const create = (phase: ConnectionPhase, since: number): { phase: ConnectionPhase, since: number } => ({ phase, since })

// The deployed machines. 100 callers with a request of 262,144 bytes each must fit on an entry host, and one of 4 MiB on a voter.
test('the limits of the deployed machines hold for the clients that they have to serve', () => {
  const [entry, voter] = [{ memoryMb: 250, maxFds: 4100 }, { memoryMb: 346, maxFds: 4096 }].map(computeProcessLimits)
  expect([entry, voter]).toMatchInlineSnapshot(`
    [
      {
        "auxiliaryConnections": 83,
        "bodyBytes": 43690666,
        "peerConnections": 333,
        "requestConnections": 666,
        "unsentPeerBytes": 16384000,
      },
      {
        "auxiliaryConnections": 115,
        "bodyBytes": 60467882,
        "peerConnections": 461,
        "requestConnections": 922,
        "unsentPeerBytes": 22675456,
      },
    ]
  `)
  expect(entry!.bodyBytes).toBeGreaterThan(100 * (262_144 + 16_384))
  expect(entry!.requestConnections).toBeGreaterThan(100)
  expect(voter!.bodyBytes).toBeGreaterThan(2 * 4 * 1024 * 1024)
  expect(voter!.requestConnections).toBeGreaterThan(250)
})

test('connections of all kinds stay within the descriptors that are not reserved for files', () => {
  const { requestConnections, auxiliaryConnections, peerConnections } = computeProcessLimits({ memoryMb: 1000, maxFds: 1000 })
  expect(requestConnections + 2 * auxiliaryConnections + peerConnections).toBeLessThanOrEqual(800)
})

// An ordinary caller must never lose a connection before the published idle time-out.
test('the connection that has been idle longest is closed first, but none before the idle time-out', () => {
  const connections = [create('busy', 0), create('idle', 4000), create('idle', 2000)]
  expect(findConnectionToClose(connections, TIMEOUTS, 17_500)).toEqual(create('idle', 2000))
  expect(findConnectionToClose(connections, TIMEOUTS, 16_000)).toBeUndefined()
})

test('without an idle connection the slowest header is given up, and a request in progress never', () => {
  const connections = [create('busy', 0), create('header', 1500), create('header', 1000), create('unread', 0)]
  expect(findConnectionToClose(connections, TIMEOUTS, 2200)).toEqual(create('header', 1000))
  expect(findConnectionToClose(connections, TIMEOUTS, 1900)).toBeUndefined()
})

// Stopped bodies would otherwise hold all connections, and ordinary callers could not connect.
test('a body below the minimum rate makes room for a new connection, the slowest first', () => {
  const connections = [{ ...create('body', 0), recentBytes: 100 }, { ...create('body', 0), recentBytes: 1 }, { ...create('body', 0), recentBytes: 5000 }]
  expect(findConnectionToClose(connections, TIMEOUTS, 1000)).toEqual(connections[1])
  expect(findConnectionToClose(connections, TIMEOUTS, 999)).toBeUndefined()
  expect(findConnectionToClose(connections.slice(2), TIMEOUTS, 9000)).toBeUndefined()
})

test('phases expire by the published limits', () => {
  const connections = [create('busy', 0), create('idle', 0), create('header', 0), create('unread', 0), create('idle', 5000)]
  expect(listExpiredConnections(connections, TIMEOUTS, 3001)).toEqual([create('header', 0)])
  expect(listExpiredConnections(connections, TIMEOUTS, 15_001)).toEqual([create('idle', 0), create('header', 0), create('unread', 0)])
})
