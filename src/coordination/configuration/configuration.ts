import { randomUUID } from 'node:crypto'
import { runSupervised, type Clock, type Logger, type Metrics, type Network } from '../../common/index.js'
import type { ReplicatedLog } from '../../state/index.js'
import { proposeChange, type ChangeOutcome, type PresetChange } from './change.js'
import { createLeaseGranter } from './granter.js'
import { createLeaseHolder, type ClaimStatus, type ConfigurationView } from './holder.js'
import { RENEW_INTERVAL_MS, RENEW_KIND, renewReplySchema, renewRequestSchema, type RenewReply } from './messages.js'

/** Timeout of a renewal, ms. By then the next renewal has been sent, so a later reply is of little use. */
const RENEW_TIMEOUT_MS = 800
/** Shortest time between two renewals when events trigger them, ms. */
const MIN_RENEW_GAP_MS = 10
const NO_LEADER_RETRY_MS = 100
/** Renewal interval of a suspended host, ms. It is short, so that the host learns of the activation even if its replica of the log is behind. */
const SUSPENDED_INTERVAL_MS = 100

const renewIntervals: Record<ClaimStatus, number> = {
  'in-force': RENEW_INTERVAL_MS,
  suspended: SUSPENDED_INTERVAL_MS,
  isolated: RENEW_INTERVAL_MS
}

export interface ConfigurationOptions {
  self: string
  clock: Clock
  network: Network
  log: ReplicatedLog
  logger: Logger
  metrics: Metrics
}

export interface ConfigurationModule {
  /** The configuration that this host may report and apply at this moment. */
  getConfiguration (): ConfigurationView
  /** `deadline` is local monotonic ms; it bounds the wait for the activation too. */
  changePreset (request: PresetChange, deadline: number): Promise<ChangeOutcome>
  /**
   * Calls the listener when the claim or the revision changes. A timer detects the expiry of a lease, so that call
   * may be late. Decisions have to use `getConfiguration`, which checks the clock.
   */
  subscribe (listener: (view: ConfigurationView) => void): () => void
  /** Releases the lease, so that pending changes do not wait for this host after a planned stop. */
  stop (): Promise<void>
}

