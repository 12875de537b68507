import type { Resources } from '../../state/schemas.js'
import { addResources, computeDominantShare, isWithin } from './resources.js'
import type { MemberRecord } from './records.js'
import { getMember, type PlacementState } from './state.js'

/** A task that has waited this long has precedence over those of members below their quota. */
const AGEING_MS = 120_000
const LOWER_PRECEDENCE = 1e6

/** True when a member uses more than its quota, counting `extra`. A member without a quota is never above it. */
export function isAboveQuota (state: PlacementState, id: string, extra?: Resources): boolean {
  const { quota, usage } = getMember(state, id)
  if (quota === undefined) return false
  if (extra === undefined) return !isWithin(usage, quota)
  const total = { ...usage }
  addResources(total, extra)
  return !isWithin(total, quota)
}

/** Order among members with waiting tasks; the lowest value is next. */
export function scoreMember (state: PlacementState, member: MemberRecord, waitedMs: number): number {
  const share = computeDominantShare(member.usage, state.totalCapacity) / member.weight
  return share + (waitedMs > AGEING_MS || !isAboveQuota(state, member.id) ? 0 : LOWER_PRECEDENCE)
}
