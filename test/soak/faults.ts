import { connect } from 'node:net'
import type { Random } from '../../src/common/index.js'
import type { Traffic } from './clients.js'
import type { Host, HostSet } from './hosts.js'
import type { InvariantChecker } from './invariantChecker.js'
import { splitAddress, type Direction, type Link } from './links.js'
import type { FakeWorker } from './fakeWorker.js'

const FIRST_FAULT_AT_MS = 3000
const MIN_FAULT_PHASE_MS = 7000
const FAULT_PHASE_SPREAD_MS = 4000
/**
 * Time without faults after each fault phase. Within it, long-running tasks must run again, and a voter whose disk was
 * cleared must have copied the log from the others.
 */
export const FAULT_FREE_MS = 12_000
const MAX_FAULT_MS = 6000
const MAX_DOWN_MS = 2500
const MAX_DELAY_MS = 400
const MIN_DOWN_MS = 300
/** An evacuation begins within this time of the start of a phase and lasts until its end, which is longer than the bound on starts. */
const EVACUATION_SPREAD_MS = 1000
/** Time of silence before the crash of 'worker-recut'. Hosts send orders until they notice it, and these orders may be executed late. */
const RECUT_SILENT_MS = 500
const RECUT_MIN_DOWN_MS = 300
const RECUT_DOWN_SPREAD_MS = 600
/** Time between the restart and the cut, in which the hosts assign tasks to the new incarnation. */
const RECUT_UP_MS = 2000
const MIN_RECUT_LATE_SHARE = 0.3
const ZONES = ['a', 'b', 'c']
/** Clients of a group that send most of a body of legal size and then nothing until the end of their phase. */
const UNFINISHED_CLIENTS = 40
const UNFINISHED_BODY_BYTES = 250_000

/** `target` selects the host, worker or link, modulo their number; `draw` in [0, 1) sets the strength or the direction. */
export interface Fault { at: number, endAt: number, kind: string, target: number, draw: number }

export interface System { hosts: HostSet, workers: FakeWorker[], traffic: Traffic, checker: InvariantChecker }

type Handler = (system: System, fault: Fault, wait: (until: number) => Promise<void>) => Promise<void>

/** Kinds of planned work, which must not fail requests in flight. */
const PLANNED_KINDS = ['stop-entry', 'stop-voter', 'hang-up', 'configurations', 'invalid-configuration', 'configurations']
const UNPLANNED_KINDS = [
  'kill', 'kill', 'kill-voter', 'kill-empty', 'kill-all', 'pause', 'pause', 'pause-voter', 'stop-entry', 'stop-voter', 'hang-up',
  'peers-delay', 'peers-cut', 'peers-cut-one-way', 'peers-cut-pair', 'peers-silence', 'peers-reset',
  'clients-delay', 'clients-reset', 'clients-silence', 'control-cut', 'control-silence',
  'worker-crash', 'worker-crash', 'worker-crash-all', 'worker-cut', 'worker-cut-one-way', 'worker-silence', 'worker-reset', 'worker-slow', 'worker-late', 'worker-late', 'worker-unhealthy',
  'configurations', 'invalid-configuration'
]

/**
 * Draws the script: phases of planned or unplanned faults, each followed by `FAULT_FREE_MS`. Times are in milliseconds
 * from the start of the traffic. One zone is evacuated and one group of clients leaves its requests unfinished in each phase;
 * in each phase of unplanned faults, the workers of one zone also start again and are cut off. These faults are drawn last, so
 * that the other faults of a seed stay as they were. At most `toleratedDisks` disks are cleared in a phase, so that a majority of voters keeps the log.
 */
