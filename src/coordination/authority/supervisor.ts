import { z } from 'zod'
import { runSupervised, type Clock, type Logger, type Network } from '../../common/index.js'
import type { ReplicatedLog, ZoneAuthority } from '../../state/index.js'
import { coordinatorTermSchema } from '../tasks/exchange.js'

export const HEARTBEAT_INTERVAL_MS = 500
/** A coordinator whose last heartbeat is older than this is replaced, ms. */
export const HEARTBEAT_TIMEOUT_MS = 1_500
/** Time for a new coordinator to claim its lease and to recover the journal before another host is chosen, ms. */
const TAKEOVER_TIMEOUT_MS = 6_000
/**
 * The takeover timeout doubles with each epoch whose coordinator never became active, at most this many times. No host can
 * take over without a majority of the workers, so frequent epochs would not help.
 */
const MAX_TIMEOUT_DOUBLINGS = 3
/** Shortest time between two epochs that are issued only to update the witness set, ms. */
const REGRANT_INTERVAL_MS = 2_000
/** The witness set is updated when more than this fraction of it has changed. */
const CHANGED_WITNESS_FRACTION = 0.1
const PROPOSE_TIMEOUT_MS = 1_000

export const heartbeatSchema = z.strictObject({
  availabilityZone: z.string(),
  incarnation: z.string(),
  /** The host is shutting down and must not get an epoch. */
  leaving: z.boolean(),
  /** Set while the host claims or holds the coordination of its zone. */
  coordinator: z.strictObject({
    term: coordinatorTermSchema,
    active: z.boolean(),
    tasks: z.number().int(),
    workersUp: z.number().int()
  }).optional()
})
export type Heartbeat = z.infer<typeof heartbeatSchema>

export interface SupervisorOptions {
  clock: Clock
  network: Network
  logger: Logger
  log: ReplicatedLog
  signal: AbortSignal
}

export interface Supervisor {
  /** Stores the heartbeat that was received from a host. */
  observe (host: string, heartbeat: Heartbeat): void
}

interface ReceivedHeartbeat { at: number, heartbeat: Heartbeat }

/**
 * Runs on every entry host and is active on the leader of the replicated log. It issues a new epoch to a reachable host
 * when the coordinator of a zone is unreachable, and to the coordinator itself when too much of the witness set has changed.
 */
