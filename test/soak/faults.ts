import type { Random } from '../../src/common/index.js'
import type { Traffic } from './clients.js'
import type { Host, HostSet } from './hosts.js'
import type { Ledger } from './ledger.js'
import type { Direction, Link } from './links.js'
import type { StandInWorker } from './workers.js'

const WARM_UP_MS = 3000
const MIN_WAVE_MS = 7000
const WAVE_SPREAD_MS = 4000
/** Long enough for lasting tasks to be due again and for an emptied disk to be filled from the others. */
export const CALM_MS = 12_000
const MAX_FAULT_MS = 6000
const MAX_DOWN_MS = 2500
const MAX_DELAY_MS = 400
const RESTART_MS = 300

export interface Fault { at: number, endAt: number, kind: string, target: number, draw: number }

export interface System { hosts: HostSet, workers: StandInWorker[], traffic: Traffic, ledger: Ledger }

type Handler = (system: System, fault: Fault, wait: (until: number) => Promise<void>) => Promise<void>

/** Faults that break nothing that was promised to requests in flight. */
const PLANNED = ['stop-entry', 'stop-voter', 'hang-up', 'configurations', 'invalid-configuration', 'configurations']
const UNPLANNED = [
  'kill', 'kill', 'kill-voter', 'kill-empty', 'kill-all', 'pause', 'pause', 'pause-voter', 'stop-entry', 'stop-voter', 'hang-up',
  'peers-delay', 'peers-cut', 'peers-cut-one-way', 'peers-cut-pair', 'peers-silence', 'peers-reset',
  'clients-delay', 'clients-reset', 'clients-silence', 'control-cut', 'control-silence',
  'worker-crash', 'worker-crash', 'worker-crash-all', 'worker-cut', 'worker-cut-one-way', 'worker-silence', 'worker-reset', 'worker-slow', 'worker-late', 'worker-late', 'worker-unhealthy',
  'configurations', 'invalid-configuration'
]

/** Draws the script: waves of faults with calm spans between them, in milliseconds from the start of the run. */
export function planFaults (random: Random, { durationMs, toleratedDisks }: { durationMs: number, toleratedDisks: number }): Fault[] {
  const faults: Fault[] = []
  let waveAt = WARM_UP_MS
  while (waveAt + MIN_WAVE_MS <= durationMs) {
    const endAt = Math.min(durationMs, waveAt + MIN_WAVE_MS + random.below(WAVE_SPREAD_MS))
    const isPlanned = random.next() < 0.25
    let emptied = 0
    let at = waveAt
    while (at < endAt) {
      const kind = random.pick(isPlanned ? PLANNED : UNPLANNED)
      emptied += kind === 'kill-empty' ? 1 : 0
      const lastsMs = 300 + random.below(MAX_FAULT_MS)
      if (kind !== 'kill-empty' || emptied <= toleratedDisks) faults.push({ at, endAt: Math.min(endAt, at + lastsMs), kind, target: random.below(1 << 20), draw: random.next() })
      at += isPlanned ? 1500 + random.below(4000) : 100 + random.below(1400)
    }
    waveAt = endAt + CALM_MS
  }
  return faults
}

function selectLinks ({ hosts }: System, { target }: Fault): Link[] {
  const host = select(hosts.list, target)
  return [...hosts.peerLinks.values()].filter(({ name }) => name.split('>').includes(host.name))
}

function select<T> (items: readonly T[], target: number): T {
  return items[target % items.length] as T
}

