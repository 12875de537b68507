import type { Clock, Logger, Network } from '../../common/index.js'
import type { IdempotencyRecord, IdempotencyStore } from './idempotencyStore.js'
import { waitWithTimeout } from './connectionPool.js'
import type { RunOptions } from './dispatcher.js'
import { computeFingerprint, parseKey, type KeyParts } from './idempotencyKeys.js'
import { recordLookupReplySchema, recordLookupSchema, recordCopySchema, forwardReplySchema, forwardRequestSchema } from './messages.js'
import type { Answer, NextStep, RequestOutcome, RoutedRequest, UnknownReason } from './types.js'

const COPY_TIMEOUT_MS = 50
const LOOKUP_TIMEOUT_MS = 300
/** No record is copied to a peer for this long after it failed to confirm one. */
const PEER_BACKOFF_MS = 1000
const TRANSFER_TIMEOUT_MS = 1000

/** An entry host and its availability zone. */
export interface HostLocation { id: string, availabilityZone: string }

/**
 * Routes requests that have an idempotency key. Only the process that issued the key dispatches the request, and at most
 * once. Other hosts forward the request to it.
 */
export interface KeyedRequests {
  route (request: RoutedRequest, key: string): Promise<RequestOutcome>
  /** Copies the records with outcomes to a peer, so that resends are answered after this host has stopped. */
  transferAnswers (): Promise<void>
}

