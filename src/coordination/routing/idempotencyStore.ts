import { Err, Ok, type Clock, type Result } from '../../common/index.js'
import { encodeKey, type KeyParts } from './idempotencyKeys.js'
import type { KeyFailure, RequestOutcome } from './types.js'

const KEY_LIFETIME_MS = 120_000
const MAX_RECORDS = 50_000
const MAX_COPIES = 50_000
const MAX_ANSWER_BYTES = 32 * 1024 * 1024

/** What the issuer of an idempotency key knows about the request that was sent with it. */
export interface IdempotencyRecord {
  key: string
  member: string
  /** Hash of the request; a resend with the same key must have the same one. */
  fingerprint: string
  expiry: number
  /** Undefined while the request runs. */
  outcome: RequestOutcome | undefined
  /** Size of the recorded answer; 0 when there is none. */
  bytes: number
  /** Resolves when an outcome is recorded. */
  done: Promise<void>
  markDone: () => void
}

interface RecordCopy { member: string, fingerprint: string, expiry: number, outcome: RequestOutcome | undefined, bytes: number }

export type ClaimKeyFailure = KeyFailure | { kind: 'claims-full', message: string }
export type LookupReply = { kind: 'none' } | { kind: 'in-progress' } | { kind: 'outcome', outcome: RequestOutcome }

/**
 * Issues idempotency keys and keeps a record for each of them that was used. Also holds copies of records that peers sent,
 * from which a resend is answered when the issuer of its key has failed.
 */
export interface IdempotencyStore {
  issue (member: string): string
  /** Whether this process issued the key; another incarnation of the same host did not. */
  isIssuer (parts: KeyParts): boolean
  /** Returns the record of a key, created on the first use of the key. The request may be dispatched only if `isNew`. */
  claimKey (key: string, parts: KeyParts, fingerprint: string): Result<{ record: IdempotencyRecord, isNew: boolean }, ClaimKeyFailure>
  recordOutcome (record: IdempotencyRecord, outcome: RequestOutcome): void
  recordCopy (copy: { key: string, member: string, fingerprint: string, remainingMs: number, outcome?: RequestOutcome }): void
  find (lookup: { key: string, member: string, fingerprint: string }): LookupReply
  listFinished (): IdempotencyRecord[]
  prune (): void
  count (): { records: number, copies: number, answerBytes: number }
}

export interface IdempotencyLimits { records: number, copies: number, answerBytes: number, keyLifetimeMs: number }
const DEFAULT_LIMITS: IdempotencyLimits = { records: MAX_RECORDS, copies: MAX_COPIES, answerBytes: MAX_ANSWER_BYTES, keyLifetimeMs: KEY_LIFETIME_MS }

export function createIdempotencyStore (options: {
  clock: Clock, host: string, incarnation: string, availabilityZone: string, secret: Uint8Array, limits?: Partial<IdempotencyLimits>
}): IdempotencyStore {
  const { clock, host, incarnation, availabilityZone, secret } = options
  const limits = { ...DEFAULT_LIMITS, ...options.limits }
  const records = new Map<string, IdempotencyRecord>()
  const copies = new Map<string, RecordCopy>()
  let sequence = 0
  let answerBytes = 0

  const issue = (member: string): string => encodeKey({
    availabilityZone, host, incarnation, member, sequence: sequence++, expiry: clock.now() + limits.keyLifetimeMs
  }, secret)

  const claimKey: IdempotencyStore['claimKey'] = (key, parts, fingerprint) => {
    const known = records.get(key)
    if (known !== undefined && known.fingerprint !== fingerprint) {
      return Err({ kind: 'key-reused', message: 'the idempotency key was used for another request' })
    }
    // A record is removed only after its key has expired, and an expired key is refused, so no key is dispatched twice.
    if (parts.expiry <= clock.now()) return Err({ kind: 'expired-key', message: 'the idempotency key has expired' })
    if (known !== undefined) return Ok({ record: known, isNew: false })
    if (records.size >= limits.records) return Err({ kind: 'claims-full', message: 'too many idempotency keys are in use' })
    const newRecord = createRecord(key, parts, fingerprint)
    records.set(key, newRecord)
    return Ok({ record: newRecord, isNew: true })
  }

  const recordOutcome: IdempotencyStore['recordOutcome'] = (record, outcome) => {
    if (records.get(record.key) !== record) return record.markDone()
    answerBytes -= record.bytes
    record.bytes = countBytes(outcome)
    answerBytes += record.bytes
    record.outcome = outcome
    record.markDone()
    evictAnswers(records.values())
  }

  /** Removes the oldest answers until the rest fit into the limit. The records stay, so no request is dispatched a second time. */
  const evictAnswers = (items: Iterable<IdempotencyRecord | RecordCopy>): void => {
    for (const item of items) {
      if (answerBytes <= limits.answerBytes) return
      if (item.bytes === 0) continue
      answerBytes -= item.bytes
      item.bytes = 0
      item.outcome = { kind: 'unknown', reason: 'answer-dropped', message: 'the request ran; its answer is no longer kept', next: 'check-by-other-means' }
    }
  }

  const recordCopy: IdempotencyStore['recordCopy'] = ({ key, member, fingerprint, remainingMs, outcome }) => {
    const known = copies.get(key)
    if (known?.outcome !== undefined && (outcome === undefined || known.outcome.kind === 'answered')) return
    if (known === undefined && copies.size >= limits.copies) removeCopy(copies.keys().next().value as string)
    const bytes = outcome === undefined ? 0 : countBytes(outcome)
    answerBytes += bytes - (known?.bytes ?? 0)
    copies.set(key, { member, fingerprint, expiry: clock.now() + remainingMs, outcome, bytes })
    evictAnswers(copies.values())
  }

  const removeCopy = (key: string): void => {
    answerBytes -= copies.get(key)?.bytes ?? 0
    copies.delete(key)
  }

  const find: IdempotencyStore['find'] = ({ key, member, fingerprint }) => {
    const known = records.get(key) ?? copies.get(key)
    if (known === undefined || known.member !== member || known.expiry <= clock.now()) return { kind: 'none' }
    if (known.fingerprint !== fingerprint) {
      return { kind: 'outcome', outcome: { kind: 'refused', failure: { kind: 'key-reused', message: 'the idempotency key was used for another request' } } }
    }
    return known.outcome === undefined ? { kind: 'in-progress' } : { kind: 'outcome', outcome: known.outcome }
  }

  const prune = (): void => {
    const now = clock.now()
    for (const [key, item] of records) {
      if (item.expiry > now) continue
      answerBytes -= item.bytes
      item.bytes = 0
      records.delete(key)
    }
    for (const [key, item] of copies) {
      if (item.expiry <= now) removeCopy(key)
    }
  }

  return {
    issue,
    isIssuer: (parts) => parts.host === host && parts.incarnation === incarnation,
    claimKey,
    recordOutcome,
    recordCopy,
    find,
    listFinished: () => [...records.values()].filter((item) => item.outcome !== undefined),
    prune,
    count: () => ({ records: records.size, copies: copies.size, answerBytes })
  }
}

function createRecord (key: string, parts: KeyParts, fingerprint: string): IdempotencyRecord {
  let markDone = (): void => {}
  const done = new Promise<void>((resolve) => { markDone = resolve })
  return { key, member: parts.member, fingerprint, expiry: parts.expiry, outcome: undefined, bytes: 0, done, markDone }
}

function countBytes (outcome: RequestOutcome): number {
  return outcome.kind === 'answered' ? outcome.body.length + JSON.stringify(outcome.headers).length : 0
}
