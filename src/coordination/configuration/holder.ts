import type { ReplicatedState, Configuration, Policy } from '../../state/index.js'
import { LEASE_MS, type RenewReply, type RenewRequest } from './messages.js'
import { ISOLATION_POLICY } from './isolationPolicy.js'

export type Claim = 'in-force' | 'suspended' | 'isolated'

/** How far the answer can be relied on. */
export type Certainty =
  /** No other preset is claimed anywhere until the lease deadline. */
  | { kind: 'certain' }
  /** The leader answers, but a change is pending, or its activation has just been seen. */
  | { kind: 'change-pending', pendingRevision: number }
  /** The leader does not answer; the revision may have been superseded. */
  | { kind: 'unconfirmed', leaderHeardAgoMs: number | undefined }

export interface ConfigurationView {
  claim: Claim
  /** The claimed revision, or the last known one without a claim. */
  revision: number
  /** Nothing is claimed unless `claim` is `in-force`. */
  preset: string | undefined
  /** Preset of the last known revision, for display only. */
  lastKnownPreset: string
  /** The isolation policy unless `claim` is `in-force`. */
  policy: Policy
  /** Wall-clock ms of the activation, for display only. */
  since: number
  setBy: string
  reason: string
  /** Monotonic ms. A caller that keeps the answer must not use it from then on. */
  leaseDeadline: number | undefined
  certainty: Certainty
}

/** One host's side of the lease on the current revision. */
export interface LeaseHolder {
  /** Suspends the claim on every revision that the applied state shows to be superseded. */
  observeState (state: ReplicatedState): void
  createRequest (): RenewRequest
  /** `sentAt` is the local time at which the request was sent. */
  handleReply (reply: RenewReply, sentAt: number): void
  getView (now: number): ConfigurationView
  /** Ends the claim for good. */
  release (): void
}

export function createLeaseHolder (session: string, initial: Configuration): LeaseHolder {
  let lastKnown = initial
  let floor = 0
  let lease: { revision: number, deadline: number } | undefined
  let leaderHeardAt: number | undefined

  const raiseFloor = (revision: number): void => { floor = Math.max(floor, revision) }

  const recordConfiguration = (configuration: Configuration): void => {
    if (configuration.revision >= lastKnown.revision) lastKnown = configuration
    raiseFloor(configuration.revision)
  }

  const recordLease = (revision: number, deadline: number): void => {
    // A reply that was overtaken by a newer one must neither shorten the lease nor bring an old revision back.
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
      leaderHeardAt = Math.max(leaderHeardAt ?? sentAt, sentAt)
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
      const none = { ...known, preset: undefined, policy: ISOLATION_POLICY, leaseDeadline: undefined }
      return leaderHeardAt !== undefined && now < leaderHeardAt + LEASE_MS
        ? { claim: 'suspended', ...none, certainty: { kind: 'change-pending', pendingRevision: floor } }
        : { claim: 'isolated', ...none, certainty: { kind: 'unconfirmed', leaderHeardAgoMs: leaderHeardAt === undefined ? undefined : now - leaderHeardAt } }
    },
    release: () => {
      raiseFloor(Number.MAX_SAFE_INTEGER)
      leaderHeardAt = undefined
    }
  }
}