async function killHost ({ hosts }: System, host: Host, fault: Fault, wait: (until: number) => Promise<void>, emptiesDisk = false): Promise<void> {
  await hosts.kill(host, { emptiesDisk })
  await wait(Math.min(fault.endAt, fault.at + RESTART_MS + fault.draw * MAX_DOWN_MS))
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

async function harmLinks (links: Link[], fault: Fault, wait: (until: number) => Promise<void>, harm: (link: Link) => void): Promise<void> {
  links.forEach(harm)
  await wait(fault.endAt)
  links.forEach((link) => link.heal())
}

const getDirection = ({ draw }: Fault): Direction[] => [draw < 0.5 ? 'forward' : 'back']

async function harmWorker ({ workers }: System, fault: Fault, wait: (until: number) => Promise<void>, harm: (worker: StandInWorker) => void): Promise<void> {
  const worker = select(workers, fault.target)
  harm(worker)
  await wait(fault.endAt)
  worker.restore()
}

const handlers: Record<string, Handler> = {
  kill: (system, fault, wait) => killHost(system, select(system.hosts.list, fault.target), fault, wait),
  'kill-voter': (system, fault, wait) => killHost(system, select(system.hosts.voters, fault.target), fault, wait),
  'kill-empty': (system, fault, wait) => killHost(system, select(system.hosts.voters, fault.target), fault, wait, true),
  'kill-all': async (system, fault, wait) => { await Promise.all(system.hosts.list.map((host) => killHost(system, host, { ...fault, draw: 0.1 }, wait))) },
  pause: (system, fault, wait) => pauseHost(system, select(system.hosts.list, fault.target), fault, wait),
  'pause-voter': (system, fault, wait) => pauseHost(system, select(system.hosts.voters, fault.target), fault, wait),
  'stop-entry': (system, fault) => stopHost(system, select(system.hosts.entries, fault.target)),
  'stop-voter': (system, fault) => stopHost(system, select(system.hosts.voters, fault.target)),
  'hang-up': (system, fault) => system.hosts.hangUp(select(system.hosts.list, fault.target)),
  'peers-delay': (system, fault, wait) => harmLinks(selectLinks(system, fault), fault, wait, (link) => link.setDelay(10 + fault.draw * MAX_DELAY_MS)),
  'peers-cut': (system, fault, wait) => harmLinks(selectLinks(system, fault), fault, wait, (link) => link.setCut(['forward', 'back'])),
  'peers-cut-one-way': (system, fault, wait) => {
    // What the host sends is lost, or what is sent to it, on the links that it opened and on those to it.
    const host = select(system.hosts.list, fault.target)
    return harmLinks(selectLinks(system, fault), fault, wait, (link) => link.setCut([link.name.startsWith(`${host.name}>`) === (fault.draw < 0.5) ? 'forward' : 'back']))
  },
  'peers-cut-pair': (system, fault, wait) => {
    const link = select([...system.hosts.peerLinks.values()], fault.target)
    const [from, to] = link.name.split('>')
    return harmLinks([link, system.hosts.peerLinks.get(`${to}>${from}`) ?? link], fault, wait, (one) => one.setCut(['forward', 'back']))
  },
  'peers-silence': async (system, fault) => selectLinks(system, fault).forEach((link) => link.silence()),
  'peers-reset': async (system, fault) => selectLinks(system, fault).forEach((link) => link.reset()),
  'clients-delay': (system, fault, wait) => harmLinks([...system.hosts.clientLinks.values()], fault, wait, (link) => link.setDelay(fault.draw * MAX_DELAY_MS)),
  'clients-reset': async (system, fault) => select([...system.hosts.clientLinks.values()], fault.target).reset(),
  'clients-silence': async (system, fault) => select([...system.hosts.clientLinks.values()], fault.target).silence(),
  'control-cut': (system, fault, wait) => harmLinks([select([...system.hosts.controlLinks.values()], fault.target)], fault, wait, (link) => link.setCut(getDirection(fault))),
  'control-silence': async (system, fault) => select([...system.hosts.controlLinks.values()], fault.target).silence(),
  'worker-crash': ({ workers }, fault) => select(workers, fault.target).crash(fault.draw * MAX_DOWN_MS, fault.target % 3 > 0),
  'worker-crash-all': async ({ workers }, fault) => { await Promise.all(workers.map((worker, number) => worker.crash(fault.draw * MAX_DOWN_MS, (fault.target + number) % 2 > 0))) },
  'worker-cut': (system, fault, wait) => harmWorker(system, fault, wait, (worker) => worker.link.setCut(['forward', 'back'])),
  'worker-cut-one-way': (system, fault, wait) => harmWorker(system, fault, wait, (worker) => worker.link.setCut(getDirection(fault))),
  'worker-silence': (system, fault, wait) => harmWorker(system, fault, wait, (worker) => worker.link.silence()),
  'worker-reset': async ({ workers }, fault) => select(workers, fault.target).link.reset(),
  'worker-slow': (system, fault, wait) => harmWorker(system, fault, wait, (worker) => { worker.faults.answerDelayMs = fault.draw * 1500 }),
  'worker-late': (system, fault, wait) => harmWorker(system, fault, wait, (worker) => { worker.faults.lateShare = fault.draw }),
  'worker-unhealthy': (system, fault, wait) => harmWorker(system, fault, wait, (worker) => { worker.faults.isUnhealthy = true }),
  configurations: async ({ traffic }) => { await Promise.all([traffic.putConfiguration(), traffic.putConfiguration(), traffic.putConfiguration()]) },
  'invalid-configuration': ({ traffic }) => traffic.putInvalid()
}

const STOPS = new Set(['stop-entry', 'stop-voter'])
/** What the contract does not count as a disturbance at all. */
const QUIET = new Set(['hang-up', 'configurations', 'invalid-configuration'])

export async function runFaults (system: System, faults: Fault[], startedAt: number, signal: AbortSignal): Promise<void> {
  const waitUntil = async (at: number): Promise<void> => {
    while (performance.now() < startedAt + at && !signal.aborted) await new Promise((resolve) => setTimeout(resolve, Math.min(100, Math.max(0, startedAt + at - performance.now()))))
  }
  await Promise.all(faults.map(async (fault) => {
    await waitUntil(fault.at)
    if (signal.aborted) return
    const description = renderFault(fault)
    system.ledger.trace('fault', { description })
    const endDisturbance = QUIET.has(fault.kind) ? () => {} : system.ledger.beginDisturbance(description, STOPS.has(fault.kind))
    await handlers[fault.kind]?.(system, fault, waitUntil)
    endDisturbance()
  }))
}

export function renderFault ({ at, endAt, kind, target, draw }: Fault): string {
  return `${(at / 1000).toFixed(1)}-${(endAt / 1000).toFixed(1)} s ${kind} target ${target} draw ${draw.toFixed(2)}`
}
