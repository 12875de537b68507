export { createRouter, type RequestOutcomeEvent, type Router, type RouterOptions } from './router.js'
export { type HostLocation as EntryHost } from './keyedRequests.js'
export { type IdempotencyLimits } from './idempotencyStore.js'
export {
  announcementSchema, EXECUTOR_HEADERS, LIVENESS_PATH,
  type AnnounceFailure, type Announcement, type AnnouncementInput, type AnnounceReply, type Answer, type ExecutorClient,
  type ExecutorConnection, type ExecutorFailure, type ExecutorRequest, type KeyFailure, type KeyFailureKind, type NextStep,
  type NotRunReason, type RequestOutcome, type RoutedRequest, type TargetStatus, type UnknownReason
} from './types.js'
