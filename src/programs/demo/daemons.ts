import { spawn, type ChildProcess } from 'node:child_process'
import { mkdirSync, openSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'

const DAEMON_PROGRAM = fileURLToPath(new URL('../daemon.js', import.meta.url))
const READY_POLL_MS = 100

export interface DaemonProcess {
  id: string
  url: string
  child: ChildProcess
  /** Sends a signal to this process and not to its process group. */
  kill (signal: NodeJS.Signals): void
  waitUntilExit (): Promise<number | null>
}

/** Starts a daemon as a child process that writes its log to a file. */
export function startDaemon (options: { config: string, id: string, http: string, folder: string, program?: string, flags?: string[] }): DaemonProcess {
  const { config, id, http, folder, program = DAEMON_PROGRAM, flags = [] } = options
  mkdirSync(folder, { recursive: true })
  const log = openSync(join(folder, `${id}.log`), 'a')
  // A small young generation of the heap keeps the resident memory low and costs little, because the daemon allocates little.
  const child = spawn(process.execPath, ['--max-semi-space-size=1', program, '--config', config, '--host', id, ...flags], { stdio: ['ignore', log, log] })
  const exited = new Promise<number | null>((resolve) => child.once('exit', (code) => resolve(code)))
  return { id, url: `http://${http}`, child, kill: (signal) => { child.kill(signal) }, waitUntilExit: () => exited }
}

/** Returns whether the daemon became ready before the deadline (wall-clock ms); false also if it exited. */
export async function waitUntilReady (daemon: DaemonProcess, deadline: number): Promise<boolean> {
  while (Date.now() < deadline && daemon.child.exitCode === null) {
    if (await isReady(daemon.url)) return true
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS))
  }
  return false
}

async function isReady (url: string): Promise<boolean> {
  try {
    const { statusCode, body } = await request(`${url}/ready`)
    await body.dump()
    return statusCode === 200
  } catch {
    return false
  }
}
