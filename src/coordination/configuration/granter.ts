import type { Clock, Logger, Metrics, Result } from '../../common/index.js'
import type { ReplicatedLog, LogFailure } from '../../state/index.js'
import { GRANT_HOLD_MS, LEASE_MS, type RenewReply, type RenewRequest } from './messages.js'

const BARRIER_TIMEOUT_MS = 400
const ACTIVATE_TIMEOUT_MS = 500

/** Longest time between two checks for a pending change or for a new leadership of this host, ms. */
export const ACTIVATION_CHECK_MS = 50

export interface GranterOptions { clock: Clock, log: ReplicatedLog, logger: Logger, metrics: Metrics }

/** Grants leases on the current revision and activates changes while this host is the leader; otherwise refuses requests. */
export interface LeaseGranter {
  handleRenew (from: string, request: RenewRequest): Promise<RenewReply>
  /** Activates the pending revision if no host can still claim a lower one. Returns the time until the next check, ms. */
  activatePending (): Promise<number>
}

interface Grant {
  host: string
  /** Local time at which the lease has expired on every permitted clock. */
  expiresAt: number
  /** Highest floor that this session has confirmed: it claims no lower revision any more. */
  floor: number
}

/** One term of this host as leader of the replicated log. */
interface Leadership {
  term: number
  /** Local time until which any host may hold a lease that an earlier leader granted. */
  earlierGrantsExpireAt: number
  /** Grants by the session of the lease holder. */
  grants: Map<string, Grant>
}

export function createLeaseGranter ({ clock, log, logger, metrics }: GranterOptions): LeaseGranter {
  const waitForBarrier = createBarrierQueue(log, clock)
  let leadership: Leadership | undefined

  const observeLeadership = (): Leadership | undefined => {
    const { role, term } = log.status()
    if (role !== 'leader') return (leadership = undefined)
    if (leadership?.term !== term) {
      leadership = { term, earlierGrantsExpireAt: clock.now() + GRANT_HOLD_MS, grants: new Map() }
      logger.info('lease-granting-started', { term })
    }
    return leadership
  }

  /** Stores the highest floor of a session. A floor never falls, so it also applies to an earlier renewal that arrives later. */
  const recordFloor = (current: Leadership, host: string, { session, floor }: RenewRequest): Grant => {
    const known = current.grants.get(session)
    const grant = { host, expiresAt: known?.expiresAt ?? clock.now(), floor: Math.max(known?.floor ?? 0, floor) }
    current.grants.set(session, grant)
    return grant
  }

  // The read barrier starts after the request was received, and so after the holder began to count its lease.
  // If the barrier succeeds, a later leader was elected after its start. The time that this leader waits for grants of
  // earlier leaders therefore covers this lease too, however long this process is frozen before it replies.
  const handleRenew = async (from: string, request: RenewRequest): Promise<RenewReply> => {
    const before = observeLeadership()
    if (before === undefined) return { kind: 'refused', reason: 'not-leader' }
    recordFloor(before, from, request)
    const barrier = await waitForBarrier()
    if (!barrier.ok || observeLeadership() !== before) return { kind: 'refused', reason: 'no-read-barrier' }
    const { configuration, pending } = log.state()
    if (pending !== undefined) return { kind: 'suspended', pendingRevision: pending.revision }
    const grant = recordFloor(before, from, request)
    if (grant.floor > configuration.revision) return { kind: 'suspended', pendingRevision: grant.floor }
    grant.expiresAt = clock.now() + GRANT_HOLD_MS
    metrics.count('config.grants')
    return {
      kind: 'granted',
      revision: configuration.revision,
      leaseMs: LEASE_MS,
      configuration: request.known === configuration.revision ? undefined : configuration
    }
  }

  // Once no host can claim a lower revision, none can until the activation, because no leader grants leases while
  // a change is pending. The activation is therefore safe even if a later leader commits it.
  const activatePending = async (): Promise<number> => {
    const current = observeLeadership()
    const pending = log.state().pending
    if (current === undefined) return ACTIVATION_CHECK_MS
    removeExpired(current, clock.now())
    if (pending === undefined) return ACTIVATION_CHECK_MS
    const waitMs = computeWaitMs(current, pending.revision, clock.now())
    if (waitMs > 0) return Math.min(waitMs, ACTIVATION_CHECK_MS)
    const result = await log.propose(
      { kind: 'config.activate', revision: pending.revision, wallTime: clock.wall() }, clock.now() + ACTIVATE_TIMEOUT_MS)
    if (result.ok) logger.info('configuration-activated', { revision: pending.revision, preset: pending.preset })
    else logger.warn('configuration-activation-failed', { revision: pending.revision, kind: result.val.kind })
    metrics.count('config.activations', 1, { result: result.ok ? 'ok' : result.val.kind })
    return ACTIVATION_CHECK_MS
  }

  return { handleRenew, activatePending }
}

/** Time until no host can claim a revision below `revision`, ms; 0 if none can. */
function computeWaitMs (leadership: Leadership, revision: number, now: number): number {
  const ends = [...leadership.grants.values()]
    .filter((grant) => grant.floor < revision)
    .map((grant) => grant.expiresAt)
  return Math.max(0, leadership.earlierGrantsExpireAt - now, ...ends.map((end) => end - now))
}

/**
 * Removes expired grants. Each is kept for one barrier timeout longer, since a renewal of its session may still wait for a
 * barrier and needs the floor.
 */
function removeExpired (leadership: Leadership, now: number): void {
  leadership.grants.forEach((grant, session) => {
    if (grant.expiresAt + BARRIER_TIMEOUT_MS <= now) leadership.grants.delete(session)
  })
}

/** Shares each read barrier among all callers that asked before it started. */
function createBarrierQueue (log: ReplicatedLog, clock: Clock): () => Promise<Result<number, LogFailure>> {
  let running: Promise<Result<number, LogFailure>> | undefined
  let next: Promise<Result<number, LogFailure>> | undefined

  const start = (): Promise<Result<number, LogFailure>> => {
    next = undefined
    const barrier = log.readBarrier(clock.now() + BARRIER_TIMEOUT_MS)
    const finish = (): void => { if (running === barrier) running = undefined }
    running = barrier
    barrier.then(finish, finish)
    return barrier
  }

  return () => running === undefined ? start() : (next ??= running.then(start, start))
}
