import type { Resources } from '../../state/schemas.js'
import { addResources, computeDominantShare, isWithin } from './resources.js'
import type { MemberRecord } from './records.js'
import { getMember, type PlacementState } from './state.js'

/** Waiting time after which a task of a member above its quota no longer ranks behind those of members below theirs. */
const AGEING_MS = 120_000
/** Exceeds usual weighted dominant shares, so that members above their quota come last. */
const ABOVE_QUOTA_PENALTY = 1e6

/** True when the allocations of a member exceed its quota. A member without a quota is never above it. */
export function isAboveQuota (state: PlacementState, id: string): boolean {
  const { quota, usage } = getMember(state, id)
  return quota !== undefined && !isWithin(usage, quota)
}

/**
 * True when a member may not cause evictions of other members' tasks, because the peak allocations of its tasks and
 * `extra` exceed its quota. Peak allocations are used so that the rule holds by declared as well as by learned sizes.
 */
export function isEvictionForbidden (state: PlacementState, id: string, extra?: Resources): boolean {
  const { quota, granted } = getMember(state, id)
  if (quota === undefined) return false
  const total = { ...granted }
  if (extra !== undefined) addResources(total, extra)
  return !isWithin(total, quota)
}

/** Rank of a member with waiting tasks: its weighted dominant share, plus a penalty above its quota. The lowest is next. */
export function scoreMember (state: PlacementState, member: MemberRecord, waitedMs: number): number {
  const share = computeDominantShare(member.usage, state.totalCapacity) / member.weight
  return share + (waitedMs > AGEING_MS || !isAboveQuota(state, member.id) ? 0 : ABOVE_QUOTA_PENALTY)
}
