import { createHash, createHmac, timingSafeEqual } from 'node:crypto'
import { Err, Ok, type Result } from '../../common/index.js'
import type { KeyFailure, KeyFailureKind, RoutedRequest } from './types.js'

const KEY_PATTERN = /^[A-Za-z0-9_-]{8,600}\.[A-Za-z0-9_-]{43}$/

/** Contents of an idempotency key. `expiry` is a time on the monotonic clock of the process that issued the key. */
export interface KeyParts {
  availabilityZone: string
  host: string
  incarnation: string
  member: string
  sequence: number
  expiry: number
}

export function encodeKey (parts: KeyParts, secret: Uint8Array): string {
  const fields = [parts.availabilityZone, parts.host, parts.incarnation, parts.member, parts.sequence, parts.expiry]
  const text = Buffer.from(JSON.stringify(fields)).toString('base64url')
  return `${text}.${computeMac(text, secret).toString('base64url')}`
}

/** Checks the HMAC and the member. Only the issuer can check the expiry, since it is a time on the issuer's own clock. */
export function parseKey (key: string, member: string, secret: Uint8Array): Result<KeyParts, KeyFailure> {
  if (!KEY_PATTERN.test(key)) return createKeyFailure('malformed-key', 'the idempotency key does not have the form of one')
  const [text = '', mac = ''] = key.split('.')
  const given = Buffer.from(mac, 'base64url')
  const expected = computeMac(text, secret)
  if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
    return createKeyFailure('forged-key', 'the idempotency key was not issued by this deployment')
  }
  const fields = JSON.parse(Buffer.from(text, 'base64url').toString()) as [string, string, string, string, number, number]
  const [availabilityZone, host, incarnation, owner, sequence, expiry] = fields
  if (owner !== member) return createKeyFailure('wrong-member', 'the idempotency key was issued to another member')
  return Ok({ availabilityZone, host, incarnation, member: owner, sequence, expiry })
}

export function createKeyFailure (kind: KeyFailureKind, message: string): Result<never, KeyFailure> {
  return Err({ kind, message })
}

/** Hashes the request that a key is used for; a resend with the same key and another fingerprint is refused. */
export function computeFingerprint (request: Pick<RoutedRequest, 'service' | 'method' | 'path' | 'body'>): string {
  return createHash('sha256')
    .update(JSON.stringify([request.service, request.method, request.path]))
    .update(request.body)
    .digest('base64url')
}

function computeMac (text: string, secret: Uint8Array): Buffer {
  return createHmac('sha256', secret).update(text).digest()
}
