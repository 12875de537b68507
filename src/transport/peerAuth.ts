import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

/** An offer is refused when it is older than this, which bounds how long accepted ones are remembered. */
const MAX_OFFER_AGE_MS = 60_000

/** Headers that a host sends when it opens a connection to a peer. */
export interface PeerOffer {
  host: string
  to: string
  nonce: string
  signedAt: string
  signature: string
}

export function createPeerOffer (secret: string, host: string, to: string, wallTime: number): PeerOffer {
  const nonce = randomBytes(16).toString('hex')
  const signedAt = String(Math.floor(wallTime))
  return { host, to, nonce, signedAt, signature: computeSignature(secret, host, to, nonce, signedAt) }
}

/** Offers that were accepted, so that none is accepted twice. */
export interface OfferRegistry {
  accept (offer: PeerOffer, wallTime: number): boolean
}

export function createOfferRegistry (secret: string, self: string): OfferRegistry {
  const expiries = new Map<string, number>()
  return {
    accept: (offer, wallTime) => {
      expiries.forEach((expiry, nonce) => { if (expiry < wallTime) expiries.delete(nonce) })
      if (expiries.has(offer.nonce) || !checkPeerOffer(secret, self, offer, wallTime)) return false
      // An offer may be dated ahead by as much as it may be old.
      expiries.set(offer.nonce, wallTime + 2 * MAX_OFFER_AGE_MS)
      return true
    }
  }
}

/** True when the offer was signed with the deployment's secret for this host and is recent. */
export function checkPeerOffer (secret: string, self: string, offer: PeerOffer, wallTime: number): boolean {
  if (offer.to !== self) return false
  // Wall clocks of hosts may differ, so the age is compared without its sign.
  if (!(Math.abs(wallTime - Number(offer.signedAt)) <= MAX_OFFER_AGE_MS)) return false
  const expected = Buffer.from(computeSignature(secret, offer.host, offer.to, offer.nonce, offer.signedAt))
  const actual = Buffer.from(offer.signature)
  return expected.length === actual.length && timingSafeEqual(expected, actual)
}

function computeSignature (secret: string, ...parts: string[]): string {
  return createHmac('sha256', secret).update(parts.join('\n')).digest('hex')
}
