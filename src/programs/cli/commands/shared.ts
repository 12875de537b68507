import { userInfo } from 'node:os'
import { boolean, command, flag, number, option, optional, positional, string } from 'cmd-ts'
import { createRequestId, loadClientOptions, sendCall, type Answer, type Call } from '../client.js'
import { describeClientFailure, getExitCode, renderValue } from '../output.js'

const BYTES_PER_GB = 1e9

/** Options of every command that calls an entry host: its URL and the caller's token. */
export const connectionOptions = {
  endpoint: option({ type: optional(string), long: 'endpoint', description: 'URLs of entry hosts, separated by commas; or SEQUOIADRIFT_ENDPOINTS' }),
  token: option({ type: optional(string), long: 'token', description: 'bearer token; or SEQUOIADRIFT_TOKEN' }),
  settings: option({ type: optional(string), long: 'settings', description: 'TOML file with endpoints and token; or SEQUOIADRIFT_CLIENT_SETTINGS' })
}
export const json = flag({ type: boolean, long: 'json', description: 'print the answer as JSON' })
export const requestId = option({ type: optional(string), long: 'request-id', description: 'id of this change; resend with the same id to learn its outcome' })
export const by = option({ type: string, long: 'by', defaultValue: () => userInfo().username, description: 'who makes the change' })

export type ConnectionFlags = { endpoint?: string | undefined, token?: string | undefined, settings?: string | undefined }

export function createIdArgument (name: string): ReturnType<typeof positional<typeof string>> {
  return positional({ type: string, displayName: name })
}

export const sizeOptions = {
  cores: option({ type: number, long: 'cores', defaultValue: () => 1 }),
  memoryGb: option({ type: number, long: 'memory-gb', defaultValue: () => 1 }),
  accelerators: option({ type: number, long: 'accelerators', defaultValue: () => 0 })
}

/** Creates a command that reads a path and prints the answer as a table, or as JSON with `--json`. */
export function createReadCommand (description: string, path: string, render: (value: never) => string = renderValue): ReturnType<typeof command> {
  return command({
    name: description,
    description,
    args: { ...connectionOptions, json },
    handler: async ({ json, ...flags }) => await runRead(flags, json, path, render)
  }) as ReturnType<typeof command>
}

export async function runRead (flags: ConnectionFlags, json: boolean, path: string, render: (value: never) => string = renderValue): Promise<void> {
  const answer = await runCall(flags, { method: 'GET', path })
  if (answer === undefined) return
  const value = JSON.parse(answer.text) as never
  console.log(json ? JSON.stringify(value, null, 2) : render(value))
}

/** Sends a change. For a command with the option `--request-id` and a body, the body carries the given id or a new one. */
export async function runChange (flags: ConnectionFlags & { requestId?: string | undefined }, call: Call): Promise<void> {
  const hasRequestId = 'requestId' in flags && call.body !== undefined
  const body = hasRequestId ? { ...call.body, requestId: flags.requestId ?? createRequestId() } : call.body
  const answer = await runCall(flags, { ...call, body })
  if (answer === undefined) return
  console.log(renderValue(JSON.parse(answer.text)))
}

export async function runReport (flags: ConnectionFlags, format: 'json' | 'text' | 'html'): Promise<void> {
  const answer = await runCall(flags, { method: 'GET', path: `/v1/reports/burn?format=${format}` })
  if (answer !== undefined) console.log(answer.text)
}

export async function runCall (flags: ConnectionFlags, call: Call): Promise<Answer | undefined> {
  const options = await loadClientOptions(flags)
  const answer = options.ok ? await sendCall(options.val, call) : options
  if (answer.ok) return answer.val
  console.error(describeClientFailure(answer.val))
  process.exitCode = getExitCode(answer.val)
  return undefined
}

export function createResources (args: { cores: number, memoryGb: number, accelerators: number }): Record<string, number> {
  return { cores: args.cores, memoryBytes: args.memoryGb * BYTES_PER_GB, accelerators: args.accelerators }
}
