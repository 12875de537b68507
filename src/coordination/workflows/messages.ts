import { z } from 'zod'
import { workflowSchema, type RequestLimits } from '../../state/index.js'

/** Address of a request; the host name and the path select the queue. */
export const queueAddressSchema = z.object({ hostName: z.string(), path: z.string() })
export type QueueAddress = z.infer<typeof queueAddressSchema>

const submitSchema = z.object({ kind: z.literal('submit'), address: queueAddressSchema, workflow: workflowSchema.nullable() })
const readSchema = z.object({ kind: z.literal('read'), address: queueAddressSchema })
const cancelSchema = z.object({ kind: z.literal('cancel'), address: queueAddressSchema })

/** A workflow request of a client to an entry host. */
export type ClientRequest = z.infer<typeof submitSchema> | z.infer<typeof readSchema> | z.infer<typeof cancelSchema>

/** `remainingMs`: how long the client still waits. `heldMs`: how long the entry host has already held the request. */
const timing = { remainingMs: z.number(), heldMs: z.number().nonnegative() }

/** Requests of entry hosts to the leader. */
export const workflowRequestSchema = z.discriminatedUnion('kind', [
  submitSchema.extend(timing),
  readSchema.extend(timing),
  cancelSchema.extend(timing),
  z.object({ kind: z.literal('ping') })
])
export type WorkflowRequest = z.infer<typeof workflowRequestSchema>

export type WorkflowStatus = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled'

/**
 * `not-run`: the request changed nothing and will not take effect later; it may be repeated after `retryAfterMs`.
 * `unknown`: the request may or may not have been recorded. `catalogVersion`: the catalog by which a queue exists or not.
 */
export type WorkflowReply =
  | { kind: 'not-leader', leader: string | undefined, voters: string[] }
  | { kind: 'pong', hasCatalog: boolean, voters: string[], limits?: RequestLimits | undefined }
  | { kind: 'accepted' }
  | { kind: 'status', status: WorkflowStatus }
  | { kind: 'queue', pending: number, catalogVersion: number }
  | { kind: 'no-queue', catalogVersion: number }
  | { kind: 'no-workflow' }
  | { kind: 'invalid', message: string }
  | { kind: 'overloaded', retryAfterMs: number }
  | { kind: 'not-run', retryAfterMs: number, reason: string }
  | { kind: 'unknown', reason: string }

/** Message kind of the requests of entry hosts to the leader. */
export const WORKFLOW_MESSAGE = 'workflow.request'
