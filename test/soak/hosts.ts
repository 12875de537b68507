import { spawn, type ChildProcess } from 'node:child_process'
import { closeSync, openSync } from 'node:fs'
import { mkdir, rm, writeFile } from 'node:fs/promises'
import { join, resolve } from 'node:path'
import { stringify } from 'smol-toml'
import { openLink, type Link } from './links.js'
import type { InvariantChecker } from './invariantChecker.js'

const PROGRAM_PATH = resolve('target/sequoiadrift.cjs')
export const SHUTDOWN_GRACE_MS = 6000
/** The platform kills a process that has not exited this long after the grace period. */
const KILL_MARGIN_MS = 500
const RESTART_MS = 300
const PEER_PORT = 22_000
const CONTROL_PORT = 21_001
const CONTROL_LINK_PORT = 21_002
const CLIENT_PORT = 21_003
const CLIENT_LINK_PORT = 21_004
const READY_PORT = 21_005
const METRICS_PORT = 21_006

export type Role = 'voter' | 'entry'

export interface Host {
  name: string
  role: Role
  slot: number
  ip: string
  state: 'down' | 'up' | 'stopping' | 'paused'
  process: ChildProcess | undefined
  lives: number
  startedAt: number
  stoppedAt: number
}

export interface HostSet {
  list: Host[]
  voters: Host[]
  entries: Host[]
  /** Links by the name `from>to`, one for each ordered pair of hosts. */
  peerLinks: Map<string, Link>
  controlLinks: Map<Host, Link>
  clientLinks: Map<Host, Link>
  start (host: Host): Promise<void>
  /** Sends SIGTERM and waits for the process to exit. */
  terminate (host: Host): Promise<void>
  kill (host: Host, options: { clearsDisk: boolean }): Promise<void>
  pause (host: Host): void
  resume (host: Host): void
  reloadSettings (host: Host): Promise<void>
  close (): Promise<void>
}

export interface HostOptions { folder: string, network: string, voters: number, entries: number, checker: InvariantChecker }

export const getReadyUrl = (host: Host): string => `http://${host.ip}:${READY_PORT}/readyz`

