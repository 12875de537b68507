import type { Clock, Logger } from '../../common/index.js'
import type { SessionHost } from '../../state/index.js'

/**
 * A host that has had no authority from the leader for this long loses its workers. By then the last authority that it
 * may have been given, one exchange after the last one that the leader knows to have come through, has ended.
 */
const ABSENT_MS = 1400
/** A host gets workers once it has had authority for this long, so that one that keeps failing gets none. */
const JOIN_MS = 500
/** The leader looks at the hosts each 100 ms; after a longer pause than this it was held up. */
const HELD_UP_MS = 300
/** The leader keeps sessions itself only while fewer other hosts do, because its own work grows with all workers. */
const LEADER_RESTS_FROM = 3

export interface HostPresence { availabilityZone: string, firstHeardAt: number, lastHeardAt: number, isLeaving: boolean }

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
  /** A host has spoken to the leader and was last given authority at `grantedAt`, as far as its answers came through. */
  recordPresence (host: string, availabilityZone: string, grantedAt: number, isLeaving: boolean): void
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
  let updatedAt = startedAt

  return {
    recordPresence: (host, availabilityZone, grantedAt, isLeaving) => {
      const known = presence.get(host)
      const lastHeardAt = Math.max(known?.lastHeardAt ?? -Infinity, grantedAt)
      const isBack = known === undefined || clock.now() - known.lastHeardAt >= ABSENT_MS
      presence.set(host, { availabilityZone, firstHeardAt: isBack ? lastHeardAt : known.firstHeardAt, lastHeardAt, isLeaving })
    },
    update: async () => {
      // While this host was held up it heard nobody, which says nothing about them.
      const heldUpMs = clock.now() - updatedAt
      updatedAt = clock.now()
      if (heldUpMs > HELD_UP_MS) presence.forEach((host) => { host.lastHeardAt = Math.min(clock.now(), host.lastHeardAt + heldUpMs) })
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
