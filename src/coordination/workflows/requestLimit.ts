import type { WorkflowReply, WorkflowRequest } from './messages.js'

/** Memory of a request besides its workflow, of one step, and of one reference of a step to an earlier one. */
const REQUEST_BYTES = 2048
const STEP_BYTES = 512
const REFERENCE_BYTES = 8
const RETRY_AFTER_MS = 1000
/** Bytes of requests in progress if the process states no other limit. 40 entry hosts with 2 Mbit/s each send 15 MB in the 1.5 s of one try. */
const DEFAULT_MAX_REQUEST_BYTES = 32 * 1024 * 1024

export interface RequestLimit {
  /** Handles a request, or answers that it was not run if the requests in progress hold too many bytes. */
  handle (request: WorkflowRequest, handler: (request: WorkflowRequest) => Promise<WorkflowReply>): Promise<WorkflowReply>
}

/** Bounds the bytes of the requests that the leader has in progress. Load: the requests of all entry hosts. */
export function createRequestLimit (maxBytes = DEFAULT_MAX_REQUEST_BYTES): RequestLimit {
  let usedBytes = 0
  return {
    handle: async (request, handler) => {
      const bytes = estimateRequestBytes(request)
      // A single request is always handled, whatever its size.
      if (usedBytes > 0 && usedBytes + bytes > maxBytes) return { kind: 'not-run', retryAfterMs: RETRY_AFTER_MS, reason: 'request-bytes' }
      usedBytes += bytes
      try {
        return await handler(request)
      } finally {
        usedBytes -= bytes
      }
    }
  }
}

/** Estimates the memory of a decoded request. Pings are free, so that entry hosts keep their contact with a busy leader. */
export function estimateRequestBytes (request: WorkflowRequest): number {
  if (request.kind === 'ping') return 0
  if (request.kind !== 'submit' || request.workflow === null) return REQUEST_BYTES
  const { command, steps } = request.workflow
  const references = steps.reduce((sum, { dependsOn }) => sum + dependsOn.length, 0)
  return REQUEST_BYTES + command.length + steps.length * STEP_BYTES + references * REFERENCE_BYTES
}
