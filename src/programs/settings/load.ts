import { readFile } from 'node:fs/promises'
import { parse, TomlError } from 'smol-toml'
import type { z } from 'zod'
import { Err, Ok, type Result } from '../../common/index.js'
import type { Host, Member, Policy } from '../../state/index.js'
import { settingsSchema, type HostEntry, type PolicyEntry, type Settings } from './schema.js'

const BYTES_PER_GB = 1e9

export type SettingsFailure =
  | { kind: 'unreadable-file', file: string, message: string }
  | { kind: 'malformed-toml', file: string, line: number, column: number, message: string }
  | { kind: 'invalid-settings', file: string, issues: SettingsIssue[] }

export interface SettingsIssue {
  /** Path of the key, for instance `hosts.0.peer`. */
  key: string
  value: string
  allowed: string
}

export async function loadSettings (file: string): Promise<Result<Settings, SettingsFailure>> {
  try {
    return parseSettings(file, await readFile(file, 'utf8'))
  } catch (error) {
    return Err({ kind: 'unreadable-file', file, message: error instanceof Error ? error.message : 'cannot be read' })
  }
}

export function parseSettings (file: string, text: string): Result<Settings, SettingsFailure> {
  const table = parseToml(file, text)
  return table.ok ? checkTable(settingsSchema, file, table.val) : table
}

/** Validates a TOML table by a schema; the failure lists each invalid key. */
export function checkTable<S extends z.ZodType> (schema: S, file: string, table: Record<string, unknown>): Result<z.infer<S>, SettingsFailure> {
  const parsed = schema.safeParse(table)
  if (parsed.success) return Ok(parsed.data)
  return Err({ kind: 'invalid-settings', file, issues: parsed.error.issues.flatMap((issue) => listIssues(issue, table)) })
}

/** Renders a failure for the terminal; invalid settings give one line per key with file, key, value and allowed values. */
export function describeSettingsFailure (failure: SettingsFailure): string {
  const describe: { [K in SettingsFailure['kind']]: (f: Extract<SettingsFailure, { kind: K }>) => string } = {
    'unreadable-file': (f) => `${f.file}: cannot be read: ${f.message}`,
    'malformed-toml': (f) => `${f.file}:${f.line}:${f.column}: not valid TOML: ${f.message}`,
    'invalid-settings': (f) => f.issues.map((issue) => `${f.file}: ${issue.key} = ${issue.value}: ${issue.allowed}`).join('\n')
  }
  return (describe[failure.kind] as (f: SettingsFailure) => string)(failure)
}

/** The settings of one entry host: the settings file that all hosts share, with the host's own entry and data folder. */
export interface HostSettings extends Settings {
  self: Host
  /** Absent on a host without a disk. */
  dataFolder: string | undefined
}

/** Selects the host that a daemon runs as: `id` from the command line, or else `host.id` of the settings. */
export function chooseHost (file: string, settings: Settings, id: string | undefined): Result<HostSettings, SettingsFailure> {
  const chosen = id ?? settings.host.id
  const entry = settings.hosts.find((host) => host.id === chosen)
  const known = settings.hosts.map((host) => host.id).join(', ')
  if (entry === undefined) return createInvalidSettings(file, 'host.id', chosen ?? '(missing)', `one of the hosts, here or with --host: ${known}`)
  if (entry.has_disk && settings.host.data_folder === undefined) {
    return createInvalidSettings(file, 'host.data_folder', '(missing)', `needed, because host ${entry.id} has has_disk = true`)
  }
  const dataFolder = entry.has_disk ? settings.host.data_folder?.replaceAll('{host}', entry.id) : undefined
  return Ok({ ...settings, self: createHost(entry), dataFolder })
}

export function createHost (entry: HostEntry): Host {
  return {
    id: entry.id,
    availabilityZone: entry.availability_zone,
    region: entry.region,
    peerAddress: entry.peer,
    httpAddress: entry.http,
    hasDisk: entry.has_disk
  }
}

export function createMembers (settings: Settings): Member[] {
  return settings.members.map((member) => ({
    id: member.id,
    tokenHash: member.token_hash,
    weight: member.weight,
    quota: { cores: member.quota.cores, memoryBytes: member.quota.memory_gb * BYTES_PER_GB, accelerators: member.quota.accelerators }
  }))
}

export function createPresets (settings: Settings): Record<string, Policy> {
  return Object.fromEntries(Object.entries(settings.presets).map(([name, entry]) => [name, createPolicy(entry)]))
}

function createPolicy (entry: PolicyEntry): Policy {
  return {
    tailLatencyWeight: entry.tail_latency_weight,
    throughputWeight: entry.throughput_weight,
    evictionWeight: entry.eviction_weight,
    safetyMargin: entry.safety_margin,
    batchShare: entry.batch_share,
    explorationRate: entry.exploration_rate,
    evictionsPerMinute: entry.evictions_per_minute,
    queuePerSlot: entry.queue_per_slot
  }
}

function createInvalidSettings (file: string, key: string, value: string, allowed: string): Result<never, SettingsFailure> {
  return Err({ kind: 'invalid-settings', file, issues: [{ key, value, allowed }] })
}

export function parseToml (file: string, text: string): Result<Record<string, unknown>, SettingsFailure> {
  try {
    return Ok(parse(text))
  } catch (error) {
    if (error instanceof TomlError) {
      const message = error.message.split('\n')[0] ?? 'syntax error'
      return Err({ kind: 'malformed-toml', file, line: error.line, column: error.column, message })
    }
    throw error
  }
}

function listIssues (issue: z.core.$ZodIssue, table: Record<string, unknown>): SettingsIssue[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => {
      const path = [...issue.path, key]
      return { key: path.join('.'), value: formatValue(path, table), allowed: 'this key is not known' }
    })
  }
  return [{ key: issue.path.join('.'), value: formatValue(issue.path, table), allowed: issue.message }]
}

function formatValue (path: readonly PropertyKey[], table: Record<string, unknown>): string {
  // Tokens and secrets must not be printed to a terminal or a log.
  if (path.some((key) => /secret|token/.test(String(key)))) return '(hidden)'
  const value = path.reduce<unknown>((at, key) => (at as Record<PropertyKey, unknown> | undefined)?.[key], table)
  if (value === undefined) return '(missing)'
  const text = JSON.stringify(value)
  return text.length > 80 ? `${text.slice(0, 77)}...` : text
}
