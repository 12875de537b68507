import type { Random } from '../../src/common/index.js'
import type { Hosts } from '../workflows/support.js'

const LOSS = 0.3
const LATE_MESSAGE_MS = 600
/** Part of the orders that are executed late, and of the looks whose answers are lost. */
const UNANSWERED_SHARE = 0.5
/** An order without an answer may be executed this late. */
const LEAST_LATE_MS = 2000
const MOST_LATE_MS = 12_000
/** From the end of a trouble on until the rules hold again, as `contactMs` of the sites. */
const CONTACT_MS = 3000
const FIRST_AT_MS = 12_000
const MOST_TROUBLES = 4
const SHORTEST_MS = 1000
const LONGEST_MS = 8000

/** Begins a trouble; the result ends it. */
type Trouble = (hosts: Hosts, random: Random) => () => void

const troubles = {
  'leader-cut-off': ({ network, log, followers, coordinators }) => {
    const leader = [...coordinators.keys()][0] ?? ''
    network.setDown(leader, true)
    log.setReachable(false)
    followers.forEach((follower) => follower.setReachable(false))
    return () => {
      network.setDown(leader, false)
      log.setReachable(true)
      followers.forEach((follower) => follower.setReachable(true))
    }
  },
  'host-cut-off': ({ network, followers }, random) => {
    const host = random.pick([...followers.keys()])
    network.setDown(host, true)
    followers.get(host)?.setReachable(false)
    return () => {
      network.setDown(host, false)
      followers.get(host)?.setReachable(true)
    }
  },
  'one-way-cut': ({ network, coordinators, followers }, random) => {
    const leader = [...coordinators.keys()][0] ?? ''
    const host = random.pick([...followers.keys()])
    const [from, to] = random.next() < 0.5 ? [leader, host] : [host, leader]
    network.cut(from, to)
    return () => network.heal(from, to)
  },
  'lost-messages': ({ network }) => {
    network.setFaults({ loss: LOSS, duplication: LOSS, maxDelayMs: 0 })
    return () => network.setFaults({ loss: 0, duplication: 0, maxDelayMs: 0 })
  },
  'late-messages': ({ network }) => {
    network.setFaults({ loss: 0, duplication: 0, maxDelayMs: LATE_MESSAGE_MS })
    return () => network.setFaults({ loss: 0, duplication: 0, maxDelayMs: 0 })
  },
  'late-orders': ({ fleet }, random) => {
    fleet.lateMs = LEAST_LATE_MS + random.below(MOST_LATE_MS - LEAST_LATE_MS)
    fleet.workers.forEach((worker) => { worker.fault = (kind) => kind !== 'hold' && random.next() < UNANSWERED_SHARE ? 'late' : 'none' })
    return () => fleet.workers.forEach((worker) => { worker.fault = () => 'none' })
  },
  'lost-looks': ({ fleet }, random) => {
    fleet.workers.forEach((worker) => { worker.fault = (kind) => kind === 'hold' && random.next() < UNANSWERED_SHARE ? 'lost-answer' : 'none' })
    return () => fleet.workers.forEach((worker) => { worker.fault = () => 'none' })
  }
} satisfies Record<string, Trouble>

interface Phase { kind: keyof typeof troubles, from: number, until: number, end?: () => void }

export interface Troubles {
  readonly kinds: string[]
  /** Begins and ends what is due. */
  update (now: number): void
  /** True once nothing has been disturbed for as long as hosts may take to be in touch again. */
  isCalm (now: number): boolean
}

/** Draws a few troubles from the seed; they may overlap, but not two of one kind. */
export function createTroubles (hosts: Hosts, random: Random, untilMs: number): Troubles {
  const names = Object.keys(troubles) as Array<keyof typeof troubles>
  const phases = Array.from({ length: 1 + random.below(MOST_TROUBLES) }, (): Phase => {
    const from = FIRST_AT_MS + random.below(untilMs - FIRST_AT_MS)
    return { kind: random.pick(names), from, until: from + SHORTEST_MS + random.below(LONGEST_MS - SHORTEST_MS) }
  }).filter(({ kind }, index, all) => all.findIndex((other) => other.kind === kind) === index)
  return {
    kinds: phases.map(({ kind, from, until }) => `${kind}@${from}-${until}`),
    update: (now) => phases.forEach((phase) => {
      if (phase.end === undefined && phase.from <= now && now < phase.until) phase.end = troubles[phase.kind](hosts, random)
      else if (phase.end !== undefined && phase.until <= now) {
        phase.end()
        phase.end = undefined
      }
    }),
    isCalm: (now) => phases.every(({ from, until }) => now < from || now >= until + CONTACT_MS)
  }
}
