import { Err, Ok, type Clock, type Result } from '../../common/index.js'
import { encodeKey, type KeyParts } from './keys.js'
import type { KeyFailure, RequestOutcome } from './types.js'

const KEY_LIFETIME_MS = 120_000
const MAX_CLAIMS = 50_000
const MAX_COPIES = 50_000
const MAX_ANSWER_BYTES = 32 * 1024 * 1024

export interface Claim {
  key: string
  member: string
  fingerprint: string
  expiry: number
  outcome: RequestOutcome | undefined
  bytes: number
  /** Resolves when an outcome is recorded. */
  done: Promise<void>
  finish: () => void
}

interface Copy { member: string, fingerprint: string, expiry: number, outcome: RequestOutcome | undefined, bytes: number }

export type ClaimFailure = KeyFailure | { kind: 'claims-full', message: string }
export type AskReply = { kind: 'none' } | { kind: 'in-progress' } | { kind: 'outcome', outcome: RequestOutcome }

/** Keys issued by this incarnation, the claims on them, and copies of other hosts' claims. */
export interface ClaimStore {
  issue (member: string): string
  isIssuer (parts: KeyParts): boolean
  /** The first claim on a key is `isNew`; only then may the request be dispatched. */
  claim (key: string, parts: KeyParts, fingerprint: string): Result<{ claim: Claim, isNew: boolean }, ClaimFailure>
  recordOutcome (claim: Claim, outcome: RequestOutcome): void
  recordCopy (copy: { key: string, member: string, fingerprint: string, remainingMs: number, outcome?: RequestOutcome }): void
  find (ask: { key: string, member: string, fingerprint: string }): AskReply
  listFinished (): Claim[]
  prune (): void
  count (): { claims: number, copies: number, answerBytes: number }
}

export interface ClaimLimits { claims: number, copies: number, answerBytes: number, keyLifetimeMs: number }
const DEFAULT_LIMITS: ClaimLimits = { claims: MAX_CLAIMS, copies: MAX_COPIES, answerBytes: MAX_ANSWER_BYTES, keyLifetimeMs: KEY_LIFETIME_MS }

export function createClaimStore (options: {
  clock: Clock, host: string, incarnation: string, availabilityZone: string, secret: Uint8Array, limits?: Partial<ClaimLimits>
}): ClaimStore {
  const { clock, host, incarnation, availabilityZone, secret } = options
  const limits = { ...DEFAULT_LIMITS, ...options.limits }
  const claims = new Map<string, Claim>()
  const copies = new Map<string, Copy>()
  let sequence = 0
  let answerBytes = 0

  const issue = (member: string): string => encodeKey({
    availabilityZone, host, incarnation, member, sequence: sequence++, expiry: clock.now() + limits.keyLifetimeMs
  }, secret)

  const claim: ClaimStore['claim'] = (key, parts, fingerprint) => {
    const known = claims.get(key)
    if (known !== undefined && known.fingerprint !== fingerprint) {
      return Err({ kind: 'key-reused', message: 'the idempotency key was used for another request' })
    }
    // The claim is forgotten only after the key's expiry, so an expired key is never dispatched a second time.
    if (parts.expiry <= clock.now()) return Err({ kind: 'expired-key', message: 'the idempotency key has expired' })
    if (known !== undefined) return Ok({ claim: known, isNew: false })
    if (claims.size >= limits.claims) return Err({ kind: 'claims-full', message: 'too many idempotency keys are in use' })
    const created = createClaim(key, parts, fingerprint)
    claims.set(key, created)
    return Ok({ claim: created, isNew: true })
  }

  const recordOutcome: ClaimStore['recordOutcome'] = (target, outcome) => {
    if (claims.get(target.key) !== target) return target.finish()
    answerBytes -= target.bytes
    target.bytes = countBytes(outcome)
    answerBytes += target.bytes
    target.outcome = outcome
    target.finish()
    dropAnswers(claims.values())
  }

  /** Oldest first; that the request was claimed stays known. */
  const dropAnswers = (items: Iterable<Claim | Copy>): void => {
    for (const item of items) {
      if (answerBytes <= limits.answerBytes) return
      if (item.bytes === 0) continue
      answerBytes -= item.bytes
      item.bytes = 0
      item.outcome = { kind: 'unknown', reason: 'answer-dropped', message: 'the request ran; its answer is no longer kept', next: 'check-by-other-means' }
    }
  }

  const recordCopy: ClaimStore['recordCopy'] = ({ key, member, fingerprint, remainingMs, outcome }) => {
    const known = copies.get(key)
    if (known?.outcome !== undefined && (outcome === undefined || known.outcome.kind === 'answered')) return
    if (known === undefined && copies.size >= limits.copies) removeCopy(copies.keys().next().value as string)
    const bytes = outcome === undefined ? 0 : countBytes(outcome)
    answerBytes += bytes - (known?.bytes ?? 0)
    copies.set(key, { member, fingerprint, expiry: clock.now() + remainingMs, outcome, bytes })
    dropAnswers(copies.values())
  }

  const removeCopy = (key: string): void => {
    answerBytes -= copies.get(key)?.bytes ?? 0
    copies.delete(key)
  }

  const find: ClaimStore['find'] = ({ key, member, fingerprint }) => {
    const known = claims.get(key) ?? copies.get(key)
    if (known === undefined || known.member !== member || known.expiry <= clock.now()) return { kind: 'none' }
    if (known.fingerprint !== fingerprint) {
      return { kind: 'outcome', outcome: { kind: 'refused', failure: { kind: 'key-reused', message: 'the idempotency key was used for another request' } } }
    }
    return known.outcome === undefined ? { kind: 'in-progress' } : { kind: 'outcome', outcome: known.outcome }
  }

  const prune = (): void => {
    const now = clock.now()
    for (const [key, item] of claims) {
      if (item.expiry > now) continue
      answerBytes -= item.bytes
      item.bytes = 0
      claims.delete(key)
    }
    for (const [key, item] of copies) {
      if (item.expiry <= now) removeCopy(key)
    }
  }

  return {
    issue,
    isIssuer: (parts) => parts.host === host && parts.incarnation === incarnation,
    claim,
    recordOutcome,
    recordCopy,
    find,
    listFinished: () => [...claims.values()].filter((item) => item.outcome !== undefined),
    prune,
    count: () => ({ claims: claims.size, copies: copies.size, answerBytes })
  }
}

function createClaim (key: string, parts: KeyParts, fingerprint: string): Claim {
  let finish = (): void => {}
  const done = new Promise<void>((resolve) => { finish = resolve })
  return { key, member: parts.member, fingerprint, expiry: parts.expiry, outcome: undefined, bytes: 0, done, finish }
}

function countBytes (outcome: RequestOutcome): number {
  return outcome.kind === 'answered' ? outcome.body.length + JSON.stringify(outcome.headers).length : 0
}
