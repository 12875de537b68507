import { z } from 'zod'
import type { Result } from '../../common/index.js'
import { identifierSchema } from '../../state/index.js'

/** What a caller asks for. `deadline` is a time of the local monotonic clock. */
export interface RoutedRequest {
  member: string
  service: string
  method: string
  path: string
  headers: Record<string, string>
  body: Uint8Array
  /** False: the request runs at most once. */
  idempotent: boolean
  deadline: number
  /** An idempotency key of `issueKey`; required to resend a request that is not idempotent. */
  key?: string
}

export interface Answer {
  status: number
  headers: Record<string, string>
  body: Uint8Array
}

export type NotRunReason =
  | 'invalid-request' | 'unknown-service' | 'draining' | 'no-capacity' | 'queue-full' | 'shed' | 'deadline-too-close' | 'deadline-in-queue'
  | 'no-connection' | 'refused-by-executor'
export type UnknownReason =
  | 'no-answer' | 'truncated' | 'connection-lost' | 'wrong-answer' | 'in-progress' | 'issuer-lost' | 'answer-dropped' | 'claims-full'
/**
 * `ask-again`: a resend with the same key returns the recorded answer or the present state and never runs the work twice.
 * `resend`: the request is idempotent, so it may be sent again, with a new key or none. `check-by-other-means`: no host will ever know more.
 */
export type NextStep = 'ask-again' | 'resend' | 'check-by-other-means'
export type KeyFailureKind = 'malformed-key' | 'forged-key' | 'wrong-member' | 'expired-key' | 'key-reused'
export interface KeyFailure { kind: KeyFailureKind, message: string }

/** `not-run` is proved. `refused` speaks about the key only: an earlier request with that key may have run. */
export type RequestOutcome =
  | ({ kind: 'answered', key?: string } & Answer)
  | { kind: 'not-run', reason: NotRunReason, message: string, key?: string }
  | { kind: 'unknown', reason: UnknownReason, message: string, next: NextStep, key?: string }
  | { kind: 'refused', failure: KeyFailure, key?: string }

const count = z.number().int().nonnegative()

/** What an executor sends to its home host every `renewMs`. */
export const announcementSchema = z.strictObject({
  kind: z.literal('executor'),
  id: identifierSchema,
  service: identifierSchema,
  availabilityZone: identifierSchema,
  rack: identifierSchema,
  /** Requests that the executor runs at the same time. */
  slots: z.number().int().min(1).max(10_000).default(8),
  /** Connections that the executor accepts from all entry hosts together. */
  connections: z.number().int().min(1).max(100_000).default(60),
  /** `http://ip:port` */
  url: z.string().max(200),
  /** Changes when the executor's process restarts. */
  incarnation: z.string().min(1).max(64),
  /** Grows by one each time the executor turns to another home, so that a delayed announcement is recognised. */
  homeSequence: count.default(0),
  /** `echo` of the last reply of the present home. It dates this announcement on the home's own clock. */
  echo: z.string().max(200).optional(),
  /** Requests that are running now, with the holder of the slot from their `sequoiadrift-holder` header. */
  running: z.array(z.strictObject({ holder: z.string(), request: z.string() })).max(10_000).default([]),
  /** Open connections for each holder. */
  openConnections: z.record(z.string(), count).default({}),
  /** Interval of `102 Processing` lines that the executor sends while a request runs, ms; 0 for none. */
  progressMs: z.number().nonnegative().default(0),
  leaving: z.boolean().default(false)
})
export type Announcement = z.infer<typeof announcementSchema>
export type AnnouncementInput = z.input<typeof announcementSchema>

export interface AnnounceReply {
  /** To be sent back in the next announcement. */
  echo: string
  /** Time until the next announcement, ms. */
  renewMs: number
}
export interface AnnounceFailure { kind: 'invalid-announcement' | 'other-zone' | 'draining' | 'outdated-announcement', message: string }

/** A target as this host knows it. */
export interface TargetStatus {
  id: string
  service: string
  availabilityZone: string
  rack: string
  url: string
  /** True when this host lends its slots. */
  home: boolean
  slots: number
  lentSlots: number
  lentConnections: number
  running: number
  leaving: boolean
  ejected: boolean
}

export interface ExecutorRequest {
  /** Differs for each attempt. The executor repeats it in its answer, which ties the answer to the request. */
  id: string
  method: string
  path: string
  headers: Record<string, string>
  body: Uint8Array
}

/** `not-sent`: no byte of the request was handed to the connection. With all others the request may have run. */
export interface ExecutorFailure { kind: 'not-sent' | 'connection-lost' | 'truncated' | 'wrong-answer', message: string }

/** One connection. It carries one exchange at a time and is never reopened. */
export interface ExecutorConnection {
  /** A liveness exchange on this connection. */
  check (): Promise<Result<void, ExecutorFailure>>
  /** Resolves with the whole answer, checked for length and id. `onProgress` is called for each sign of life before that. */
  send (request: ExecutorRequest, onProgress: () => void): Promise<Result<Answer, ExecutorFailure>>
  isOpen (): boolean
  /** Drops unsent bytes, so that a request that was abandoned does not arrive later. */
  close (): void
}

/** Port to executors. Time limits are set by the caller, which closes the connection. */
export interface ExecutorClient {
  open (url: string, holder: string): Promise<Result<ExecutorConnection, ExecutorFailure>>
}

/** Headers between entry hosts and executors. */
export const EXECUTOR_HEADERS = {
  /** Id of the attempt; the answer repeats it. */
  request: 'sequoiadrift-request',
  /** Host and incarnation that hold the slot. */
  holder: 'sequoiadrift-holder',
  /** Time left until the caller's deadline, ms. */
  remaining: 'sequoiadrift-remaining-ms',
  member: 'sequoiadrift-member',
  /** In an answer with status 503: the request was not run. */
  notRun: 'sequoiadrift-not-run'
} as const

/** Path of the liveness exchange. */
export const LIVENESS_PATH = '/sequoiadrift/live'
