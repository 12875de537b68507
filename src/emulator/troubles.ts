import type { Random } from '../common/index.js'
import type { LinkFaults } from '../fakes/simpleNetwork.js'
import type { EmulatedHosts } from './hosts.js'
import { TROUBLE_KINDS, type PlaySettings } from './settings.js'

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
const SHORTEST_MS = 1000
const LONGEST_MS = 8000

type TroubleKind = typeof TROUBLE_KINDS[number]

interface TroubleScene { hosts: EmulatedHosts, random: Random, links: LinkFaults }

/** Begins a trouble; the result ends it. */
type Trouble = (scene: TroubleScene) => () => void

const troubles: Record<TroubleKind, Trouble> = {
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
    network.setFaults({ loss: LOSS, duplication: LOSS, maxDelayMs: 0 })
    return () => network.setFaults(links)
  },
  'late-messages': ({ hosts: { network }, links }) => {
    network.setFaults({ loss: 0, duplication: 0, maxDelayMs: LATE_MESSAGE_MS })
    return () => network.setFaults(links)
  },
  'late-orders': ({ hosts: { fleet }, random }) => {
    fleet.lateMs = LEAST_LATE_MS + random.below(MOST_LATE_MS - LEAST_LATE_MS)
    fleet.workers.forEach((worker) => { worker.fault = (kind) => kind !== 'hold' && random.next() < UNANSWERED_SHARE ? 'late' : 'none' })
    return () => fleet.workers.forEach((worker) => { worker.fault = () => 'none' })
  },
  'lost-looks': ({ hosts: { fleet }, random }) => {
    fleet.workers.forEach((worker) => { worker.fault = (kind) => kind === 'hold' && random.next() < UNANSWERED_SHARE ? 'lost-answer' : 'none' })
    return () => fleet.workers.forEach((worker) => { worker.fault = () => 'none' })
  }
}

interface Phase { kind: TroubleKind, from: number, until: number, end?: () => void }

export interface Troubles {
  /** What is disturbed, and from when to when. */
  readonly kinds: string[]
  /** Begins and ends what is due. */
  update (now: number): void
  /** True once nothing has been disturbed for as long as hosts may take to be in touch again. */
  isCalm (now: number): boolean
}

/** The troubles of the script, and those drawn for this play; they may overlap, but not two drawn ones of one kind. */
export function createTroubles (hosts: EmulatedHosts, random: Random, { troubles: { most, script }, play }: PlaySettings, links: LinkFaults): Troubles {
  const drawn = most === 0 ? [] : createPhases(random, most, play.settle_ms + play.load_ms)
  const phases: Phase[] = [...drawn, ...script.map(({ kind, at_ms: from, for_ms: forMs }) => ({ kind, from, until: from + forMs }))]
  return {
    kinds: phases.map(({ kind, from, until }) => `${kind}@${from}-${until}`),
    update: (now) => phases.forEach((phase) => {
      if (phase.end === undefined && phase.from <= now && now < phase.until) phase.end = troubles[phase.kind]({ hosts, random, links })
      else if (phase.end !== undefined && phase.until <= now) {
        phase.end()
        phase.end = undefined
      }
    }),
    isCalm: (now) => phases.every(({ from, until }) => now < from || now >= until + CONTACT_MS)
  }
}

function createPhases (random: Random, most: number, untilMs: number): Phase[] {
  return Array.from({ length: 1 + random.below(most) }, (): Phase => {
    const from = FIRST_AT_MS + random.below(untilMs - FIRST_AT_MS)
    return { kind: random.pick(TROUBLE_KINDS), from, until: from + SHORTEST_MS + random.below(LONGEST_MS - SHORTEST_MS) }
  }).filter(({ kind }, index, all) => all.findIndex((other) => other.kind === kind) === index)
}
