import type { Clock, Logger, Network } from '../../common/index.js'
import type { Claim, ClaimStore } from './claims.js'
import { waitAtMost } from './connections.js'
import type { RunOptions } from './dispatcher.js'
import { computeFingerprint, parseKey, type KeyParts } from './keys.js'
import { claimAskReplySchema, claimAskSchema, claimCopySchema, forwardReplySchema, forwardSchema } from './messages.js'
import type { Answer, NextStep, RequestOutcome, RoutedRequest, UnknownReason } from './types.js'

const COPY_MS = 50
const ASK_MS = 300
const AVOID_PEER_MS = 1000
const HAND_OVER_MS = 1000

export interface EntryHost { id: string, availabilityZone: string }

/** Requests with an idempotency key: at most one dispatch, by the incarnation that issued the key. */
export interface KeyedRequests {
  route (request: RoutedRequest, key: string): Promise<RequestOutcome>
  /** Copies the recorded answers to a peer, before this host stops. */
  handOver (): Promise<void>
}

export function createKeyedRequests (options: {
  clock: Clock
  network: Network
  availabilityZone: string
  secret: Uint8Array
  claims: ClaimStore
  getHosts (): EntryHost[]
  run (request: RoutedRequest, options: RunOptions): Promise<RequestOutcome>
  logger: Logger
}): KeyedRequests {
  const { clock, network, availabilityZone, secret, claims, getHosts, run, logger } = options
  const avoided = new Map<string, number>()

  const route: KeyedRequests['route'] = async (request, key) => {
    const parsed = parseKey(key, request.member, secret)
    if (!parsed.ok) return { kind: 'refused', failure: parsed.val, key }
    const fingerprint = computeFingerprint(request)
    const outcome = claims.isIssuer(parsed.val)
      ? await routeAsIssuer(request, key, parsed.val, fingerprint)
      : await forwardRequest(request, key, parsed.val, fingerprint)
    return { ...outcome, key }
  }

  const routeAsIssuer = async (request: RoutedRequest, key: string, parts: KeyParts, fingerprint: string): Promise<RequestOutcome> => {
    const claimed = claims.claim(key, parts, fingerprint)
    if (!claimed.ok) {
      const failure = claimed.val
      // Not "not-run": a delayed copy of the same request could still be the first to claim the key.
      return failure.kind === 'claims-full'
        ? createUnknown('claims-full', failure.message, 'ask-again')
        : { kind: 'refused', failure }
    }
    const { claim, isNew } = claimed.val
    if (isNew) dispatchClaim(claim, request)
    await waitAtMost(clock, claim.done, request.deadline - clock.now())
    return claim.outcome ?? createUnknown('in-progress', 'the request is still running', 'ask-again')
  }

  const dispatchClaim = async (claim: Claim, request: RoutedRequest): Promise<void> => {
    const outcome = await run(request, {
      beforeSend: () => copyClaim(claim),
      onLateAnswer: (answer: Answer) => recordOutcome(claim, { kind: 'answered', ...answer })
    })
    if (claim.outcome?.kind !== 'answered') recordOutcome(claim, outcome)
  }

  const recordOutcome = (claim: Claim, outcome: RequestOutcome): void => {
    claims.recordOutcome(claim, outcome)
    copyClaim(claim)
  }

  const listPeers = (zone: string): string[] => getHosts()
    .filter((host) => host.availabilityZone === zone && host.id !== network.self)
    .map((host) => host.id)

  /** Sends a claim to the first peer of the zone that confirms it. Without one, a resend elsewhere learns nothing, which is safe. */
  const copyClaim = async (claim: Claim, limitMs = COPY_MS): Promise<boolean> => {
    const body = {
      key: claim.key, member: claim.member, fingerprint: claim.fingerprint, remainingMs: claim.expiry - clock.now(), outcome: claim.outcome
    }
    for (const peer of listPeers(availabilityZone)) {
      if ((avoided.get(peer) ?? -Infinity) > clock.now()) continue
      const result = await network.request(peer, 'claim.copy', body, clock.now() + limitMs)
      if (result.ok) return true
      avoided.set(peer, clock.now() + AVOID_PEER_MS)
    }
    return false
  }

  const forwardRequest = async (request: RoutedRequest, key: string, parts: KeyParts, fingerprint: string): Promise<RequestOutcome> => {
    const { member, service, method, path, headers, body, idempotent } = request
    const message = { member, service, method, path, headers, body, idempotent, key, remainingMs: request.deadline - clock.now() }
    const result = parts.host === network.self
      ? undefined
      : await network.request(parts.host, 'request.forward', message, request.deadline)
    const reply = result?.ok ? forwardReplySchema.safeParse(result.val) : undefined
    if (reply?.success && reply.data.kind === 'outcome') return reply.data.outcome as RequestOutcome
    const isGone = parts.host === network.self || (reply?.success === true && reply.data.kind === 'not-issuer')
    const recorded = await askPeers(parts, { key, member, fingerprint }, request.deadline, isGone)
    // Run here, a later "not-run" of the issuer would be wrong; the caller may send an idempotent request without the key.
    return recorded.kind === 'unknown' && idempotent ? { ...recorded, next: 'resend' } : recorded
  }

  const askPeers = async (parts: KeyParts, ask: { key: string, member: string, fingerprint: string }, deadline: number, isGone: boolean): Promise<RequestOutcome> => {
    const limit = Math.max(deadline, clock.now() + ASK_MS)
    const own = claims.find(ask)
    const peers = listPeers(parts.availabilityZone).filter((peer) => peer !== parts.host)
    const replies = await Promise.all(peers.map((peer) => network.request(peer, 'claim.ask', ask, Math.min(limit, clock.now() + ASK_MS))))
    const parsed = replies.map((reply) => reply.ok ? claimAskReplySchema.safeParse(reply.val) : undefined)
    const answers = [own, ...parsed.flatMap((item) => item?.success ? [item.data] : [])]
    const recorded = answers.find((item) => item.kind === 'outcome')
    if (recorded?.kind === 'outcome') return recorded.outcome as RequestOutcome
    if (isGone) return createUnknown('issuer-lost', 'the host process that issued the key has ended without a recorded answer', 'check-by-other-means')
    const isClaimed = answers.some((item) => item.kind === 'in-progress')
    return isClaimed
      ? createUnknown('in-progress', 'the request was dispatched; its issuer cannot be reached', 'ask-again')
      : createUnknown('issuer-lost', 'the issuer of the key cannot be reached', 'ask-again')
  }

  network.handle('request.forward', async (_, body) => {
    const { key, remainingMs, ...rest } = forwardSchema.parse(body)
    const request: RoutedRequest = { ...rest, deadline: clock.now() + remainingMs, key }
    const parsed = parseKey(key, request.member, secret)
    if (!parsed.ok) return { kind: 'outcome', outcome: { kind: 'refused', failure: parsed.val } }
    if (!claims.isIssuer(parsed.val)) return { kind: 'not-issuer' }
    return { kind: 'outcome', outcome: await routeAsIssuer(request, key, parsed.val, computeFingerprint(request)) }
  })
  network.handle('claim.copy', async (_, body) => {
    const copy = claimCopySchema.parse(body)
    claims.recordCopy({ ...copy, outcome: copy.outcome as RequestOutcome | undefined })
    return {}
  })
  network.handle('claim.ask', async (_, body) => claims.find(claimAskSchema.parse(body)))

  const handOver = async (): Promise<void> => {
    const finished = claims.listFinished()
    const copied = await Promise.all(finished.map((claim) => copyClaim(claim, HAND_OVER_MS)))
    logger.info('answers-handed-over', { answers: copied.filter(Boolean).length, failed: copied.filter((done) => !done).length })
  }

  return { route, handOver }
}

function createUnknown (reason: UnknownReason, message: string, next: NextStep): RequestOutcome {
  return { kind: 'unknown', reason, message, next }
}
