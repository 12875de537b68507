import { z } from 'zod'
import type { Clock, Logger, Network } from '../../common/index.js'
import type { ReplicatedLog, ZoneAuthority } from '../../state/index.js'
import { coordinatorTermSchema } from '../tasks/exchange.js'

export const HEARTBEAT_INTERVAL_MS = 500
/** A coordinator that was not heard for this long is replaced, ms. */
export const HEARTBEAT_LIMIT_MS = 1_500
/** A new coordinator may need this long to claim its lease and to recover the journal, ms. */
const TAKEOVER_ALLOWANCE_MS = 6_000
/** Without a majority of the workers no host can take over, so the allowance doubles with each epoch that failed. */
const MAX_DOUBLINGS = 3
/** Witness sets that follow registrations are not issued more often than this, ms. */
const REGRANT_INTERVAL_MS = 2_000
const CHANGED_PART = 0.1
const PROPOSE_TIMEOUT_MS = 1_000

export const heartbeatSchema = z.strictObject({
  availabilityZone: z.string(),
  incarnation: z.string(),
  /** The host stops and takes no epoch. */
  leaving: z.boolean(),
  /** Set by the coordinator. */
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

export interface Supervisor { observe (host: string, heartbeat: Heartbeat): void }

interface Heard { at: number, heartbeat: Heartbeat }

/**
 * Runs on every entry host and acts on the one that leads the agreed log. It issues epochs: to a host that is heard
 * when the coordinator is not, and again to the coordinator when the witness set has changed too much.
 */
export function startSupervisor (options: SupervisorOptions): Supervisor {
  const { clock, network, log, logger, signal } = options
  const heard = new Map<string, Heard>()
  const grantedAt = new Map<string, number>()
  // The newest epoch of each zone whose coordinator was seen to act.
  const settled = new Map<string, number>()
  // Since when hosts of the zone are heard without a gap.
  const heardSince = new Map<string, number>()
  // Epochs since a coordinator of the zone was last seen to act.
  const failedGrants = new Map<string, number>()
  let leadsSince = Infinity

  const isHeard = (host: string): boolean => {
    const entry = heard.get(host)
    return entry !== undefined && clock.now() - entry.at <= HEARTBEAT_LIMIT_MS
  }

  const listCandidates = (zone: ZoneAuthority): string[] => Object.values(log.state().hosts)
    .filter((host) => host.availabilityZone === zone.availabilityZone && isHeard(host.id) && heard.get(host.id)?.heartbeat.leaving === false)
    .map((host) => host.id)
    .sort()

  const findCoordinator = (zone: ZoneAuthority): { host: string, active: boolean } | undefined => {
    const terms = [...heard].flatMap(([host, { heartbeat }]) => {
      const { coordinator, leaving, availabilityZone } = heartbeat
      const isCurrent = coordinator?.term.epoch === zone.epoch && availabilityZone === zone.availabilityZone && isHeard(host) && !leaving
      return isCurrent ? [{ host, active: coordinator.active, round: coordinator.term.round }] : []
    })
    return terms.sort((left, right) => Number(right.active) - Number(left.active) || right.round - left.round)[0]
  }

  const hasChangedWitnesses = (zone: ZoneAuthority): boolean => {
    const present = Object.values(log.state().workers).filter((worker) => worker.availabilityZone === zone.availabilityZone).map((worker) => worker.id)
    const added = present.filter((id) => !zone.witnesses.includes(id)).length
    const removed = zone.witnesses.filter((id) => !present.includes(id)).length
    return added + removed > CHANGED_PART * Math.max(zone.witnesses.length, present.length)
  }

  /** The host that should get a new epoch, or nothing. */
  const chooseHost = (zone: ZoneAuthority): string | undefined => {
    const candidates = listCandidates(zone)
    updateHeardSince(zone.availabilityZone, candidates.length > 0)
    const sinceGrant = clock.now() - Math.max(grantedAt.get(zone.availabilityZone) ?? -Infinity, leadsSince)
    const coordinator = findCoordinator(zone)
    if (coordinator?.active === true) {
      settled.set(zone.availabilityZone, zone.epoch)
      failedGrants.set(zone.availabilityZone, 0)
      const mayRegrant = sinceGrant > REGRANT_INTERVAL_MS && hasChangedWitnesses(zone)
      return mayRegrant && candidates.includes(coordinator.host) ? coordinator.host : undefined
    }
    return chooseSuccessor(zone, candidates, sinceGrant)
  }

  const updateHeardSince = (availabilityZone: string, isZoneHeard: boolean): void => {
    if (!isZoneHeard) heardSince.delete(availabilityZone)
    else if (!heardSince.has(availabilityZone)) heardSince.set(availabilityZone, clock.now())
  }

  const chooseSuccessor = (zone: ZoneAuthority, candidates: string[], sinceGrant: number): string | undefined => {
    const isHolderPresent = candidates.includes(zone.host) && heard.get(zone.host)?.heartbeat.incarnation === zone.incarnation
    // A holder that is heard is taking over; it may have to wait until the previous lease has run out.
    const doublings = Math.min(MAX_DOUBLINGS, failedGrants.get(zone.availabilityZone) ?? 0)
    const allowance = isHolderPresent ? TAKEOVER_ALLOWANCE_MS * 2 ** doublings : HEARTBEAT_LIMIT_MS
    if (zone.epoch > 0 && sinceGrant <= allowance) return undefined
    // A zone that can be reached again may have a coordinator whose heartbeat is still under way.
    const sinceHeard = clock.now() - (heardSince.get(zone.availabilityZone) ?? clock.now())
    if (zone.epoch > 0 && sinceHeard <= HEARTBEAT_LIMIT_MS) return undefined
    const others = candidates.filter((host) => host !== zone.host)
    // The only host left needs no new epoch while it claims its lease; when its term has ended, it does.
    const isClaiming = isHolderPresent && heard.get(zone.host)?.heartbeat.coordinator?.term.epoch === zone.epoch
    return others[zone.epoch % Math.max(1, others.length)] ?? (isClaiming ? undefined : candidates[0])
  }

  const grant = async (zone: ZoneAuthority, host: string): Promise<void> => {
    const { availabilityZone, epoch } = zone
    const incarnation = heard.get(host)?.heartbeat.incarnation ?? ''
    const settledEpoch = settled.get(availabilityZone)
    grantedAt.set(availabilityZone, clock.now())
    failedGrants.set(availabilityZone, (failedGrants.get(availabilityZone) ?? -1) + 1)
    logger.info('zone-grant', { availabilityZone, host, previousEpoch: epoch })
    const entry = { kind: 'zone.grant' as const, availabilityZone, previousEpoch: epoch, host, incarnation, settledEpoch }
    const result = await log.propose(entry, clock.now() + PROPOSE_TIMEOUT_MS)
    if (result.err) logger.warn('zone-grant-failed', { availabilityZone, kind: result.val.kind })
  }

  const run = async (): Promise<void> => {
    while (!signal.aborted) {
      const leads = log.status().leader === network.self
      if (!leads) leadsSince = Infinity
      else if (leadsSince === Infinity) leadsSince = clock.now()
      // A new leader first waits for the heartbeats of coordinators that are alive.
      if (leads && clock.now() - leadsSince > HEARTBEAT_LIMIT_MS) {
        const zones = Object.values(log.state().zones).filter((zone) => !zone.retired)
        await Promise.all(zones.map(async (zone) => {
          const host = chooseHost(zone)
          if (host !== undefined) await grant(zone, host)
        }))
      }
      await clock.sleep(HEARTBEAT_INTERVAL_MS / 2, signal)
    }
  }
  run()

  return { observe: (host, heartbeat) => { heard.set(host, { at: clock.now(), heartbeat }) } }
}
