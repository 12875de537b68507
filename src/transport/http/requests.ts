import { All, Controller, Inject, Post, Req, Res } from '@nestjs/common'
import { createFailure, type EntryHost, type RequestInput } from '../../protocol/index.js'
import { assertMember, FailureException, readParameter, resolveReply, type HttpReply, type HttpRequest } from './requestHelpers.js'
import { ENTRY_HOST } from './injectionTokens.js'

const DEFAULT_DEADLINE_MS = 10_000
const MAX_DEADLINE_MS = 120_000
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'])

/** Request headers that are addressed to the entry host or concern the connection to it; they are not passed on to the executor. */
const REQUEST_HOP_HEADERS = new Set([
  'authorization', 'connection', 'content-length', 'expect', 'host', 'keep-alive', 'proxy-authorization', 'te',
  'trailer', 'transfer-encoding', 'upgrade', 'idempotency-key', 'sequoiadrift-idempotent', 'sequoiadrift-deadline-ms'
])

/** Response headers that concern the connection to the executor; they are not passed on to the caller. */
const ANSWER_HOP_HEADERS = new Set(['connection', 'content-length', 'date', 'keep-alive', 'sequoiadrift-request', 'trailer', 'transfer-encoding', 'upgrade'])

/** Routes for requests of members to their services. */
@Controller('v1')
export class RequestsController {
  constructor (@Inject(ENTRY_HOST) private readonly host: EntryHost) {}

  @Post('request-keys')
  async issueKey (@Req() request: HttpRequest): Promise<unknown> {
    return await resolveReply(this.host.issueKey(assertMember(this.host, request)))
  }

  @All('services/:service/requests/*')
  async routeRequest (@Req() request: HttpRequest, @Res() reply: HttpReply): Promise<void> {
    const member = assertMember(this.host, request)
    const answer = await resolveReply(this.host.routeRequest(readInput(this.host, request, member)))
    reply.code(answer.status).headers(createAnswerHeaders(answer.headers))
    if (answer.key !== undefined) reply.header('idempotency-key', answer.key)
    await reply.send(answer.body)
  }
}

function readInput (host: EntryHost, request: HttpRequest, member: string): RequestInput {
  const service = readParameter(request, 'service')
  const prefix = `/v1/services/${service}/requests`
  return {
    member,
    service,
    method: request.method,
    path: request.url.slice(prefix.length),
    headers: readHeaders(request),
    body: Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0),
    idempotent: readIdempotent(request),
    key: readHeader(request, 'idempotency-key'),
    deadline: host.now() + readDeadlineMs(request)
  }
}

function readHeaders (request: HttpRequest): Record<string, string> {
  const pairs = Object.entries(request.headers)
    .filter(([name, value]) => !REQUEST_HOP_HEADERS.has(name) && value !== undefined)
    .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : String(value)] as const)
  return Object.fromEntries(pairs)
}

function createAnswerHeaders (headers: Record<string, string>): Record<string, string> {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !ANSWER_HOP_HEADERS.has(name)))
}

function readIdempotent (request: HttpRequest): boolean {
  const value = readHeader(request, 'sequoiadrift-idempotent')
  if (value === undefined) return IDEMPOTENT_METHODS.has(request.method)
  if (value === 'true' || value === 'false') return value === 'true'
  throw new FailureException(createFailure('invalid', 'header sequoiadrift-idempotent is "true" or "false"'))
}

function readDeadlineMs (request: HttpRequest): number {
  const value = readHeader(request, 'sequoiadrift-deadline-ms')
  if (value === undefined) return DEFAULT_DEADLINE_MS
  const ms = Number(value)
  if (Number.isInteger(ms) && ms >= 1 && ms <= MAX_DEADLINE_MS) return ms
  throw new FailureException(createFailure('invalid', `header sequoiadrift-deadline-ms is a whole number from 1 to ${MAX_DEADLINE_MS}`))
}

function readHeader (request: HttpRequest, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}
