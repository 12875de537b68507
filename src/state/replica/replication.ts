import { updateCommit } from './apply.js'
import { getPeerKey, getVoters, isLeading, isSelf, stopOnFailure, updateTerm, type Context, type Peer, type SnapshotInfo } from './context.js'
import type { AppendReply, AppendRequest, RefusedReply, SnapshotReply, SnapshotRequest } from './messages.js'
import { createNotifier } from './notifier.js'
import { MIN_APPEND_INTERVAL_MS, APPEND_TIMEOUT_MS, HEARTBEAT_MS, LEARNER_HEARTBEAT_MS, MAX_CHUNK_BYTES, MAX_IN_FLIGHT, MAX_APPEND_BYTES } from './timing.js'

/** Starts a replication loop for each voter and learner that has none, and ends the loops of hosts that are no longer either. */
export function updatePeers (context: Context): void {
  const voters = getVoters(context).filter((voter) => !isSelf(context, voter))
  const wanted = new Map(voters.map((voter) => [getPeerKey(voter), { ...voter, hasDisk: true, isVoter: true }]))
  context.learners.forEach((learner, key) => {
    if (!wanted.has(key)) wanted.set(key, { ...learner, isVoter: false })
  })
  context.peers.forEach((peer, key) => {
    if (wanted.has(key)) return
    context.peers.delete(key)
    peer.wake.notify()
  })
  wanted.forEach(({ host, incarnation, availabilityZone, hasDisk, isVoter }, key) => {
    const existing = context.peers.get(key)
    if (existing !== undefined) {
      existing.isVoter = isVoter
      return
    }
    const peer: Peer = {
      host,
      incarnation,
      availabilityZone,
      hasDisk,
      isVoter,
      matchIndex: 0,
      nextIndex: context.log.lastIndex + 1,
      mode: 'probe',
      inFlight: 0,
      lastSentAt: -Infinity,
      sentCommitIndex: 0,
      lastContactAt: -Infinity,
      confirmedRound: 0,
      wake: createNotifier(context.clock)
    }
    context.peers.set(key, peer)
    runPeerReplication(context, peer, context.term)
  })
}

/** Replicates to one peer until this host no longer leads the term or the peer is removed. */
async function runPeerReplication (context: Context, peer: Peer, term: number): Promise<void> {
  const { clock, log } = context
  const key = getPeerKey(peer)
  const isActive = (): boolean => isLeading(context, term) && context.peers.get(key) === peer
  while (isActive()) {
    if (log.getTerm(peer.nextIndex - 1) === undefined) {
      await sendSnapshot(context, peer, term)
      continue
    }
    const sendTime = findSendTime(context, peer)
    const remaining = sendTime - clock.now()
    if (remaining <= 0) {
      sendAppend(context, peer, term)
    } else {
      await peer.wake.wait(remaining, () => !isActive() || findSendTime(context, peer) < sendTime)
    }
  }
}

/**
 * Returns when to send the next append. With unsent entries or commit index: at once if no append is in flight, else after the
 * minimum interval. Otherwise at the next heartbeat.
 */
function findSendTime (context: Context, peer: Peer): number {
  const heartbeat = peer.lastSentAt + (peer.isVoter ? HEARTBEAT_MS : LEARNER_HEARTBEAT_MS)
  if (peer.mode !== 'replicate') return heartbeat
  const hasUnsent = peer.nextIndex <= context.log.lastIndex || peer.sentCommitIndex < context.commitIndex
  if (peer.inFlight > 0) return hasUnsent && peer.inFlight < MAX_IN_FLIGHT ? peer.lastSentAt + MIN_APPEND_INTERVAL_MS : heartbeat
  // A peer may answer before its disk has synced the entries. The reply to a further, empty append tells which are durable now.
  const isUnconfirmed = peer.matchIndex < peer.nextIndex - 1 || peer.confirmedRound < (peer.isVoter ? context.latestRound : context.allPeersRound)
  return hasUnsent || isUnconfirmed ? -Infinity : heartbeat
}

async function sendAppend (context: Context, peer: Peer, term: number): Promise<void> {
  const { clock, log, network } = context
  const prevIndex = peer.nextIndex - 1
  const entries = peer.mode === 'replicate' ? log.listFrom(peer.nextIndex, MAX_APPEND_BYTES) : []
  const request: AppendRequest = {
    formation: context.formation ?? 0,
    to: peer.incarnation,
    term,
    prevIndex,
    prevTerm: log.getTerm(prevIndex) ?? 0,
    commit: context.commitIndex,
    entries: entries.map((entry) => [entry.term, entry.bytes])
  }
  const sentAt = clock.now()
  const round = context.latestRound
  peer.lastSentAt = sentAt
  peer.sentCommitIndex = context.commitIndex
  peer.nextIndex += entries.length
  peer.inFlight += 1
  const result = await network.request(peer.host, 'log.append', request, sentAt + APPEND_TIMEOUT_MS)
  peer.inFlight -= 1
  if (!isLeading(context, term)) return
  const reply = result.ok ? result.val as AppendReply | RefusedReply : undefined
  if (reply === undefined || 'refused' in reply) {
    resetPeer(peer, prevIndex)
  } else if (reply.term > term) {
    updateTerm(context, reply.term, undefined)
  } else {
    recordContact(context, peer, sentAt, round)
    handleAppendReply(context, peer, reply)
  }
  peer.wake.notify()
}

