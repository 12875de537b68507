export {
  announcementSchema, cancelBodySchema, hostBodySchema, jobBodySchema, memberBodySchema, presetBodySchema,
  resolveBodySchema, serviceBodySchema,
  type Announcement, type AnnouncementReply, type EntryHost, type HostBody, type JobBody, type MemberBody,
  type PresetBody, type Principal, type Reply, type ReportFormat, type RequestAnswer, type RequestInput,
  type ResolveBody, type ServiceBody, type SubjectKind
} from './api.js'
export { decodeEnvelope, encodeEnvelope, MAX_MESSAGE_BYTES, type CodecFailure, type Envelope } from './envelope.js'
export { createFailure, describeLogFailure, HTTP_STATUS, type ApiFailure, type ApiFailureKind } from './failures.js'