export function createKeyedRequests (options: {
  clock: Clock
  network: Network
  availabilityZone: string
  secret: Uint8Array
  idempotencyStore: IdempotencyStore
  getHosts (): HostLocation[]
  run (request: RoutedRequest, options: RunOptions): Promise<RequestOutcome>
  logger: Logger
}): KeyedRequests {
  const { clock, network, availabilityZone, secret, idempotencyStore, getHosts, run, logger } = options
  const peerBackoffs = new Map<string, number>()

  const route: KeyedRequests['route'] = async (request, key) => {
    const parsed = parseKey(key, request.member, secret)
    if (!parsed.ok) return { kind: 'refused', failure: parsed.val, key }
    const fingerprint = computeFingerprint(request)
    const outcome = idempotencyStore.isIssuer(parsed.val)
      ? await routeAsIssuer(request, key, parsed.val, fingerprint)
      : await forwardRequest(request, key, parsed.val, fingerprint)
    return { ...outcome, key }
  }

  const routeAsIssuer = async (request: RoutedRequest, key: string, parts: KeyParts, fingerprint: string): Promise<RequestOutcome> => {
    const claimed = idempotencyStore.claimKey(key, parts, fingerprint)
    if (!claimed.ok) {
      const failure = claimed.val
      // The outcome is not "not-run", because a delayed copy of the same request could still arrive and be dispatched.
      return failure.kind === 'claims-full'
        ? createUnknownOutcome('claims-full', failure.message, 'ask-again')
        : { kind: 'refused', failure }
    }
    const { record, isNew } = claimed.val
    if (isNew) dispatchRecord(record, request)
    await waitWithTimeout(clock, record.done, request.deadline - clock.now())
    return record.outcome ?? createUnknownOutcome('in-progress', 'the request is still running', 'ask-again')
  }

  const dispatchRecord = async (record: IdempotencyRecord, request: RoutedRequest): Promise<void> => {
    const outcome = await run(request, {
      beforeSend: () => copyRecord(record),
      onLateAnswer: (answer: Answer) => recordOutcome(record, { kind: 'answered', ...answer })
    })
    if (record.outcome?.kind !== 'answered') recordOutcome(record, outcome)
  }

  const recordOutcome = (record: IdempotencyRecord, outcome: RequestOutcome): void => {
    idempotencyStore.recordOutcome(record, outcome)
    copyRecord(record)
  }

  const listPeers = (zone: string): string[] => getHosts()
    .filter((host) => host.availabilityZone === zone && host.id !== network.self)
    .map((host) => host.id)

  /**
   * Sends a record to the peers of the zone in turn until one confirms it. If none does, a resend at another host cannot learn
   * the outcome after this host has failed, but it is not dispatched again either.
   */
  const copyRecord = async (record: IdempotencyRecord, timeoutMs = COPY_TIMEOUT_MS): Promise<boolean> => {
    const body = {
      key: record.key, member: record.member, fingerprint: record.fingerprint, remainingMs: record.expiry - clock.now(), outcome: record.outcome
    }
    for (const peer of listPeers(availabilityZone)) {
      if ((peerBackoffs.get(peer) ?? -Infinity) > clock.now()) continue
      const result = await network.request(peer, 'claim.copy', body, clock.now() + timeoutMs)
      if (result.ok) return true
      peerBackoffs.set(peer, clock.now() + PEER_BACKOFF_MS)
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
    const isIssuerGone = parts.host === network.self || (reply?.success === true && reply.data.kind === 'not-issuer')
    const recorded = await findRecordedOutcome(parts, { key, member, fingerprint }, request.deadline, isIssuerGone)
    // The request is not dispatched here even if it is idempotent, because the issuer could later answer "not-run" for this
    // key, which would then be wrong. The caller may resend an idempotent request without the key.
    return recorded.kind === 'unknown' && idempotent ? { ...recorded, next: 'resend' } : recorded
  }

  /** Looks for a copy of the issuer's record on this host and on the issuer's peers. */
  const findRecordedOutcome = async (parts: KeyParts, lookup: { key: string, member: string, fingerprint: string }, deadline: number, isIssuerGone: boolean): Promise<RequestOutcome> => {
    const limit = Math.max(deadline, clock.now() + LOOKUP_TIMEOUT_MS)
    const own = idempotencyStore.find(lookup)
    const peers = listPeers(parts.availabilityZone).filter((peer) => peer !== parts.host)
    const replies = await Promise.all(peers.map((peer) => network.request(peer, 'claim.ask', lookup, Math.min(limit, clock.now() + LOOKUP_TIMEOUT_MS))))
    const parsed = replies.map((reply) => reply.ok ? recordLookupReplySchema.safeParse(reply.val) : undefined)
    const answers = [own, ...parsed.flatMap((item) => item?.success ? [item.data] : [])]
    const recorded = answers.find((item) => item.kind === 'outcome')
    if (recorded?.kind === 'outcome') return recorded.outcome as RequestOutcome
    if (isIssuerGone) return createUnknownOutcome('issuer-lost', 'the host process that issued the key has ended without a recorded answer', 'check-by-other-means')
    const isDispatched = answers.some((item) => item.kind === 'in-progress')
    return isDispatched
      ? createUnknownOutcome('in-progress', 'the request was dispatched; its issuer cannot be reached', 'ask-again')
      : createUnknownOutcome('issuer-lost', 'the issuer of the key cannot be reached', 'ask-again')
  }

  network.handle('request.forward', async (_, body) => {
    const { key, remainingMs, ...rest } = forwardRequestSchema.parse(body)
    const request: RoutedRequest = { ...rest, deadline: clock.now() + remainingMs, key }
    const parsed = parseKey(key, request.member, secret)
    if (!parsed.ok) return { kind: 'outcome', outcome: { kind: 'refused', failure: parsed.val } }
    if (!idempotencyStore.isIssuer(parsed.val)) return { kind: 'not-issuer' }
    return { kind: 'outcome', outcome: await routeAsIssuer(request, key, parsed.val, computeFingerprint(request)) }
  })
  network.handle('claim.copy', async (_, body) => {
    const copy = recordCopySchema.parse(body)
    idempotencyStore.recordCopy({ ...copy, outcome: copy.outcome as RequestOutcome | undefined })
    return {}
  })
  network.handle('claim.ask', async (_, body) => idempotencyStore.find(recordLookupSchema.parse(body)))

  const transferAnswers = async (): Promise<void> => {
    const finished = idempotencyStore.listFinished()
    const copied = await Promise.all(finished.map((record) => copyRecord(record, TRANSFER_TIMEOUT_MS)))
    logger.info('answers-handed-over', { answers: copied.filter(Boolean).length, failed: copied.filter((done) => !done).length })
  }

  return { route, transferAnswers }
}

function createUnknownOutcome (reason: UnknownReason, message: string, next: NextStep): RequestOutcome {
  return { kind: 'unknown', reason, message, next }
}