export function planFaults (random: Random, { durationMs, toleratedDisks }: { durationMs: number, toleratedDisks: number }): Fault[] {
  const faults: Fault[] = []
  const phases: Array<{ phaseAt: number, endAt: number, isPlanned: boolean }> = []
  let phaseAt = FIRST_FAULT_AT_MS
  while (phaseAt + MIN_FAULT_PHASE_MS <= durationMs) {
    const endAt = Math.min(durationMs, phaseAt + MIN_FAULT_PHASE_MS + random.below(FAULT_PHASE_SPREAD_MS))
    const isPlanned = random.next() < 0.25
    let emptiedDisks = 0
    let at = phaseAt
    while (at < endAt) {
      const kind = random.pick(isPlanned ? PLANNED_KINDS : UNPLANNED_KINDS)
      emptiedDisks += kind === 'kill-empty' ? 1 : 0
      const lastsMs = 300 + random.below(MAX_FAULT_MS)
      if (kind !== 'kill-empty' || emptiedDisks <= toleratedDisks) faults.push({ at, endAt: Math.min(endAt, at + lastsMs), kind, target: random.below(1 << 20), draw: random.next() })
      at += isPlanned ? 1500 + random.below(4000) : 100 + random.below(1400)
    }
    phases.push({ phaseAt, endAt, isPlanned })
    phaseAt = endAt + FAULT_FREE_MS
  }
  const evacuations = phases.map(({ phaseAt, endAt }): Fault => ({ at: phaseAt + random.below(EVACUATION_SPREAD_MS), endAt, kind: 'evacuate-zone', target: random.below(1 << 20), draw: 0 }))
  const groups = phases.map(({ phaseAt, endAt }): Fault => ({ at: phaseAt, endAt, kind: 'unfinished-bodies', target: random.below(1 << 20), draw: 0 }))
  const recuts = phases.filter(({ isPlanned }) => !isPlanned).map(({ phaseAt, endAt }): Fault => ({ at: phaseAt, endAt, kind: 'worker-recut', target: random.below(1 << 20), draw: random.next() }))
  return [...faults, ...evacuations, ...groups, ...recuts]
}

function selectPeerLinks ({ hosts }: System, { target }: Fault): Link[] {
  const host = selectByNumber(hosts.list, target)
  return [...hosts.peerLinks.values()].filter(({ name }) => name.split('>').includes(host.name))
}

function selectByNumber<T> (items: readonly T[], target: number): T {
  return items[target % items.length] as T
}

async function killHost ({ hosts }: System, host: Host, fault: Fault, wait: (until: number) => Promise<void>, clearsDisk = false): Promise<void> {
  await hosts.kill(host, { clearsDisk })
  await wait(Math.min(fault.endAt, fault.at + MIN_DOWN_MS + fault.draw * MAX_DOWN_MS))
  if (host.state === 'down' && host.process === undefined) await hosts.start(host)
}

async function stopHost ({ hosts }: System, host: Host): Promise<void> {
  await hosts.terminate(host)
  if (host.state === 'down' && host.process === undefined) await hosts.start(host)
}

async function pauseHost ({ hosts }: System, host: Host, fault: Fault, wait: (until: number) => Promise<void>): Promise<void> {
  hosts.pause(host)
  await wait(fault.endAt)
  hosts.resume(host)
}

async function runLinkFault (links: Link[], fault: Fault, wait: (until: number) => Promise<void>, applyFault: (link: Link) => void): Promise<void> {
  links.forEach(applyFault)
  await wait(fault.endAt)
  links.forEach((link) => link.heal())
}

const getDirection = ({ draw }: Fault): Direction[] => [draw < 0.5 ? 'forward' : 'back']

async function runWorkerFault ({ workers }: System, fault: Fault, wait: (until: number) => Promise<void>, applyFault: (worker: FakeWorker) => void): Promise<void> {
  const worker = selectByNumber(workers, fault.target)
  applyFault(worker)
  await wait(fault.endAt)
  worker.restore()
}

