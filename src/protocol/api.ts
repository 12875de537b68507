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
  /** Absent: the revision that is current when the request arrives. */
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
  /** Joins as a voter once it holds the log. */
  voter: z.boolean().default(false),
  /** A voter that leaves in the same change of membership. */
  replaces: identifierSchema.optional(),
  requestId
})
export type HostBody = z.infer<typeof hostBodySchema>

/** A worker announces itself to any entry host of its zone. */
const workerAnnouncementSchema = z.strictObject({
  kind: z.literal('worker'),
  id: identifierSchema,
  availabilityZone: identifierSchema,
  rack: identifierSchema,
  url: z.url({ protocol: /^http$/ }).max(200),
  capacity: resourcesSchema,
  /** True from the moment at which the worker wants no new work. */
  leaving: z.boolean().default(false)
})

export const announcementSchema = z.discriminatedUnion('kind', [executorAnnouncementSchema, workerAnnouncementSchema])
export type Announcement = z.infer<typeof announcementSchema>

export interface AnnouncementReply {
  /** The target announces again before this many ms have passed. */
  announceWithinMs: number
  /** Sent back by an executor in its next announcement. */
  echo?: string
}

/** Who sends an HTTP request. */
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
  /** Monotonic ms. */
  deadline: number
}

export interface RequestAnswer {
  status: number
  headers: Record<string, string>
  body: Buffer
  /** The key under which a non-idempotent request ran. */
  key?: string
}

export type Reply<T = unknown> = Promise<Result<T, ApiFailure>>
export type ReportFormat = 'json' | 'text' | 'html'
export type SubjectKind = 'task' | 'job' | 'worker' | 'preset'

/** What an entry host offers; HTTP controllers call nothing else. */
export interface EntryHost {
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
