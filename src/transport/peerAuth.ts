import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

/** Older credentials are refused, so the nonces of accepted ones need to be kept only for a limited time. */
const MAX_CREDENTIAL_AGE_MS = 60_000

/** Signed headers that a host sends when it opens a connection to a peer. Each credential is accepted once. */
export interface PeerCredential {
  host: string
  /** The peer for which the credential was signed. */
  to: string
  nonce: string
  signedAt: string
  signature: string
}

export function createPeerCredential (secret: string, host: string, to: string, wallTime: number): PeerCredential {
  const nonce = randomBytes(16).toString('hex')
  const signedAt = String(Math.floor(wallTime))
  return { host, to, nonce, signedAt, signature: computeSignature(secret, host, to, nonce, signedAt) }
}

/** Checks credentials and keeps the nonces of accepted ones, so that a replayed credential is refused. */
export interface CredentialVerifier {
  accept (credential: PeerCredential, wallTime: number): boolean
}

export function createCredentialVerifier (secret: string, self: string): CredentialVerifier {
  const usedNonces = new Map<string, number>()
  return {
    accept: (credential, wallTime) => {
      usedNonces.forEach((expiry, nonce) => { if (expiry < wallTime) usedNonces.delete(nonce) })
      if (usedNonces.has(credential.nonce) || !checkPeerCredential(secret, self, credential, wallTime)) return false
      // A credential may be dated up to the maximum age in the future, so it may be valid for twice that time.
      usedNonces.set(credential.nonce, wallTime + 2 * MAX_CREDENTIAL_AGE_MS)
      return true
    }
  }
}

/** Whether a credential was signed with the deployment's secret, is addressed to this host, and is recent. */
export function checkPeerCredential (secret: string, self: string, credential: PeerCredential, wallTime: number): boolean {
  if (credential.to !== self) return false
  // The wall clock of the sender may be ahead of this host's, so a date in the future is allowed as far as one in the past.
  if (!(Math.abs(wallTime - Number(credential.signedAt)) <= MAX_CREDENTIAL_AGE_MS)) return false
  const expected = Buffer.from(computeSignature(secret, credential.host, credential.to, credential.nonce, credential.signedAt))
  const actual = Buffer.from(credential.signature)
  return expected.length === actual.length && timingSafeEqual(expected, actual)
}

function computeSignature (secret: string, ...parts: string[]): string {
  return createHmac('sha256', secret).update(parts.join('\n')).digest('hex')
}
