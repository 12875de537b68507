import { z } from 'zod'
import type { Result } from '../common/index.js'
import { announcementSchema as executorAnnouncementSchema } from '../coordination/routing/index.js'
import {
  hostSchema, identifierSchema, jobSchema, memberSchema, policySchema, resourcesSchema, serviceSchema, taskOutcomeSchema
} from '../state/index.js'
import type { ApiFailure } from './failures.js'

const requestId = z.string().min(1).max(128).optional()

export const serviceBodySchema = serviceSchema.omit({ id: true, member: true }).extend({ requestId })
export type ServiceBody = z.infer<typeof serviceBodySchema>

export const jobBodySchema = jobSchema.omit({ member: true }).extend({ requestId })
export type JobBody = z.infer<typeof jobBodySchema>

export const cancelBodySchema = z.strictObject({ requestId })

export const presetBodySchema = z.strictObject({
  preset: identifierSchema,
  /** Revision that the change is based on; if absent, the revision that is current when the request arrives. */
  baseRevision: z.number().int().nonnegative().optional(),
  presets: z.record(identifierSchema, policySchema).default({}),
  setBy: z.string().min(1).max(200),
  reason: z.string().min(1).max(1000),
  requestId
})
export type PresetBody = z.infer<typeof presetBodySchema>

export const memberBodySchema = memberSchema.omit({ id: true, tokenHash: true }).extend({
  /** The bearer token; only its hash is stored. */
  token: z.string().min(16).max(256),
  requestId
})
export type MemberBody = z.infer<typeof memberBodySchema>

export const resolveBodySchema = z.strictObject({ outcome: taskOutcomeSchema.exclude(['unknown']), setBy: z.string().min(1).max(200), requestId })
export type ResolveBody = z.infer<typeof resolveBodySchema>

export const hostBodySchema = hostSchema.extend({
  /** True: the host becomes a voter when it has caught up with the log. */
  voter: z.boolean().default(false),
  /** A voter that the same membership change removes. */
  replaces: identifierSchema.optional(),
  requestId
})
export type HostBody = z.infer<typeof hostBodySchema>

/** The announcement of a worker, which it sends to any entry host of its zone. */
const workerAnnouncementSchema = z.strictObject({
  kind: z.literal('worker'),
  id: identifierSchema,
  availabilityZone: identifierSchema,
  rack: identifierSchema,
  url: z.url({ protocol: /^http$/ }).max(200),
  capacity: resourcesSchema,
  /** True when the worker accepts no new tasks. */
  leaving: z.boolean().default(false)
})

export const announcementSchema = z.discriminatedUnion('kind', [executorAnnouncementSchema, workerAnnouncementSchema])
export type Announcement = z.infer<typeof announcementSchema>

export interface AnnouncementReply {
  /** Time within which the target must announce itself again, ms. */
  announceWithinMs: number
  /** An executor returns it in its next announcement. */
  echo?: string
}

/** The authenticated sender of an HTTP request. */
export type Principal =
  | { role: 'member', member: string }
  | { role: 'operator' }
  | { role: 'target' }

export interface RequestInput {
  member: string
  service: string
  method: string
  path: string
  headers: Record<string, string>
  body: Buffer
  idempotent: boolean
  key: string | undefined
  /** Time on the entry host's monotonic clock, ms. */
  deadline: number
}

export interface RequestAnswer {
  status: number
  headers: Record<string, string>
  body: Buffer
  /** The idempotency key with which the request was sent or that was issued for it. */
  key?: string
}

export type Reply<T = unknown> = Promise<Result<T, ApiFailure>>
export type ReportFormat = 'json' | 'text' | 'html'
export type SubjectKind = 'task' | 'job' | 'worker' | 'preset'

/** Operations of an entry host; the HTTP controllers use this interface only. */
export interface EntryHost {
  /** Returns the principal to which a bearer token belongs; undefined for an unknown token. */
  identify (token: string): Principal | undefined
  isReady (): boolean
  getHealth (): object
  now (): number

  routeRequest (input: RequestInput): Reply<RequestAnswer>
  issueKey (member: string): Reply<{ key: string, expiresInMs: number }>

  putService (member: string, id: string, body: ServiceBody): Reply
  removeService (member: string, id: string): Reply
  listServices (principal: Principal): Reply
  createJob (member: string, body: JobBody): Reply
  listJobs (principal: Principal): Reply
  getJob (principal: Principal, id: string): Reply
  listTasks (principal: Principal, job: string | undefined): Reply
  cancelJob (member: string, id: string, requestId: string | undefined): Reply
  resolveTask (job: string, task: number, body: ResolveBody): Reply

  announceTarget (announcement: Announcement): Reply<AnnouncementReply>
  listTargets (): Reply
  listWorkers (): Reply
  drainWorker (id: string): Reply

  getPreset (): Reply
  setPreset (body: PresetBody): Reply
  putMember (id: string, body: MemberBody): Reply
  listMembers (): Reply
  listHosts (): Reply
  addHost (body: HostBody): Reply
  removeHost (id: string, requestId: string | undefined): Reply
  retireZone (availabilityZone: string, confirmedStopped: boolean, setBy: string): Reply
  drain (): Reply

  explain (principal: Principal, kind: SubjectKind, id: string): Reply
  report (principal: Principal, format: ReportFormat): Reply<string>
}
