import type { FastifyReply, FastifyRequest } from 'fastify'
import { z } from 'zod'
import { createFailure, type ApiFailure, type EntryHost, type Principal, type Reply } from '../../protocol/index.js'

/** Exception with a typed failure; the exception filter of the HTTP framework answers with that failure. */
export class FailureException extends Error {
  constructor (readonly failure: ApiFailure) {
    super(failure.message)
  }
}

export type HttpRequest = FastifyRequest<{ Params: Record<string, string>, Querystring: Record<string, string | undefined> }>
export type HttpReply = FastifyReply

export function parseBody<T extends z.ZodType> (schema: T, request: HttpRequest): z.infer<T> {
  const parsed = schema.safeParse(parseJson(request.body))
  if (parsed.success) return parsed.data
  const issues = parsed.error.issues.map((issue) => ({ path: issue.path.join('.'), message: issue.message }))
  throw new FailureException(createFailure('invalid', z.prettifyError(parsed.error), { issues }))
}

/** Waits for an operation of the entry host; throws a `FailureException` if it fails. */
export async function resolveReply<T> (reply: Reply<T>): Promise<T> {
  const result = await reply
  if (result.ok) return result.val
  throw new FailureException(result.val)
}

export function assertMember (host: EntryHost, request: HttpRequest): string {
  const principal = assertPrincipal(host, request)
  if (principal.role === 'member') return principal.member
  throw new FailureException(createFailure('forbidden', 'this needs the token of a member'))
}

export function assertOperator (host: EntryHost, request: HttpRequest): void {
  if (assertPrincipal(host, request).role !== 'operator') {
    throw new FailureException(createFailure('forbidden', 'this needs the token of an operator'))
  }
}

export function assertTarget (host: EntryHost, request: HttpRequest): void {
  if (assertPrincipal(host, request).role !== 'target') {
    throw new FailureException(createFailure('forbidden', 'this needs the token of a target'))
  }
}

export function assertPrincipal (host: EntryHost, request: HttpRequest): Principal {
  const header = request.headers.authorization ?? ''
  const token = header.startsWith('Bearer ') ? header.slice('Bearer '.length) : undefined
  const principal = token === undefined ? undefined : host.identify(token)
  if (principal !== undefined) return principal
  throw new FailureException(createFailure('unauthorized', 'the bearer token is missing or unknown'))
}

export function readParameter (request: HttpRequest, name: string): string {
  return request.params[name] ?? ''
}

function parseJson (body: unknown): unknown {
  if (!Buffer.isBuffer(body) || body.length === 0) return {}
  try {
    return JSON.parse(body.toString('utf8')) as unknown
  } catch {
    throw new FailureException(createFailure('invalid', 'the body is not valid JSON'))
  }
}
