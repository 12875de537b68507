import type { BadCause } from './schemas.js'

/** The name of the cause, by which bad requests are grouped and shown. */
export function formatCause (cause: BadCause): string {
  return cause.kind === 'interference' ? `interference:${cause.jobClass}` : cause.kind
}

/** True when the eviction was caused by a rival: a member other than the one whose task was evicted. */
export function isCausedByRival ({ member, causingMember }: { member: string, causingMember: string }): boolean {
  return causingMember !== '' && causingMember !== member
}
