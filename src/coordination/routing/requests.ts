import type { Answer, RequestOutcome, RoutedRequest } from './types.js'

const METHODS = new Set(['DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT'])
const PATH_PATTERN = /^\/[!-~]*$/
const HEADER_NAME_PATTERN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/
const HEADER_VALUE_PATTERN = /^[\t -~\x80-\xff]*$/
/** Headers that concern one connection only. They are not passed on; the HTTP client of the next hop sets its own. */
const HOP_HEADERS = new Set(['connection', 'content-length', 'expect', 'host', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'])
/** Headers with this prefix are set by the router and never passed through. */
const RESERVED_HEADER_PREFIX = 'sequoiadrift-'

/**
 * Refuses a request that cannot be expressed in HTTP; undefined when it is valid. Without this check the HTTP client would
 * fail to send it, and each executor that it is tried on would be charged with a failure.
 */
export function checkRequest (request: RoutedRequest): RequestOutcome | undefined {
  const hasValidHeaders = Object.entries(request.headers)
    .every(([name, value]) => HEADER_NAME_PATTERN.test(name) && HEADER_VALUE_PATTERN.test(value))
  if (METHODS.has(request.method) && PATH_PATTERN.test(request.path) && hasValidHeaders) return undefined
  const message = 'the method, the path or a header cannot be sent over HTTP'
  return request.key === undefined
    ? { kind: 'not-run', reason: 'invalid-request', message }
    // The key may have been used before; if so, it was for a valid request, so for another one than this.
    : { kind: 'refused', failure: { kind: 'key-reused', message }, key: request.key }
}

/** Keeps the end-to-end headers, that is, all but hop-by-hop headers and those of the router. */
export function listEndToEndHeaders (headers: Record<string, string>): Record<string, string> {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => {
    const lower = name.toLowerCase()
    return !HOP_HEADERS.has(lower) && !lower.startsWith(RESERVED_HEADER_PREFIX)
  }))
}

export function createCallerAnswer (answer: Answer): Answer {
  return { ...answer, headers: listEndToEndHeaders(answer.headers) }
}
