import { crc32 } from 'node:zlib'
import type { Clock, Logger } from '../../common/index.js'
import type { SessionHost, WorkerLife } from '../../state/index.js'

/** A host that has not spoken to the leader for this long loses its workers; an election takes as long. */
const ABSENT_MS = 1000
/** A host gets workers once it has spoken to the leader for this long, so that one that keeps failing gets none. */
const JOIN_MS = 500
/** The leader keeps sessions itself only while fewer other hosts do, because its own work grows with all workers. */
const LEADER_RESTS_FROM = 3

export interface HostPresence { availabilityZone: string, firstHeardAt: number, lastHeardAt: number, isLeaving: boolean }

/**
 * The host that gives a worker orders: one of its availability zone where there is one, chosen by hash, so that the
 * workers of a host that leaves are spread over the others and no other worker moves.
 */
export function findSessionHost (hosts: readonly SessionHost[], { id, availabilityZone }: Pick<WorkerLife, 'id' | 'availabilityZone'>): string | undefined {
  const near = hosts.filter((candidate) => candidate.availabilityZone === availabilityZone)
  const eligible = near.length > 0 ? near : hosts
  return eligible.map(({ host }) => ({ host, weight: crc32(`${host} ${id}`) }))
    .reduce<{ host: string, weight: number } | undefined>((best, candidate) => best === undefined || candidate.weight > best.weight ? candidate : best, undefined)?.host
}

/** The hosts that should keep sessions, given those that do and when each has spoken to the leader. */
export function chooseSessionHosts (current: readonly SessionHost[], presence: ReadonlyMap<string, HostPresence>, leader: string, now: number): SessionHost[] {
  const isMember = (host: string): boolean => current.some((member) => member.host === host)
  const present = [...presence].filter(([host, { firstHeardAt, lastHeardAt, isLeaving }]) =>
    !isLeaving && now - lastHeardAt < ABSENT_MS && (isMember(host) || host === leader || now - firstHeardAt >= JOIN_MS))
  const others = present.filter(([host]) => host !== leader)
  return (others.length >= LEADER_RESTS_FROM ? others : present)
    .map(([host, { availabilityZone }]) => ({ host, availabilityZone }))
    .sort((a, b) => a.host < b.host ? -1 : 1)
}

export interface DivisionOptions {
  clock: Clock
  logger: Logger
  leader: string
  getHosts (): readonly SessionHost[]
  getVoters (): readonly string[]
  /** Resolves when the division is agreed, or it is known that it is not, or nothing is known. */
  propose (hosts: SessionHost[]): Promise<void>
}

export interface Division {
  /** A host has spoken to the leader. */
  recordPresence (host: string, availabilityZone: string, isLeaving: boolean): void
  /** Divides the workers anew when the hosts that should keep sessions have changed. */
  update (): Promise<void>
}

/** Keeps the agreed division of the workers in line with the hosts that are there, in one term of the leader. */
export function createDivision ({ clock, logger, leader, getHosts, getVoters, propose }: DivisionOptions): Division {
  const startedAt = clock.now()
  // Members of the division have until their first word to this leader.
  const presence = new Map<string, HostPresence>(getHosts().map(({ host, availabilityZone }) =>
    [host, { availabilityZone, firstHeardAt: startedAt, lastHeardAt: startedAt, isLeaving: false }]))
  let isChanging = false

  return {
    recordPresence: (host, availabilityZone, isLeaving) => {
      const now = clock.now()
      const known = presence.get(host)
      const firstHeardAt = known === undefined || now - known.lastHeardAt >= ABSENT_MS ? now : known.firstHeardAt
      presence.set(host, { availabilityZone, firstHeardAt, lastHeardAt: now, isLeaving })
    },
    update: async () => {
      const current = getHosts()
      // At first, so that the workers are not moved again and again, the other voters have time to come.
      const isSettled = current.length > 0 || clock.now() - startedAt > 2 * JOIN_MS || getVoters().every((voter) => presence.has(voter))
      if (!isSettled) return
      const wanted = chooseSessionHosts(current, presence, leader, clock.now())
      const format = (hosts: readonly SessionHost[]): string => hosts.map(({ host }) => host).join()
      if (isChanging || wanted.length === 0 || format(wanted) === format(current)) return
      isChanging = true
      logger.info('sessions.divide', { hosts: format(wanted), before: format(current) })
      await propose(wanted)
      isChanging = false
    }
  }
}