const handlers: Record<string, Handler> = {
  kill: (system, fault, wait) => killHost(system, selectByNumber(system.hosts.list, fault.target), fault, wait),
  'kill-voter': (system, fault, wait) => killHost(system, selectByNumber(system.hosts.voters, fault.target), fault, wait),
  'kill-empty': (system, fault, wait) => killHost(system, selectByNumber(system.hosts.voters, fault.target), fault, wait, true),
  'kill-all': async (system, fault, wait) => { await Promise.all(system.hosts.list.map((host) => killHost(system, host, { ...fault, draw: 0.1 }, wait))) },
  pause: (system, fault, wait) => pauseHost(system, selectByNumber(system.hosts.list, fault.target), fault, wait),
  'pause-voter': (system, fault, wait) => pauseHost(system, selectByNumber(system.hosts.voters, fault.target), fault, wait),
  'stop-entry': (system, fault) => stopHost(system, selectByNumber(system.hosts.entries, fault.target)),
  'stop-voter': (system, fault) => stopHost(system, selectByNumber(system.hosts.voters, fault.target)),
  'hang-up': (system, fault) => system.hosts.reloadSettings(selectByNumber(system.hosts.list, fault.target)),
  'peers-delay': (system, fault, wait) => runLinkFault(selectPeerLinks(system, fault), fault, wait, (link) => link.setDelay(10 + fault.draw * MAX_DELAY_MS)),
  'peers-cut': (system, fault, wait) => runLinkFault(selectPeerLinks(system, fault), fault, wait, (link) => link.setCut(['forward', 'back'])),
  'peers-cut-one-way': (system, fault, wait) => {
    // Cuts either all outgoing or all incoming bytes of the host, both on connections that it opened and on those opened to it.
    const host = selectByNumber(system.hosts.list, fault.target)
    return runLinkFault(selectPeerLinks(system, fault), fault, wait, (link) => link.setCut([link.name.startsWith(`${host.name}>`) === (fault.draw < 0.5) ? 'forward' : 'back']))
  },
  'peers-cut-pair': (system, fault, wait) => {
    const link = selectByNumber([...system.hosts.peerLinks.values()], fault.target)
    const [from, to] = link.name.split('>')
    return runLinkFault([link, system.hosts.peerLinks.get(`${to}>${from}`) ?? link], fault, wait, (one) => one.setCut(['forward', 'back']))
  },
  'peers-silence': async (system, fault) => selectPeerLinks(system, fault).forEach((link) => link.silence()),
  'peers-reset': async (system, fault) => selectPeerLinks(system, fault).forEach((link) => link.reset()),
  'clients-delay': (system, fault, wait) => runLinkFault([...system.hosts.clientLinks.values()], fault, wait, (link) => link.setDelay(fault.draw * MAX_DELAY_MS)),
  'clients-reset': async (system, fault) => selectByNumber([...system.hosts.clientLinks.values()], fault.target).reset(),
  'clients-silence': async (system, fault) => selectByNumber([...system.hosts.clientLinks.values()], fault.target).silence(),
  'control-cut': (system, fault, wait) => runLinkFault([selectByNumber([...system.hosts.controlLinks.values()], fault.target)], fault, wait, (link) => link.setCut(getDirection(fault))),
  'control-silence': async (system, fault) => selectByNumber([...system.hosts.controlLinks.values()], fault.target).silence(),
  'worker-crash': ({ workers }, fault) => selectByNumber(workers, fault.target).crash(fault.draw * MAX_DOWN_MS, fault.target % 3 > 0),
  'worker-crash-all': async ({ workers }, fault) => { await Promise.all(workers.map((worker, number) => worker.crash(fault.draw * MAX_DOWN_MS, (fault.target + number) % 2 > 0))) },
  'worker-cut': (system, fault, wait) => runWorkerFault(system, fault, wait, (worker) => worker.link.setCut(['forward', 'back'])),
  'worker-cut-one-way': (system, fault, wait) => runWorkerFault(system, fault, wait, (worker) => worker.link.setCut(getDirection(fault))),
  'worker-silence': (system, fault, wait) => runWorkerFault(system, fault, wait, (worker) => worker.link.silence()),
  'worker-reset': async ({ workers }, fault) => selectByNumber(workers, fault.target).link.reset(),
  'worker-slow': (system, fault, wait) => runWorkerFault(system, fault, wait, (worker) => { worker.faults.answerDelayMs = fault.draw * 1500 }),
  'worker-late': (system, fault, wait) => runWorkerFault(system, fault, wait, (worker) => { worker.faults.lateShare = fault.draw }),
  'worker-recut': async ({ workers, checker }, fault, wait) => {
    const zone = selectByNumber(ZONES, fault.target)
    const downMs = RECUT_MIN_DOWN_MS + fault.draw * RECUT_DOWN_SPREAD_MS
    await Promise.all(workers.filter((worker) => worker.zone === zone).map(async (worker) => {
      worker.silence()
      worker.faults.lateShare = MIN_RECUT_LATE_SHARE + fault.draw * (1 - MIN_RECUT_LATE_SHARE)
      await wait(fault.at + RECUT_SILENT_MS)
      worker.silence()
      await worker.crash(downMs, true)
      worker.faults.lateShare = 0
      await wait(fault.at + RECUT_SILENT_MS + downMs + RECUT_UP_MS)
      checker.trace('cut-off', { worker: worker.name })
      worker.faults.isCutOff = true
      worker.link.setCut(['forward', 'back'])
      await wait(fault.endAt)
      worker.restore()
    }))
  },
  'worker-unhealthy': (system, fault, wait) => runWorkerFault(system, fault, wait, (worker) => { worker.faults.isUnhealthy = true }),
  configurations: async ({ traffic }) => { await Promise.all([traffic.putConfiguration(), traffic.putConfiguration(), traffic.putConfiguration()]) },
  'evacuate-zone': async ({ traffic }, fault, wait) => {
    const zone = selectByNumber(ZONES, fault.target)
    await traffic.changeEvacuation(zone, 'start')
    await wait(fault.endAt)
    await traffic.changeEvacuation(zone, 'stop')
  },
  'unfinished-bodies': async ({ hosts }, fault, wait) => {
    const address = hosts.clientLinks.get(selectByNumber(hosts.entries, fault.target))?.address ?? ''
    const sockets = Array.from({ length: UNFINISHED_CLIENTS }, () => {
      const socket = connect({ ...splitAddress(address), noDelay: true })
      socket.on('error', () => {})
      socket.resume()
      socket.write(`POST /guarded/${'0'.repeat(16)} HTTP/1.1\r\nHost: soak.example\r\nContent-Type: application/json\r\nContent-Length: ${UNFINISHED_BODY_BYTES}\r\n\r\n`)
      socket.write(Buffer.alloc(UNFINISHED_BODY_BYTES - 1, ' '))
      return socket
    })
    await wait(fault.endAt)
    sockets.forEach((socket) => socket.destroy())
  },
  'invalid-configuration': ({ traffic }) => traffic.putInvalidConfiguration()
}

