import { Packr } from 'msgpackr'
import { removeStateInheritance, type ReplicatedState } from '../replicatedState.js'
import type { AppliedEntry, LogFailure } from '../replicatedLog.js'
import { encodeLarge } from '../logStore/index.js'
import type { Entry } from '../schemas.js'

/** A voter is one incarnation of a host. A host that has lost its disk, and with it its votes and log, is a new incarnation. */
export interface Voter { host: string, incarnation: string, availabilityZone: string }

export interface MembershipCommand { kind: 'log.membership', voters: Voter[] }
export type Command = Entry | MembershipCommand

export interface SnapshotContent { index: number, term: number, voters: Voter[], state: ReplicatedState }

/**
 * Common fields of the messages between replicas. `to` is the receiver's incarnation that the sender expects; `formation` is
 * the random id of the deployment's bootstrap.
 */
export interface Envelope { formation: number, to: string, term: number }

export interface VoteRequest extends Envelope {
  incarnation: string
  lastIndex: number
  lastTerm: number
  /** `probe`: a pre-vote, which changes neither the term nor the vote of the receiver. */
  phase: 'probe' | 'vote'
  /** True in a leadership transfer. The leader itself asked for this election, so voters that are in contact with it do not refuse. */
  handover: boolean
}
export interface VoteReply { term: number, granted: boolean }

export interface AppendRequest extends Envelope {
  prevIndex: number
  prevTerm: number
  commit: number
  /** Term and bytes of each entry. */
  entries: Array<[number, Uint8Array]>
}
/** `index` is the last entry of the request that is durable on the receiver, or without a match the index to send from next. */
export interface AppendReply { term: number, matches: boolean, index: number }

export interface SnapshotRequest extends Envelope {
  index: number
  lastTerm: number
  size: number
  checksum: number
  offset: number
  bytes: Uint8Array
}
/** `offset` is the number of bytes that the receiver has, so where to continue. */
export interface SnapshotReply { term: number, offset: number }

/** The receiver is another incarnation, belongs to another deployment, or has stopped. */
export interface RefusedReply { refused: 'incarnation' | 'formation' | 'stopped' }

export interface HelloReply { incarnation: string, availabilityZone: string, hasDisk: boolean, formed: boolean }
export interface JoinRequest { incarnation: string, availabilityZone: string, hasDisk: boolean }
export interface JoinReply { leader: string | undefined, isLeader: boolean }

export interface ProposeRequest { term: number, origin: string, sequence: number, entry: Entry, remainingMs: number }
/** `upMs` is the time since the start of the receiver's process. */
export type ProposeReply =
  | { kind: 'not-leader', upMs: number }
  | { kind: 'applied', value: AppliedEntry }
  | { kind: 'failed', failure: LogFailure }

export type ReadReply = { kind: 'not-leader' } | { kind: 'current', index: number }

export type MembershipChange =
  | { kind: 'add', host: string }
  | { kind: 'remove', host: string }
  | { kind: 'replace', host: string, by: string }

export type MembershipFailure =
  | { kind: 'unknown-voter', host: string }
  | { kind: 'not-connected', host: string, message: string }
  | { kind: 'no-disk', host: string }
  | { kind: 'too-many-voters', limit: number }
  | { kind: 'unsafe-change', message: string, reachable: string[], needed: number }
  | { kind: 'change-in-progress', message: string }
  | { kind: 'not-caught-up', host: string, matchIndex: number, commitIndex: number }
  | LogFailure

export interface ChangeRequest { id: string, term: number, change: MembershipChange, remainingMs: number }
export type ChangeReply =
  | { kind: 'not-leader' }
  | { kind: 'changed', voters: Voter[] }
  | { kind: 'failed', failure: MembershipFailure }

const packr = new Packr({ useRecords: false })

export function encodeCommand (command: Command): Uint8Array {
  // Copies the bytes: the packer returns a view of a buffer that it shares among many results, and one result would keep the
  // whole buffer in memory.
  return new Uint8Array(packr.pack(command))
}

export function decodeCommand (bytes: Uint8Array): Command {
  return packr.unpack(bytes) as Command
}

export function encodeSnapshot (content: SnapshotContent): Uint8Array {
  return encodeLarge(content)
}

export function decodeSnapshot (bytes: Uint8Array): SnapshotContent {
  const content = packr.unpack(bytes) as SnapshotContent
  removeStateInheritance(content.state)
  return content
}
