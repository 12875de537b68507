import type { Resources } from '../../state/schemas.js'
import { addResources, computeDominantShare, isWithin } from './resources.js'
import type { MemberRecord } from './records.js'
import { getMember, type PlacementState } from './state.js'

/** A task that has waited this long has precedence over those of members below their quota. */
const AGEING_MS = 120_000
const LOWER_PRECEDENCE = 1e6

/** True when a member uses more than its quota now. A member without a quota is never above it. */
export function isAboveQuota (state: PlacementState, id: string): boolean {
  const { quota, usage } = getMember(state, id)
  return quota !== undefined && !isWithin(usage, quota)
}

/**
 * True when a member may not cause the eviction of a rival's task. Counts the highest promise of each task and `extra`,
 * so that the rule holds by declared as well as by learned sizes.
 */
export function isBarredFromEvicting (state: PlacementState, id: string, extra?: Resources): boolean {
  const { quota, granted } = getMember(state, id)
  if (quota === undefined) return false
  const total = { ...granted }
  if (extra !== undefined) addResources(total, extra)
  return !isWithin(total, quota)
}

/** Order among members with waiting tasks; the lowest value is next. */
export function scoreMember (state: PlacementState, member: MemberRecord, waitedMs: number): number {
  const share = computeDominantShare(member.usage, state.totalCapacity) / member.weight
  return share + (waitedMs > AGEING_MS || !isAboveQuota(state, member.id) ? 0 : LOWER_PRECEDENCE)
}