export function startSupervisor (options: SupervisorOptions): Supervisor {
  const { clock, network, log, logger, signal } = options
  const lastHeartbeats = new Map<string, ReceivedHeartbeat>()
  const grantedAt = new Map<string, number>()
  // By zone: the newest epoch whose coordinator reported that it was active.
  const activeEpochs = new Map<string, number>()
  // By zone: time since which at least one candidate was reachable without interruption.
  const reachableSince = new Map<string, number>()
  // By zone: number of epochs issued since the last active coordinator. The first one that this process issues does not count.
  const failedEpochCounts = new Map<string, number>()
  let leaderSince = Infinity

  const isReachable = (host: string): boolean => {
    const entry = lastHeartbeats.get(host)
    return entry !== undefined && clock.now() - entry.at <= HEARTBEAT_TIMEOUT_MS
  }

  const listCandidates = (zone: ZoneAuthority): string[] => Object.values(log.state().hosts)
    .filter((host) => host.availabilityZone === zone.availabilityZone && isReachable(host.id) && lastHeartbeats.get(host.id)?.heartbeat.leaving === false)
    .map((host) => host.id)
    .sort()

  const findCoordinator = (zone: ZoneAuthority): { host: string, active: boolean } | undefined => {
    const terms = [...lastHeartbeats].flatMap(([host, { heartbeat }]) => {
      const { coordinator, leaving, availabilityZone } = heartbeat
      const isCurrent = coordinator?.term.epoch === zone.epoch && availabilityZone === zone.availabilityZone && isReachable(host) && !leaving
      return isCurrent ? [{ host, active: coordinator.active, round: coordinator.term.round }] : []
    })
    return terms.sort((left, right) => Number(right.active) - Number(left.active) || right.round - left.round)[0]
  }

  const hasChangedWitnesses = (zone: ZoneAuthority): boolean => {
    const present = Object.values(log.state().workers).filter((worker) => worker.availabilityZone === zone.availabilityZone).map((worker) => worker.id)
    const added = present.filter((id) => !zone.witnesses.includes(id)).length
    const removed = zone.witnesses.filter((id) => !present.includes(id)).length
    return added + removed > CHANGED_WITNESS_FRACTION * Math.max(zone.witnesses.length, present.length)
  }

  /** The host that should get a new epoch, if any. */
  const chooseHost = (zone: ZoneAuthority): string | undefined => {
    const candidates = listCandidates(zone)
    updateReachableSince(zone.availabilityZone, candidates.length > 0)
    const sinceGrant = clock.now() - Math.max(grantedAt.get(zone.availabilityZone) ?? -Infinity, leaderSince)
    const coordinator = findCoordinator(zone)
    if (coordinator?.active === true) {
      activeEpochs.set(zone.availabilityZone, zone.epoch)
      failedEpochCounts.set(zone.availabilityZone, 0)
      const mayRegrant = sinceGrant > REGRANT_INTERVAL_MS && hasChangedWitnesses(zone)
      return mayRegrant && candidates.includes(coordinator.host) ? coordinator.host : undefined
    }
    return chooseSuccessor(zone, candidates, sinceGrant)
  }

  const updateReachableSince = (availabilityZone: string, isZoneReachable: boolean): void => {
    if (!isZoneReachable) reachableSince.delete(availabilityZone)
    else if (!reachableSince.has(availabilityZone)) reachableSince.set(availabilityZone, clock.now())
  }

  const chooseSuccessor = (zone: ZoneAuthority, candidates: string[], sinceGrant: number): string | undefined => {
    const isHolderAlive = candidates.includes(zone.host) && lastHeartbeats.get(zone.host)?.heartbeat.incarnation === zone.incarnation
    // A reachable holder of the epoch is taking over and may have to wait until the previous lease has expired.
    const doublings = Math.min(MAX_TIMEOUT_DOUBLINGS, failedEpochCounts.get(zone.availabilityZone) ?? 0)
    const timeoutMs = isHolderAlive ? TAKEOVER_TIMEOUT_MS * 2 ** doublings : HEARTBEAT_TIMEOUT_MS
    if (zone.epoch > 0 && sinceGrant <= timeoutMs) return undefined
    // In a zone that has just become reachable again, the coordinator's first heartbeat may still be on its way.
    const sinceReachable = clock.now() - (reachableSince.get(zone.availabilityZone) ?? clock.now())
    if (zone.epoch > 0 && sinceReachable <= HEARTBEAT_TIMEOUT_MS) return undefined
    const others = candidates.filter((host) => host !== zone.host)
    // The only remaining host gets a new epoch only after its term has ended, not while it claims its lease.
    const isClaiming = isHolderAlive && lastHeartbeats.get(zone.host)?.heartbeat.coordinator?.term.epoch === zone.epoch
    return others[zone.epoch % Math.max(1, others.length)] ?? (isClaiming ? undefined : candidates[0])
  }

  const grantEpoch = async (zone: ZoneAuthority, host: string): Promise<void> => {
    const { availabilityZone, epoch } = zone
    const incarnation = lastHeartbeats.get(host)?.heartbeat.incarnation ?? ''
    const settledEpoch = activeEpochs.get(availabilityZone)
    grantedAt.set(availabilityZone, clock.now())
    failedEpochCounts.set(availabilityZone, (failedEpochCounts.get(availabilityZone) ?? -1) + 1)
    logger.info('zone-grant', { availabilityZone, host, previousEpoch: epoch })
    const entry = { kind: 'zone.grant' as const, availabilityZone, previousEpoch: epoch, host, incarnation, settledEpoch }
    const result = await log.propose(entry, clock.now() + PROPOSE_TIMEOUT_MS)
    if (result.err) logger.warn('zone-grant-failed', { availabilityZone, kind: result.val.kind })
  }

  const run = async (): Promise<void> => {
    while (!signal.aborted) {
      const isLeader = log.status().leader === network.self
      if (!isLeader) leaderSince = Infinity
      else if (leaderSince === Infinity) leaderSince = clock.now()
      // A new leader first waits for one heartbeat timeout, so that it knows which coordinators are alive.
      if (isLeader && clock.now() - leaderSince > HEARTBEAT_TIMEOUT_MS) {
        const zones = Object.values(log.state().zones).filter((zone) => !zone.retired)
        await Promise.all(zones.map(async (zone) => {
          const host = chooseHost(zone)
          if (host !== undefined) await grantEpoch(zone, host)
        }))
      }
      await clock.sleep(HEARTBEAT_INTERVAL_MS / 2, signal)
    }
  }
  runSupervised({ clock, logger, event: 'supervisor-failed', isStopped: () => signal.aborted }, run)

  return { observe: (host, heartbeat) => { lastHeartbeats.set(host, { at: clock.now(), heartbeat }) } }
}
