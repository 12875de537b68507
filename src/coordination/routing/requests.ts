import type { Answer, RequestOutcome, RoutedRequest } from './types.js'

const METHODS = new Set(['DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT'])
const PATH_PATTERN = /^\/[!-~]*$/
const HEADER_NAME_PATTERN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/
const HEADER_VALUE_PATTERN = /^[\t -~\x80-\xff]*$/
/** Headers that concern one connection, and those that this system sets itself. */
const HOP_HEADERS = new Set(['connection', 'content-length', 'expect', 'host', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'])
const OWN_PREFIX = 'sequoiadrift-'

/** A request that no client can send would otherwise count as a failure of each executor that it is tried on. */
export function checkRequest (request: RoutedRequest): RequestOutcome | undefined {
  const hasValidHeaders = Object.entries(request.headers)
    .every(([name, value]) => HEADER_NAME_PATTERN.test(name) && HEADER_VALUE_PATTERN.test(value))
  if (METHODS.has(request.method) && PATH_PATTERN.test(request.path) && hasValidHeaders) return undefined
  const message = 'the method, the path or a header cannot be sent over HTTP'
  return request.key === undefined
    ? { kind: 'not-run', reason: 'invalid-request', message }
    // What ran with this key, if anything did, was another request.
    : { kind: 'refused', failure: { kind: 'key-reused', message }, key: request.key }
}

/** Keeps the headers that belong to the request or the answer itself. */
export function listEndToEndHeaders (headers: Record<string, string>): Record<string, string> {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => {
    const lower = name.toLowerCase()
    return !HOP_HEADERS.has(lower) && !lower.startsWith(OWN_PREFIX)
  }))
}

export function createCallersAnswer (answer: Answer): Answer {
  return { ...answer, headers: listEndToEndHeaders(answer.headers) }
}
