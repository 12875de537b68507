import type { Clock, Logger } from '../../common/index.js'
import type { SessionHost } from '../../state/index.js'

/**
 * A session host that has not confirmed a grant of the leader for this long loses its workers. It may have received one
 * more grant, one exchange after the last one that it confirmed; that grant has expired by then, too.
 */
const PRESENCE_TIMEOUT_MS = 1400
/** A host gets workers once it has held authority for this long, so that a host that fails again and again gets none. */
const JOIN_DELAY_MS = 500
/** The leader checks the hosts every 100 ms; a longer gap than this between two checks means that its process was blocked. */
const BLOCKED_LOOP_MS = 300
/** With at least this many other session hosts the leader keeps no sessions itself, because its own load grows with the number of all workers. */
const MIN_OTHER_SESSION_HOSTS = 3

/** When a host is known to have held authority: without a gap since `presentSince`, the last time at `lastPresentAt`. */
export interface HostPresence { availabilityZone: string, presentSince: number, lastPresentAt: number, isLeaving: boolean }

/** Chooses the session hosts from the current ones and the presence of all hosts. */
export function chooseSessionHosts (current: readonly SessionHost[], presence: ReadonlyMap<string, HostPresence>, leader: string, now: number): SessionHost[] {
  const isCurrentHost = (host: string): boolean => current.some((sessionHost) => sessionHost.host === host)
  const present = [...presence].filter(([host, { presentSince, lastPresentAt, isLeaving }]) =>
    !isLeaving && now - lastPresentAt < PRESENCE_TIMEOUT_MS && (isCurrentHost(host) || host === leader || now - presentSince >= JOIN_DELAY_MS))
  const others = present.filter(([host]) => host !== leader)
  return (others.length >= MIN_OTHER_SESSION_HOSTS ? others : present)
    .map(([host, { availabilityZone }]) => ({ host, availabilityZone }))
    .sort((a, b) => a.host < b.host ? -1 : 1)
}

export interface SessionAssignerOptions {
  clock: Clock
  logger: Logger
  leader: string
  getHosts (): readonly SessionHost[]
  getVoters (): readonly string[]
  /** Resolves once the session assignment is committed, is rejected, or its outcome remains unknown. */
  propose (hosts: SessionHost[]): Promise<void>
}

export interface SessionAssigner {
  /** Records a request of a host whose last confirmed grant was received at `grantedAt`. */
  recordPresence (host: string, availabilityZone: string, grantedAt: number, isLeaving: boolean): void
  /** Proposes a new session assignment if the set of suitable session hosts has changed. */
  update (): Promise<void>
}

/** Adapts the session assignment of the workers to the hosts that are present, during one term of the leader. */
export function createSessionAssigner ({ clock, logger, leader, getHosts, getVoters, propose }: SessionAssignerOptions): SessionAssigner {
  const startedAt = clock.now()
  // The current session hosts count as present at the start of the term, so that they have time for their first request to this leader.
  const presence = new Map<string, HostPresence>(getHosts().map(({ host, availabilityZone }) =>
    [host, { availabilityZone, presentSince: startedAt, lastPresentAt: startedAt, isLeaving: false }]))
  let isProposing = false
  let updatedAt = startedAt

  return {
    recordPresence: (host, availabilityZone, grantedAt, isLeaving) => {
      const known = presence.get(host)
      const lastPresentAt = Math.max(known?.lastPresentAt ?? -Infinity, grantedAt)
      const hasReturned = known === undefined || clock.now() - known.lastPresentAt >= PRESENCE_TIMEOUT_MS
      presence.set(host, { availabilityZone, presentSince: hasReturned ? lastPresentAt : known.presentSince, lastPresentAt, isLeaving })
    },
    update: async () => {
      // A blocked process receives no requests, so the time for which it was blocked does not count as absence of the hosts.
      const blockedMs = clock.now() - updatedAt
      updatedAt = clock.now()
      if (blockedMs > BLOCKED_LOOP_MS) presence.forEach((host) => { host.lastPresentAt = Math.min(clock.now(), host.lastPresentAt + blockedMs) })
      const current = getHosts()
      // Waits for the other voters before the first session assignment, because each host that joined later would move workers again.
      const canAssign = current.length > 0 || clock.now() - startedAt > 2 * JOIN_DELAY_MS || getVoters().every((voter) => presence.has(voter))
      if (!canAssign) return
      const desired = chooseSessionHosts(current, presence, leader, clock.now())
      const format = (hosts: readonly SessionHost[]): string => hosts.map(({ host }) => host).join()
      if (isProposing || desired.length === 0 || format(desired) === format(current)) return
      isProposing = true
      logger.info('sessions.divide', { hosts: format(desired), before: format(current) })
      await propose(desired)
      isProposing = false
    }
  }
}