function handleAppendReply (context: Context, peer: Peer, reply: AppendReply): void {
  if (reply.matches) {
    const hasAdvanced = reply.index > peer.matchIndex
    peer.matchIndex = Math.max(peer.matchIndex, reply.index)
    peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1)
    peer.mode = 'replicate'
    if (hasAdvanced && peer.matchIndex > context.commitIndex) updateCommit(context)
    return
  }
  peer.nextIndex = Math.max(peer.matchIndex + 1, Math.min(peer.nextIndex, reply.index))
  peer.mode = 'probe'
  peer.lastSentAt = -Infinity
}

/** Goes back to the first unconfirmed entry of a lost message, so that it and all later entries are sent again. */
function resetPeer (peer: Peer, prevIndex: number): void {
  peer.nextIndex = Math.max(peer.matchIndex + 1, Math.min(peer.nextIndex, prevIndex + 1))
  peer.mode = 'probe'
}

/** Records a reply of a peer. The contact counts from the send time of the request: when the peer answered after that is unknown. */
function recordContact (context: Context, peer: Peer, sentAt: number, round: number): void {
  peer.lastContactAt = Math.max(peer.lastContactAt, sentAt)
  peer.confirmedRound = Math.max(peer.confirmedRound, round)
  const learner = context.learners.get(getPeerKey(peer))
  if (learner !== undefined) learner.lastContactAt = peer.lastContactAt
  context.progress.notify()
}

/**
 * Sends the latest snapshot in chunks. The first message has no data; its reply tells from which offset to continue, so an
 * interrupted transfer is resumed. The snapshot is read from the disk only after the peer has answered.
 */
async function sendSnapshot (context: Context, peer: Peer, term: number): Promise<void> {
  const { clock, store, snapshotInfo: info } = context
  if (info === undefined || store === undefined) {
    return stopOnFailure(context, { kind: 'invariant-broken', message: 'the log was pruned without a snapshot' })
  }
  peer.mode = 'snapshot'
  let receivedBytes = await sendChunk(context, peer, term, info, 0, new Uint8Array())
  if (receivedBytes === undefined) return clock.sleep(HEARTBEAT_MS)
  if (receivedBytes < info.size) {
    const read = await store.readSnapshot()
    if (read.err) return stopOnFailure(context, read.val)
    const bytes = read.val?.bytes ?? new Uint8Array()
    // A newer snapshot has been saved meanwhile; the replication loop starts the transfer again with that one.
    if (read.val?.index !== info.index) return
    while (receivedBytes !== undefined && receivedBytes < info.size && isLeading(context, term)) {
      receivedBytes = await sendChunk(context, peer, term, info, receivedBytes, bytes.subarray(receivedBytes, receivedBytes + MAX_CHUNK_BYTES))
    }
  }
  if (receivedBytes === undefined || !isLeading(context, term)) return
  peer.matchIndex = Math.max(peer.matchIndex, info.index)
  peer.nextIndex = peer.matchIndex + 1
  peer.mode = 'probe'
  peer.lastSentAt = -Infinity
  updateCommit(context)
}

/** Returns how many bytes of the snapshot the peer has, or undefined without a usable reply or if this host no longer leads. */
async function sendChunk (
  context: Context, peer: Peer, term: number, info: SnapshotInfo, offset: number, bytes: Uint8Array
): Promise<number | undefined> {
  const { clock, network } = context
  const request: SnapshotRequest = {
    formation: context.formation ?? 0,
    to: peer.incarnation,
    term,
    index: info.index,
    lastTerm: info.term,
    size: info.size,
    checksum: info.checksum,
    offset,
    bytes
  }
  const sentAt = clock.now()
  const round = context.latestRound
  peer.lastSentAt = sentAt
  const result = await network.request(peer.host, 'log.snapshot', request, sentAt + APPEND_TIMEOUT_MS)
  const reply = result.ok ? result.val as SnapshotReply | RefusedReply : undefined
  if (!isLeading(context, term) || reply === undefined || 'refused' in reply) return undefined
  if (reply.term > term) {
    updateTerm(context, reply.term, undefined)
    return undefined
  }
  recordContact(context, peer, sentAt, round)
  return reply.offset
}
