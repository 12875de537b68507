import type { Clock } from '../common/index.js'

/** A simulated process with its own clock rate, which can be frozen or killed. */
export interface HostProcess {
  readonly clock: Clock
  isAlive (): boolean
  /** Suspends the process until `resume`, while its clock goes on. */
  freeze (): void
  resume (): void
  /** Ends the process: its pending sleeps and messages never complete. */
  kill (): void
  /** Resolves when the process is not frozen; never if it was killed. */
  waitUntilRunning (): Promise<void>
}

export function createHostProcess (base: Clock, rate = 1): HostProcess {
  let isAlive = true
  let isFrozen = false
  const waiting: Array<() => void> = []

  const waitUntilRunning = (): Promise<void> => {
    if (!isAlive) return new Promise(() => {})
    if (!isFrozen) return Promise.resolve()
    return new Promise((resolve) => { waiting.push(resolve) })
  }

  return {
    clock: {
      now: () => base.now() * rate,
      wall: () => base.wall(),
      sleep: async (ms, signal) => {
        await base.sleep(ms / rate, signal)
        await waitUntilRunning()
      }
    },
    isAlive: () => isAlive,
    freeze: () => { isFrozen = true },
    resume: () => {
      isFrozen = false
      waiting.splice(0).forEach((resolve) => { if (isAlive) resolve() })
    },
    kill: () => { isAlive = false },
    waitUntilRunning
  }
}