const PLANNED_STOP_KINDS = new Set(['stop-entry', 'stop-voter'])
/** Kinds that the operator's contract doesn't count as disturbances, so that no time bound is extended by them. */
const UNDISTURBING_KINDS = new Set(['hang-up', 'configurations', 'invalid-configuration', 'evacuate-zone', 'unfinished-bodies'])

export async function runFaults (system: System, faults: Fault[], startedAt: number, signal: AbortSignal): Promise<void> {
  const waitUntil = async (at: number): Promise<void> => {
    while (performance.now() < startedAt + at && !signal.aborted) await new Promise((resolve) => setTimeout(resolve, Math.min(100, Math.max(0, startedAt + at - performance.now()))))
  }
  await Promise.all(faults.map(async (fault) => {
    await waitUntil(fault.at)
    if (signal.aborted) return
    const description = renderFault(fault)
    system.checker.trace('fault', { description })
    const endDisturbance = UNDISTURBING_KINDS.has(fault.kind) ? () => {} : system.checker.beginDisturbance(description, PLANNED_STOP_KINDS.has(fault.kind))
    await handlers[fault.kind]?.(system, fault, waitUntil)
    endDisturbance()
  }))
}

export function renderFault ({ at, endAt, kind, target, draw }: Fault): string {
  return `${(at / 1000).toFixed(1)}-${(endAt / 1000).toFixed(1)} s ${kind} target ${target} draw ${draw.toFixed(2)}`
}
