import type { ReplicatedState, Configuration, Policy } from '../../state/index.js'
import { LEASE_MS, type RenewReply, type RenewRequest } from './messages.js'
import { ISOLATION_POLICY } from './isolationPolicy.js'

/**
 * Whether this host may state that a revision is in force. `in-force`: it holds a lease on the revision. `suspended`: the
 * leader answers but grants no lease, because of a pending change. `isolated`: the leader does not answer.
 */
export type ClaimStatus = 'in-force' | 'suspended' | 'isolated'

/** How reliable a view of the configuration is. */
export type Certainty =
  /** No host claims another preset before the lease deadline. */
  | { kind: 'certain' }
  /** The leader answers, but a change is pending, or was activated and this host holds no lease on it yet. */
  | { kind: 'change-pending', pendingRevision: number }
  /** The leader does not answer, so the revision may have been superseded. */
  | { kind: 'unconfirmed', leaderHeardAgoMs: number | undefined }

export interface ConfigurationView {
  claim: ClaimStatus
  /** The claimed revision if `claim` is `in-force`, otherwise the last known one. */
  revision: number
  /** The claimed preset; undefined unless `claim` is `in-force`. */
  preset: string | undefined
  /** Preset of the last known revision, for display only. */
  lastKnownPreset: string
  /** The policy to apply: that of the preset if `claim` is `in-force`, otherwise the isolation policy. */
  policy: Policy
  /** Wall-clock ms of the activation, for display only. */
  since: number
  setBy: string
  reason: string
  /** End of the lease, monotonic ms. A caller must not use a stored view from then on. */
  leaseDeadline: number | undefined
  certainty: Certainty
}

/** The lease of one host on the current revision. */
export interface LeaseHolder {
  /** Ends the claim on every revision that is lower than the current or the pending one of the replicated state. */
  observeState (state: ReplicatedState): void
  createRequest (): RenewRequest
  /** `sentAt` is the local time at which the request was sent. */
  handleReply (reply: RenewReply, sentAt: number): void
  getView (now: number): ConfigurationView
  /** Ends the claim permanently; the next request confirms this to the leader. */
  release (): void
}

export function createLeaseHolder (session: string, initial: Configuration): LeaseHolder {
  let lastKnown = initial
  let floor = 0
  let lease: { revision: number, deadline: number } | undefined
  let leaderContactAt: number | undefined

  const raiseFloor = (revision: number): void => { floor = Math.max(floor, revision) }

  const recordConfiguration = (configuration: Configuration): void => {
    if (configuration.revision >= lastKnown.revision) lastKnown = configuration
    raiseFloor(configuration.revision)
  }

  const recordLease = (revision: number, deadline: number): void => {
    // A reply that arrives after a newer one must neither shorten the lease nor restore an old revision.
    if (revision < floor || revision !== lastKnown.revision) return
    if (lease?.revision === revision && lease.deadline >= deadline) return
    lease = { revision, deadline }
  }

  return {
    observeState: (state) => {
      recordConfiguration(state.configuration)
      if (state.pending !== undefined) raiseFloor(state.pending.revision)
    },
    createRequest: () => ({ session, floor, known: lastKnown.revision }),
    handleReply: (reply, sentAt) => {
      if (reply.kind === 'refused') return
      leaderContactAt = Math.max(leaderContactAt ?? sentAt, sentAt)
      if (reply.kind === 'suspended') return raiseFloor(reply.pendingRevision)
      if (reply.configuration !== undefined) recordConfiguration(reply.configuration)
      recordLease(reply.revision, sentAt + Math.min(reply.leaseMs, LEASE_MS))
    },
    getView: (now) => {
      const { revision, preset, presets, since, setBy, reason } = lastKnown
      const known = { revision, lastKnownPreset: preset, since, setBy, reason }
      if (lease !== undefined && lease.revision >= floor && now < lease.deadline) {
        const policy = presets[preset] ?? ISOLATION_POLICY
        return { claim: 'in-force', ...known, preset, policy, leaseDeadline: lease.deadline, certainty: { kind: 'certain' } }
      }
      const withoutClaim = { ...known, preset: undefined, policy: ISOLATION_POLICY, leaseDeadline: undefined }
      return leaderContactAt !== undefined && now < leaderContactAt + LEASE_MS
        ? { claim: 'suspended', ...withoutClaim, certainty: { kind: 'change-pending', pendingRevision: floor } }
        : { claim: 'isolated', ...withoutClaim, certainty: { kind: 'unconfirmed', leaderHeardAgoMs: leaderContactAt === undefined ? undefined : now - leaderContactAt } }
    },
    release: () => {
      raiseFloor(Number.MAX_SAFE_INTEGER)
      leaderContactAt = undefined
    }
  }
}