export async function openHosts (options: HostOptions): Promise<HostSet> {
  const { folder, network, checker } = options
  const createHost = (role: Role, number: number, slot: number): Host => ({
    name: `${role}-${number}`, role, slot, ip: `${network}.${slot + 1}`, state: 'down', process: undefined, lives: 0, startedAt: 0, stoppedAt: -Infinity
  })
  const voters = Array.from({ length: options.voters }, (_, number) => createHost('voter', number, number))
  const entries = Array.from({ length: options.entries }, (_, number) => createHost('entry', number, options.voters + number))
  const list = [...voters, ...entries]
  await mkdir(folder, { recursive: true })

  // Each host has its own peer port and expects all other hosts on that port number, so that a proxy can listen at the
  // address at which the host looks for another one.
  const peerLinks = new Map<string, Link>()
  for (const from of list) {
    for (const to of list.filter((host) => host !== from)) {
      const name = `${from.name}>${to.name}`
      peerLinks.set(name, await openLink(name, `${to.ip}:${PEER_PORT + from.slot}`, `${to.ip}:${PEER_PORT + to.slot}`))
    }
  }
  const openFrontLink = async (host: Host, port: number, target: number): Promise<[Host, Link]> => [host, await openLink(`*>${host.name}`, `${host.ip}:${port}`, `${host.ip}:${target}`)]
  const controlLinks = new Map(await Promise.all(voters.map((host) => openFrontLink(host, CONTROL_LINK_PORT, CONTROL_PORT))))
  const clientLinks = new Map(await Promise.all(entries.map((host) => openFrontLink(host, CLIENT_LINK_PORT, CLIENT_PORT))))

  const getFile = (host: Host, ending: string): string => join(folder, `${host.name}.${ending}`)
  const getDisk = (host: Host): string => join(folder, `${host.name}.data`)

  const writeSettings = (host: Host): Promise<void> => writeFile(getFile(host, 'toml'), stringify({
    nodeName: host.name,
    role: host.role,
    ip: host.ip,
    zone: ['a', 'b', 'c'][host.slot % 3] ?? 'a',
    internalPorts: [PEER_PORT + host.slot, PEER_PORT + host.slot],
    seeds: [...voters].slice(0, 3).map((voter) => `${voter.ip}:${CONTROL_PORT}`),
    bootstrap: host.lives === 0,
    ...(host.role === 'voter' ? { dataDir: getDisk(host) } : {}),
    listenAddrs: host.role === 'voter' ? { control: `${host.ip}:${CONTROL_PORT}` } : { frontend: `${host.ip}:${CLIENT_PORT}`, readiness: `${host.ip}:${READY_PORT}` },
    faultTolerance: { machines: Math.floor((options.voters - 1) / 2) },
    bounds: { graceS: SHUTDOWN_GRACE_MS / 1000 }
  }))

  /** Hosts whose settings are being written for a process that is not started yet. */
  const starting = new Set<Host>()

  const start = async (host: Host): Promise<void> => {
    if (host.process !== undefined || starting.has(host)) return
    starting.add(host)
    await writeSettings(host)
    if (host.role === 'voter') await mkdir(getDisk(host), { recursive: true })
    const log = openSync(getFile(host, 'log'), 'a')
    const child = spawn(process.execPath, [PROGRAM_PATH, host.role, String(METRICS_PORT)], { env: { PATH: process.env.PATH, SEQUOIADRIFT_SETTINGS: getFile(host, 'toml') }, stdio: ['ignore', log, log] })
    closeSync(log)
    starting.delete(host)
    Object.assign(host, { process: child, state: 'up', lives: host.lives + 1, startedAt: performance.now() })
    checker.trace('process-start', { host: host.name, pid: child.pid })
    child.once('exit', (code, signal) => {
      checker.trace('process-exit', { host: host.name, code, signal })
      const isExpected = host.process !== child || host.state === 'stopping' || host.state === 'down'
      if (!isExpected) checker.report('process', `${host.name} ended by itself with code ${code} and signal ${signal}`)
      if (host.process === child) Object.assign(host, { process: undefined, state: 'down' })
      if (!isExpected && !state.isClosing) setTimeout(() => { if (!state.isClosing) start(host) }, RESTART_MS)
    })
  }
  const state = { isClosing: false }

  const waitForExit = (host: Host): Promise<void> => {
    const child = host.process
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return Promise.resolve()
    return new Promise((resolve) => child.once('exit', () => resolve()))
  }

  const terminate = async (host: Host): Promise<void> => {
    const child = host.process
    if (child === undefined || host.state !== 'up') return
    Object.assign(host, { state: 'stopping', stoppedAt: performance.now() })
    child.kill('SIGTERM')
    const timer = setTimeout(() => {
      checker.report('process', `${host.name} did not end within ${SHUTDOWN_GRACE_MS} ms of SIGTERM`)
      child.kill('SIGKILL')
    }, SHUTDOWN_GRACE_MS + KILL_MARGIN_MS)
    await waitForExit(host)
    clearTimeout(timer)
    if (child.exitCode !== 0 && child.signalCode !== 'SIGKILL') checker.report('process', `${host.name} ended with code ${child.exitCode} and signal ${child.signalCode} after SIGTERM`)
  }

  const kill = async (host: Host, { clearsDisk }: { clearsDisk: boolean }): Promise<void> => {
    const ended = waitForExit(host)
    host.state = 'down'
    host.process?.kill('SIGKILL')
    await ended
    if (clearsDisk) await rm(getDisk(host), { recursive: true, force: true })
  }

  const close = async (): Promise<void> => {
    state.isClosing = true
    await Promise.all(list.map((host) => kill(host, { clearsDisk: false })))
    await Promise.all([...peerLinks.values(), ...controlLinks.values(), ...clientLinks.values()].map((link) => link.close()))
  }

  return {
    list,
    voters,
    entries,
    peerLinks,
    controlLinks,
    clientLinks,
    start,
    terminate,
    kill,
    pause: (host) => {
      if (host.state !== 'up') return
      host.state = 'paused'
      host.process?.kill('SIGSTOP')
    },
    resume: (host) => {
      if (host.state !== 'paused') return
      host.state = 'up'
      host.process?.kill('SIGCONT')
    },
    reloadSettings: async (host) => {
      if (host.state !== 'up') return
      await writeSettings(host)
      host.process?.kill('SIGHUP')
    },
    close
  }
}
