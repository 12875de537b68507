import { createHash, timingSafeEqual } from 'node:crypto'
import type { Principal } from '../../protocol/index.js'
import type { ReplicatedState } from '../../state/index.js'

export interface TokenHashes { operator: string, target: string }

export function computeTokenHash (token: string): string {
  return createHash('sha256').update(token).digest('hex')
}

/** Finds the principal of a bearer token. */
export function findPrincipal (state: ReplicatedState, hashes: TokenHashes, token: string): Principal | undefined {
  const hash = computeTokenHash(token)
  if (isSameHash(hash, hashes.operator)) return { role: 'operator' }
  if (isSameHash(hash, hashes.target)) return { role: 'target' }
  const member = Object.values(state.members).find(({ tokenHash }) => isSameHash(hash, tokenHash))
  return member === undefined ? undefined : { role: 'member', member: member.id }
}

function isSameHash (a: string, b: string): boolean {
  return a.length === b.length && timingSafeEqual(Buffer.from(a), Buffer.from(b))
}
