import { z } from 'zod'
import type { Result } from '../../common/index.js'
import { identifierSchema } from '../../state/index.js'

/** A request of a member to one of its services. `deadline` is a time on the local monotonic clock. */
export interface RoutedRequest {
  member: string
  service: string
  method: string
  path: string
  headers: Record<string, string>
  body: Uint8Array
  /** False: the request must run at most once. */
  idempotent: boolean
  deadline: number
  /** An idempotency key from `issueKey`; required to resend a request that is not idempotent. */
  key?: string
}

/** A complete HTTP response of an executor. */
export interface Answer {
  status: number
  headers: Record<string, string>
  body: Uint8Array
}

/** Why a request was not run. */
export type NotRunReason =
  | 'invalid-request' | 'unknown-service' | 'draining' | 'no-capacity' | 'queue-full' | 'shed' | 'deadline-too-close' | 'deadline-in-queue'
  | 'no-connection' | 'refused-by-executor'
/** Why it is not known whether a request ran, or which answer it gave. */
export type UnknownReason =
  | 'no-answer' | 'truncated' | 'connection-lost' | 'wrong-answer' | 'in-progress' | 'issuer-lost' | 'answer-dropped' | 'claims-full'
/**
 * What the caller of a request with an unknown outcome can do.
 * `ask-again`: a resend with the same key returns the recorded answer or the present state and never runs the request twice.
 * `resend`: the request is idempotent, so it may be sent again, with a new key or none.
 * `check-by-other-means`: no host will ever know the outcome; the caller has to check its effect itself.
 */
export type NextStep = 'ask-again' | 'resend' | 'check-by-other-means'
export type KeyFailureKind = 'malformed-key' | 'forged-key' | 'wrong-member' | 'expired-key' | 'key-reused'
export interface KeyFailure { kind: KeyFailureKind, message: string }

/**
 * `not-run`: the request certainly did not run. `refused`: the idempotency key cannot be used for this request; an earlier
 * request with the same key may have run.
 */
export type RequestOutcome =
  | ({ kind: 'answered', key?: string } & Answer)
  | { kind: 'not-run', reason: NotRunReason, message: string, key?: string }
  | { kind: 'unknown', reason: UnknownReason, message: string, next: NextStep, key?: string }
  | { kind: 'refused', failure: KeyFailure, key?: string }

const count = z.number().int().nonnegative()

/** The announcement that an executor sends every `renewMs` to its owner, the entry host that leases out its slots. */
export const announcementSchema = z.strictObject({
  kind: z.literal('executor'),
  id: identifierSchema,
  service: identifierSchema,
  availabilityZone: identifierSchema,
  rack: identifierSchema,
  /** Most requests that the executor runs at the same time. */
  slots: z.number().int().min(1).max(10_000).default(8),
  /** Most connections that the executor accepts from all entry hosts together. */
  connections: z.number().int().min(1).max(100_000).default(60),
  /** `http://ip:port` */
  url: z.string().max(200),
  /** Changes when the executor's process restarts. */
  incarnation: z.string().min(1).max(64),
  /** Grows by one each time the executor changes its owner, so that a delayed announcement is recognised. */
  homeSequence: count.default(0),
  /** `echo` of the owner's last reply. It shows the owner that the announcement was made after that reply, by the owner's own clock. */
  echo: z.string().max(200).optional(),
  /** Requests that are running now, with the lease holder from their `sequoiadrift-holder` header. */
  running: z.array(z.strictObject({ holder: z.string(), request: z.string() })).max(10_000).default([]),
  /** Number of open connections of each lease holder. */
  openConnections: z.record(z.string(), count).default({}),
  /** Interval of `102 Processing` lines that the executor sends while a request runs, ms; 0 for none. */
  progressMs: z.number().nonnegative().default(0),
  /** True when the executor accepts no new requests. */
  leaving: z.boolean().default(false)
})
export type Announcement = z.infer<typeof announcementSchema>
export type AnnouncementInput = z.input<typeof announcementSchema>

export interface AnnounceReply {
  /** The executor returns it in its next announcement. */
  echo: string
  /** Time until the next announcement, ms. */
  renewMs: number
}
export interface AnnounceFailure { kind: 'invalid-announcement' | 'other-zone' | 'draining' | 'outdated-announcement', message: string }

/** An executor as this host knows it. */
export interface TargetStatus {
  id: string
  service: string
  availabilityZone: string
  rack: string
  url: string
  /** True when this host owns the executor, that is, grants the leases on its slots. */
  home: boolean
  slots: number
  /** Slots leased out by this host if it is the owner, otherwise slots leased by this host. */
  lentSlots: number
  lentConnections: number
  running: number
  leaving: boolean
  ejected: boolean
}

export interface ExecutorRequest {
  /** Id of the attempt. The executor repeats it in its answer, so that the answer can be matched to the request. */
  id: string
  method: string
  path: string
  headers: Record<string, string>
  body: Uint8Array
}

/** `not-sent`: no byte of the request was written to the connection. With all other kinds the request may have run. */
export interface ExecutorFailure { kind: 'not-sent' | 'connection-lost' | 'truncated' | 'wrong-answer', message: string }

/** One connection. It carries one exchange at a time and is never reopened. */
export interface ExecutorConnection {
  /** Sends a liveness request on this connection and checks its answer. */
  check (): Promise<Result<void, ExecutorFailure>>
  /** Resolves with the complete answer, checked for length. `onProgress` is called whenever a part of it, or an interim response, arrives. */
  send (request: ExecutorRequest, onProgress: () => void): Promise<Result<Answer, ExecutorFailure>>
  isOpen (): boolean
  /** Closes the connection and drops unsent bytes, so that an abandoned request does not arrive later. */
  close (): void
}

/** Opens connections to executors. Time limits of requests are set by the caller, which closes the connection when one has passed. */
export interface ExecutorClient {
  open (url: string, holder: string): Promise<Result<ExecutorConnection, ExecutorFailure>>
}

/** Headers between entry hosts and executors. */
export const EXECUTOR_HEADERS = {
  /** Id of the attempt; the answer repeats it. */
  request: 'sequoiadrift-request',
  /** Lease holder of the slot: `host/incarnation`. */
  holder: 'sequoiadrift-holder',
  /** Time left until the caller's deadline, ms. */
  remaining: 'sequoiadrift-remaining-ms',
  member: 'sequoiadrift-member',
  /** In an answer with status 503: the request was not run. */
  notRun: 'sequoiadrift-not-run'
} as const

/** Path of the liveness request. */
export const LIVENESS_PATH = '/sequoiadrift/live'
