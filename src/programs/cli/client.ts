import { randomUUID } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { parse } from 'smol-toml'
import { request } from 'undici'
import { z } from 'zod'
import { Err, Ok, type Result } from '../../common/index.js'

const ATTEMPT_TIMEOUT_MS = 5_000
const DEFAULT_ENDPOINT = 'http://127.0.0.1:8101'

/** The settings file of the command line: URLs of the entry hosts and the bearer token. */
const clientSettingsSchema = z.strictObject({
  endpoints: z.array(z.url({ protocol: /^http$/ })).min(1),
  token: z.string().min(1).optional()
})

export interface ClientOptions {
  endpoints: string[]
  token: string | undefined
}

export type ClientFailure =
  | { kind: 'no-answer', tried: Array<{ endpoint: string, message: string }> }
  | { kind: 'refused', status: number, error: { kind: string, message: string, details?: unknown } }
  | { kind: 'invalid-client-settings', file: string, message: string }

export interface Call {
  method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  path: string
  body?: Record<string, unknown> | undefined
  headers?: Record<string, string>
  /** Sent unchanged in place of `body`. */
  rawBody?: string
}

export interface Answer {
  status: number
  headers: Record<string, string | string[] | undefined>
  text: string
}

/** Each option is taken from the flags, or else from the environment, the settings file, or the default: the first host of the demonstration, without a token. */
export async function loadClientOptions (flags: { endpoint?: string | undefined, token?: string | undefined, settings?: string | undefined }): Promise<Result<ClientOptions, ClientFailure>> {
  const file = flags.settings ?? process.env.SEQUOIADRIFT_CLIENT_SETTINGS
  const loaded = file === undefined ? Ok(undefined) : await readClientSettings(file)
  if (!loaded.ok) return loaded
  const endpoints = flags.endpoint ?? process.env.SEQUOIADRIFT_ENDPOINTS
  return Ok({
    endpoints: endpoints?.split(',').map((endpoint) => endpoint.trim()) ?? loaded.val?.endpoints ?? [DEFAULT_ENDPOINT],
    token: flags.token ?? process.env.SEQUOIADRIFT_TOKEN ?? loaded.val?.token
  })
}

/** Creates an id by which the servers recognise a resent change, so that it is applied only once. */
export function createRequestId (): string {
  return randomUUID()
}

/**
 * Sends a call to the entry hosts in order until one answers with another status than 503.
 * Changes carry a request id or an idempotency key, so after a timeout the call may be repeated at another host.
 */
export async function sendCall (options: ClientOptions, call: Call): Promise<Result<Answer, ClientFailure>> {
  const tried: Array<{ endpoint: string, message: string }> = []
  for (const endpoint of options.endpoints) {
    const attempt = await sendToEndpoint(endpoint, options, call)
    if (attempt.ok && !canRetryOnOtherHost(attempt.val.status)) return checkAnswer(attempt.val)
    if (attempt.ok && endpoint === options.endpoints.at(-1)) return checkAnswer(attempt.val)
    tried.push({ endpoint, message: attempt.ok ? `answered ${attempt.val.status}: ${readMessage(attempt.val)}` : attempt.val })
  }
  return Err({ kind: 'no-answer', tried })
}

async function sendToEndpoint (endpoint: string, options: ClientOptions, call: Call): Promise<Result<Answer, string>> {
  try {
    const { statusCode, headers, body } = await request(new URL(call.path, endpoint), {
      method: call.method,
      headersTimeout: ATTEMPT_TIMEOUT_MS,
      bodyTimeout: ATTEMPT_TIMEOUT_MS,
      headers: {
        ...(options.token === undefined ? {} : { authorization: `Bearer ${options.token}` }),
        ...(call.body === undefined ? {} : { 'content-type': 'application/json' }),
        ...call.headers
      },
      body: call.rawBody ?? (call.body === undefined ? null : JSON.stringify(call.body))
    })
    return Ok({ status: statusCode, headers, text: await body.text() })
  } catch (error) {
    return Err(error instanceof Error ? error.message : 'failed')
  }
}

function canRetryOnOtherHost (status: number): boolean {
  return status === 503
}

function checkAnswer (answer: Answer): Result<Answer, ClientFailure> {
  if (answer.status < 400) return Ok(answer)
  return Err({ kind: 'refused', status: answer.status, error: readError(answer) })
}

function readMessage (answer: Answer): string {
  return readError(answer).message
}

function readError (answer: Answer): { kind: string, message: string, details?: unknown } {
  try {
    const { error } = JSON.parse(answer.text) as { error?: { kind: string, message: string } }
    return error ?? { kind: 'unexpected-answer', message: answer.text }
  } catch {
    return { kind: 'unexpected-answer', message: answer.text.slice(0, 200) }
  }
}

async function readClientSettings (file: string): Promise<Result<ClientOptions, ClientFailure>> {
  try {
    const { endpoints, token } = clientSettingsSchema.parse(parse(await readFile(file, 'utf8')))
    return Ok({ endpoints, token })
  } catch (error) {
    const message = error instanceof z.ZodError ? z.prettifyError(error) : error instanceof Error ? error.message : 'cannot be read'
    return Err({ kind: 'invalid-client-settings', file, message })
  }
}
