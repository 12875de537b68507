import type { Clock, Network } from '../common/index.js'
import type { WorkerClient } from '../coordination/tasks/index.js'

/** The clock of a simulated process, with its own rate. While the process is paused, its sleeps and requests don't return. */
export interface PausableClock extends Clock {
  setPaused (paused: boolean): void
  /** Wraps a network or a client, so that replies reach the process only while it isn't paused. */
  guard (network: Network): Network
  guardClient (client: WorkerClient): WorkerClient
}

export function createPausableClock (base: Clock, rate = 1): PausableClock {
  let waiting: Array<() => void> | undefined

  const waitUntilResumed = async <T>(promise: Promise<T>): Promise<T> => {
    const value = await promise
    if (waiting !== undefined) await new Promise<void>((resolve) => { waiting?.push(resolve) })
    return value
  }

  const setPaused = (paused: boolean): void => {
    const resumed = waiting ?? []
    waiting = paused ? resumed : undefined
    if (!paused) resumed.forEach((resume) => resume())
  }

  return {
    now: () => base.now() * rate,
    wall: () => base.wall(),
    sleep: (ms, signal) => waitUntilResumed(base.sleep(ms / rate, signal)),
    setPaused,
    guard: (network) => ({
      self: network.self,
      handle: network.handle,
      request: (to, kind, body, deadline) => waitUntilResumed(network.request(to, kind, body, deadline / rate))
    }),
    guardClient: (client) => ({
      exchange: (url, request, deadline) => waitUntilResumed(client.exchange(url, request, deadline / rate))
    })
  }
}
