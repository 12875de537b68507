import { readFile, readdir } from 'node:fs/promises'
import type { AttackResult } from './clientGroup.js'

const SAMPLE_INTERVAL_MS = 20

/** Samples the memory and the open descriptors of a process until it is stopped. */
export function createProcessProbe (pid: number): { stop (): Promise<AttackResult> } {
  const result: AttackResult = { isAlive: true, peakMb: 0, peakFds: 0 }
  const run = { isStopped: false }
  const sample = async (): Promise<void> => {
    try {
      const status = await readFile(`/proc/${pid}/status`, 'utf8')
      const peakKb = /^VmHWM:\s+(\d+) kB/m.exec(status)?.[1]
      // A process that has exited and was not yet collected by its parent has no memory.
      if (peakKb === undefined) throw new Error('the process has exited')
      result.peakMb = Math.max(result.peakMb, Math.ceil(Number(peakKb) / 1024))
      result.peakFds = Math.max(result.peakFds, (await readdir(`/proc/${pid}/fd`)).length)
    } catch {
      result.isAlive = false
    }
  }
  const runSamples = async (): Promise<void> => {
    while (!run.isStopped && result.isAlive) {
      await sample()
      await new Promise((resolve) => setTimeout(resolve, SAMPLE_INTERVAL_MS))
    }
  }
  const running = runSamples()
  return {
    stop: async () => {
      run.isStopped = true
      await running
      if (result.isAlive) await sample()
      return result
    }
  }
}
