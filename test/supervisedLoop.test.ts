import { EventEmitter } from 'node:events'
import { expect, test } from 'vitest'
import { createManualClock, createSilentLogger, handleProcessFaults, runSupervised, type Clock } from '../src/common/index.js'
import { createWorkflowGateway, type WorkerClient } from '../src/coordination/workflows/index.js'
import { LEASE_MS } from '../src/coordination/workflows/timing.js'
import { createHosts, createScene } from './workflows/support.js'

/** Runs a loop that fails at the given runs and returns when each run began. */
async function listRunTimes (failures: number, runMs: number, stoppedAfter = Infinity): Promise<number[]> {
  const clock = createManualClock()
  const startedAt: number[] = []
  const loop = async (): Promise<void> => {
    startedAt.push(clock.now())
    await clock.sleep(runMs)
    if (startedAt.length <= failures) throw new Error('unexpected')
  }
  runSupervised({ clock, logger: createSilentLogger(), event: 'failed', isStopped: () => startedAt.length >= stoppedAfter }, loop)
  await clock.advance(60_000)
  return startedAt
}

test('a background loop that fails runs again after a growing delay, and ends when it returns or its host stops', async () => {
  expect([await listRunTimes(7, 0), await listRunTimes(3, 11_000), await listRunTimes(7, 0, 2)]).toEqual([
    [0, 50, 150, 350, 750, 1550, 2550, 3550],
    [0, 11_050, 22_100, 33_150],
    [0, 50]
  ])
})

// Guards against a host that looks healthy and schedules nothing any more after one unexpected error.
test('one unexpected error in a scheduling pass delays the tasks that wait and does not end the scheduling', async () => {
  const scene = await createScene(['w1'])
  const { state } = scene.log
  let failures = 1
  // The pass reads the state first; the error stands for any defect in the code of a pass.
  scene.log.state = () => {
    if (new Error().stack?.includes('runPass') === true && failures-- > 0) throw new Error('unexpected')
    return state()
  }
  await scene.submit('x', [{ count: 2 }])
  await scene.run(3000)
  expect([failures < 1, scene.listEvents('ended').map(({ cause }) => cause)]).toEqual([true, ['succeeded', 'succeeded']])
})

// Guards against a worker that nobody polls any more: its leases end although it is sound.
test('one unexpected error in a session with a worker does not end its polls', async () => {
  let failures = 3
  const polledAt = new Map<string, number>()
  const useClient = (clock: Clock, client: WorkerClient): WorkerClient => ({
    ...client,
    poll: async (...call) => {
      if (call[1].waitMs > 0 && failures-- > 0) throw new Error('unexpected')
      polledAt.set(call[0].id, clock.now())
      return client.poll(...call)
    }
  })
  const hosts = await createHosts(['h1', 'h2', 'h3', 'h4'], 3, useClient)
  hosts.fleet.plan = () => ({ runMs: 0, result: 'never' })
  hosts.submit('x', [{ count: 6, cores: 1, lasting: true, maxUnavailable: 0 }])
  await hosts.clock.advance(15_000)
  const longestAgoMs = Math.max(...[...polledAt.values()].map((at) => hosts.clock.now() - at))
  expect([failures < 1, polledAt.size, longestAgoMs < LEASE_MS / 2]).toEqual([true, 3, true])
  expect(hosts.fleet.events.filter(({ kind }) => kind === 'ended')).toEqual([])
  await hosts.stop()
})

test('an entry host finds the leader again after an unexpected error of its pings', async () => {
  const clock = createManualClock()
  let failures = 2
  const network = {
    self: 'entry',
    handle: () => {},
    request: async () => {
      if (failures-- > 0) throw new Error('unexpected')
      return { ok: true, err: false, val: { kind: 'pong', hasCatalog: true, voters: ['a'] } }
    }
  }
  const gateway = createWorkflowGateway({ clock, logger: createSilentLogger(), network: network as never, seeds: ['a'], reorderMs: 250 })
  await clock.advance(1000)
  expect(gateway.isReady()).toBe(true)
})

// Node.js ends a process for an unhandled rejection, which one malformed message can cause.
test('an unhandled rejection is reported and the process goes on; an exception outside a promise stops it', () => {
  const emitter = new EventEmitter()
  const calls: string[] = []
  handleProcessFaults(emitter, { report: (kind) => { calls.push(kind) }, stop: () => { calls.push('stop') } })
  emitter.emit('unhandledRejection', new Error('malformed'))
  emitter.emit('uncaughtException', new Error('broken'))
  expect(calls).toEqual(['unhandled-rejection', 'uncaught-exception', 'stop'])
})
