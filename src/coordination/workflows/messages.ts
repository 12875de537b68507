import { z } from 'zod'
import { workflowSchema } from '../../state/index.js'

/** Where a request is addressed: its host name and path select the queue. */
export const queueAddressSchema = z.object({ hostName: z.string(), path: z.string() })
export type QueueAddress = z.infer<typeof queueAddressSchema>

/** Requests of entry hosts to the leader. `remainingMs` is how long the client still waits. */
export const workflowRequestSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('submit'), address: queueAddressSchema, workflow: workflowSchema.nullable(), remainingMs: z.number() }),
  z.object({ kind: z.literal('read'), address: queueAddressSchema, remainingMs: z.number() }),
  z.object({ kind: z.literal('cancel'), address: queueAddressSchema, remainingMs: z.number() }),
  z.object({ kind: z.literal('ping') })
])
export type WorkflowRequest = z.infer<typeof workflowRequestSchema>

export type WorkflowStatus = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled'

/**
 * `not-run`: the request changed nothing and never will. `unknown`: it may or may not have been recorded.
 * Both say when to come back.
 */
export type WorkflowReply =
  | { kind: 'not-leader', leader: string | undefined, voters: string[] }
  | { kind: 'pong', hasCatalog: boolean, voters: string[] }
  | { kind: 'accepted' }
  | { kind: 'status', status: WorkflowStatus }
  | { kind: 'queue', pending: number }
  | { kind: 'no-queue' }
  | { kind: 'no-workflow' }
  | { kind: 'invalid', message: string }
  | { kind: 'overloaded', retryAfterMs: number }
  | { kind: 'not-run', retryAfterMs: number, reason: string }
  | { kind: 'unknown', reason: string }

/** Message kind between entry hosts. */
export const WORKFLOW_MESSAGE = 'workflow.request'
