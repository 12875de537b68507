import type { Random } from '../common/index.js'
import type { LinkFaults } from '../fakes/simpleNetwork.js'
import type { EmulatedHosts } from './hosts.js'
import { FAULT_KINDS, type EmulationSettings } from './settings.js'

const MESSAGE_LOSS = 0.3
const MAX_MESSAGE_DELAY_MS = 600
/** Probability that an order is executed late (`late-orders`), or that the answer to a poll is lost (`lost-looks`). */
const UNANSWERED_SHARE = 0.5
/** Range of the delay after which an order without an answer is executed. */
const MIN_ORDER_DELAY_MS = 2000
const MAX_ORDER_DELAY_MS = 12_000
/** Time after the end of a fault until the bounds hold again; equals `contactMs` of the sites. */
const RECOVERY_MS = 3000
const FIRST_FAULT_AT_MS = 12_000
const MIN_FAULT_MS = 1000
const MAX_FAULT_MS = 8000

type FaultKind = typeof FAULT_KINDS[number]

interface FaultContext { hosts: EmulatedHosts, random: Random, links: LinkFaults }

/** Starts a fault and returns the function that ends it. */
type InjectFault = (scene: FaultContext) => () => void

const faultInjectors: Record<FaultKind, InjectFault> = {
  'leader-cut-off': ({ hosts: { network, log, followers, coordinators } }) => {
    const leader = [...coordinators.keys()][0] ?? ''
    const setCut = (isCut: boolean): void => {
      network.setDown(leader, isCut)
      log.setReachable(!isCut)
      followers.forEach((follower) => follower.setReachable(!isCut))
    }
    setCut(true)
    return () => setCut(false)
  },
  'host-cut-off': ({ hosts: { network, followers }, random }) => {
    const host = random.pick([...followers.keys()])
    network.setDown(host, true)
    followers.get(host)?.setReachable(false)
    return () => {
      network.setDown(host, false)
      followers.get(host)?.setReachable(true)
    }
  },
  'one-way-cut': ({ hosts: { network, coordinators, followers }, random }) => {
    const leader = [...coordinators.keys()][0] ?? ''
    const host = random.pick([...followers.keys()])
    const [from, to] = random.next() < 0.5 ? [leader, host] : [host, leader]
    network.cut(from, to)
    return () => network.heal(from, to)
  },
  'lost-messages': ({ hosts: { network }, links }) => {
    network.setFaults({ loss: MESSAGE_LOSS, duplication: MESSAGE_LOSS, maxDelayMs: 0 })
    return () => network.setFaults(links)
  },
  'late-messages': ({ hosts: { network }, links }) => {
    network.setFaults({ loss: 0, duplication: 0, maxDelayMs: MAX_MESSAGE_DELAY_MS })
    return () => network.setFaults(links)
  },
  'late-orders': ({ hosts: { fleet }, random }) => {
    fleet.lateMs = MIN_ORDER_DELAY_MS + random.below(MAX_ORDER_DELAY_MS - MIN_ORDER_DELAY_MS)
    fleet.workers.forEach((worker) => { worker.fault = (kind) => kind !== 'hold' && random.next() < UNANSWERED_SHARE ? 'late' : 'none' })
    return () => fleet.workers.forEach((worker) => { worker.fault = () => 'none' })
  },
  'lost-looks': ({ hosts: { fleet }, random }) => {
    fleet.workers.forEach((worker) => { worker.fault = (kind) => kind === 'hold' && random.next() < UNANSWERED_SHARE ? 'lost-answer' : 'none' })
    return () => fleet.workers.forEach((worker) => { worker.fault = () => 'none' })
  }
}

interface ScheduledFault { kind: FaultKind, from: number, until: number, end?: () => void }

export interface FaultSchedule {
  /** All faults as `kind@from-until`, in ms of virtual time. */
  readonly descriptions: string[]
  /** Starts and ends the faults that are due. */
  update (now: number): void
  /** True if no fault is active and the last one ended at least `RECOVERY_MS` ago, the time in which hosts reconnect. */
  isFaultFree (now: number): boolean
}

/** Schedules the faults of the script and random ones. Faults may overlap, but no two random ones have the same kind. */
export function createFaultSchedule (hosts: EmulatedHosts, random: Random, { troubles: { most, script }, play }: EmulationSettings, links: LinkFaults): FaultSchedule {
  const drawnFaults = most === 0 ? [] : planFaults(random, most, play.settle_ms + play.load_ms)
  const faults: ScheduledFault[] = [...drawnFaults, ...script.map(({ kind, at_ms: from, for_ms: forMs }) => ({ kind, from, until: from + forMs }))]
  return {
    descriptions: faults.map(({ kind, from, until }) => `${kind}@${from}-${until}`),
    update: (now) => faults.forEach((fault) => {
      if (fault.end === undefined && fault.from <= now && now < fault.until) fault.end = faultInjectors[fault.kind]({ hosts, random, links })
      else if (fault.end !== undefined && fault.until <= now) {
        fault.end()
        fault.end = undefined
      }
    }),
    isFaultFree: (now) => faults.every(({ from, until }) => now < from || now >= until + RECOVERY_MS)
  }
}

function planFaults (random: Random, most: number, untilMs: number): ScheduledFault[] {
  return Array.from({ length: 1 + random.below(most) }, (): ScheduledFault => {
    const from = FIRST_FAULT_AT_MS + random.below(untilMs - FIRST_FAULT_AT_MS)
    return { kind: random.pick(FAULT_KINDS), from, until: from + MIN_FAULT_MS + random.below(MAX_FAULT_MS - MIN_FAULT_MS) }
  }).filter(({ kind }, index, all) => all.findIndex((other) => other.kind === kind) === index)
}