/** Renews this host's lease on the current revision and, on the leader, grants leases and activates changes. */
export function createConfiguration (options: ConfigurationOptions): ConfigurationModule {
  const { self, clock, network, log, logger, metrics } = options
  const holder = createLeaseHolder(randomUUID(), log.state().configuration)
  const granter = createLeaseGranter({ clock, log, logger, metrics })
  const listeners = new Set<(view: ConfigurationView) => void>()
  const renewTimer = createWakeableTimer(clock)
  const activationTimer = createWakeableTimer(clock)
  const reportTimer = createWakeableTimer(clock)
  const stopping = new AbortController()
  let reportedClaim = ''

  const getConfiguration = (): ConfigurationView => {
    holder.observeState(log.state())
    return holder.getView(clock.now())
  }

  const reportClaim = (): ConfigurationView => {
    const view = getConfiguration()
    const summary = `${view.claim} ${view.revision}`
    if (summary === reportedClaim) return view
    reportedClaim = summary
    logger.info('configuration-claim', { claim: view.claim, revision: view.revision, preset: view.preset })
    metrics.gauge('config.revision', view.revision)
    metrics.count('config.claim_changes', 1, { claim: view.claim })
    listeners.forEach((listener) => listener(view))
    return view
  }

  const handleRenew = async (from: string, body: unknown): Promise<RenewReply> => {
    const request = renewRequestSchema.safeParse(body)
    if (!request.success) return { kind: 'refused', reason: 'invalid-request' }
    const reply = granter.handleRenew(from, request.data)
    // The granter has recorded the floor as a confirmation, which may be the last one that the activation of a change waits for.
    if (request.data.floor > log.state().configuration.revision) activationTimer.wake()
    return await reply
  }

  const sendRenewal = async (leader: string): Promise<void> => {
    const request = holder.createRequest()
    const sentAt = clock.now()
    const result = leader === self
      ? { ok: true as const, val: await handleRenew(self, request) }
      : await network.request(leader, RENEW_KIND, request, sentAt + RENEW_TIMEOUT_MS)
    const reply = result.ok ? renewReplySchema.safeParse(result.val) : undefined
    metrics.count('config.renewals', 1, { result: reply?.success ? reply.data.kind : 'no-reply' })
    if (stopping.signal.aborted || !reply?.success) return
    const floorBefore = holder.createRequest().floor
    holder.handleReply(reply.data, sentAt)
    reportClaim()
    reportTimer.wake()
    // The reply has told this host about a pending change. The leader waits for the confirmation, which the next renewal carries.
    if (holder.createRequest().floor > floorBefore && reply.data.kind === 'suspended') renewTimer.wake()
  }

  const runRenewals = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const leader = log.status().leader
      // Not awaited, so that an unanswered request does not delay the next renewal.
      if (leader !== undefined) sendRenewal(leader)
      await clock.sleep(MIN_RENEW_GAP_MS)
      const intervalMs = leader === undefined ? NO_LEADER_RETRY_MS : renewIntervals[getConfiguration().claim]
      await renewTimer.wait(intervalMs - MIN_RENEW_GAP_MS)
    }
  }

  const runActivations = async (): Promise<void> => {
    while (!stopping.signal.aborted) await activationTimer.wait(await granter.activatePending())
  }

  const runReports = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const { leaseDeadline } = reportClaim()
      await reportTimer.wait(leaseDeadline === undefined ? RENEW_INTERVAL_MS : leaseDeadline - clock.now())
    }
  }

  const unsubscribe = log.subscribe((entry) => {
    if (entry.kind !== 'config.propose' && entry.kind !== 'config.activate') return
    reportClaim()
    renewTimer.wake()
    activationTimer.wake()
  })
  network.handle(RENEW_KIND, handleRenew)
  const isStopped = (): boolean => stopping.signal.aborted
  const loops = [runRenewals, runActivations, runReports].map((loop) => runSupervised({ clock, logger, event: 'config-loop-failed', fields: { loop: loop.name }, isStopped }, loop))

  const changePreset = async (request: PresetChange, deadline: number): Promise<ChangeOutcome> => {
    const outcome = await proposeChange(log, clock, request, deadline)
    metrics.count('config.changes', 1, { outcome: outcome.kind })
    return outcome.kind === 'accepted-pending' ? await waitUntilInForce(outcome.revision, deadline) : outcome
  }

  const waitUntilInForce = async (revision: number, deadline: number): Promise<ChangeOutcome> => {
    const isClaimed = (): boolean => {
      const view = getConfiguration()
      return view.claim === 'in-force' && view.revision >= revision
    }
    const controller = new AbortController()
    const endSubscription = subscribe(() => { if (isClaimed()) controller.abort() })
    if (!isClaimed()) await clock.sleep(deadline - clock.now(), controller.signal)
    endSubscription()
    const currentRevision = getConfiguration().revision
    return currentRevision >= revision
      ? { kind: 'in-force', revision, currentRevision }
      : { kind: 'accepted-pending', revision }
  }

  const subscribe = (listener: (view: ConfigurationView) => void): (() => void) => {
    listeners.add(listener)
    return () => { listeners.delete(listener) }
  }

  const stop = async (): Promise<void> => {
    stopping.abort()
    unsubscribe()
    holder.release()
    reportClaim()
    const leader = log.status().leader
    if (leader !== undefined) await sendRenewal(leader)
    const timers = [renewTimer, activationTimer, reportTimer]
    timers.forEach((wake) => wake.wake())
    await Promise.all(loops)
  }

  return { getConfiguration, changePreset, subscribe, stop }
}

/** A wait that `wake` ends early. A call of `wake` before `wait` ends the next wait at once. */
function createWakeableTimer (clock: Clock): { wait (ms: number): Promise<void>, wake (): void } {
  let controller = new AbortController()
  return {
    wait: async (ms) => {
      await clock.sleep(Math.max(0, ms), controller.signal)
      controller = new AbortController()
    },
    wake: () => controller.abort()
  }
}
