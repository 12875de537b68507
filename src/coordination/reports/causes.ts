import type { BadCause } from './schemas.js'

/** A text that names the cause, for grouping and for display. */
export function encodeCause (cause: BadCause): string {
  return cause.kind === 'interference' ? `interference:${cause.jobClass}` : cause.kind
}

/** True when the eviction was caused by another member than the evicted task's own. */
export function isByRival ({ member, causingMember }: { member: string, causingMember: string }): boolean {
  return causingMember !== '' && causingMember !== member
}
