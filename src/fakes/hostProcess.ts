import type { Clock } from '../common/index.js'

/** One simulated process: its clock may run at another rate, and it can be frozen or killed. */
export interface HostProcess {
  readonly clock: Clock
  isAlive (): boolean
  /** Nothing of the process runs until `resume`, while time passes. */
  freeze (): void
  resume (): void
  /** Nothing of the process ever runs again. */
  kill (): void
  /** Resolves when the process may run; never once it was killed. */
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
