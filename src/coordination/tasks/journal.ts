import type { Resources, TaskOutcome } from '../../state/schemas.js'
import { taskOutcomeSchema } from '../../state/schemas.js'
import { z } from 'zod'
import { fencingTokenSchema, type FencingToken } from './exchange.js'

const attempt = { task: z.string(), attempt: z.number().int().nonnegative() }
const sizeSchema = z.strictObject({ cores: z.number(), memoryBytes: z.number(), accelerators: z.number() })

/**
 * A change of a task in a zone that the replicated state does not contain. Queued and cancelled tasks are derived
 * from the replicated state, so they need no records.
 */
export const journalRecordSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('start'),
    ...attempt,
    token: fencingTokenSchema,
    worker: z.string(),
    /** The worker process that the start is for; a later process of the worker ignores the command. */
    incarnation: z.string(),
    size: sizeSchema,
    /** The task is non-idempotent: it is not started again if its end is unknown. Stored here for a host whose replicated state is behind. */
    once: z.boolean()
  }),
  z.strictObject({ kind: z.literal('checkpoint'), ...attempt, checkpoint: z.string() }),
  z.strictObject({ kind: z.literal('stop'), ...attempt, purpose: z.enum(['evict', 'cancel']) }),
  /** The attempt ended without an outcome of the task, so the task is queued again. */
  z.strictObject({ kind: z.literal('ended'), ...attempt, result: z.enum(['stopped', 'failed', 'refused', 'lost']), checkpoint: z.string().optional() }),
  z.strictObject({ kind: z.literal('outcome'), ...attempt, outcome: taskOutcomeSchema }),
  /** The replicated state contains the outcome as of `index`, or no longer needs it, so the journal drops the entry. */
  z.strictObject({ kind: z.literal('settled'), task: z.string(), index: z.number().int() }),
  z.strictObject({ kind: z.literal('drain'), worker: z.string(), active: z.boolean() }),
  /** Sets whether records of an earlier coordinator may be missing. */
  z.strictObject({ kind: z.literal('incomplete'), active: z.boolean() }),
  /** A complete entry in a snapshot. */
  z.strictObject({
    kind: z.literal('entry'),
    ...attempt,
    state: z.enum(['idle', 'started', 'stopping', 'final']),
    token: fencingTokenSchema.optional(),
    worker: z.string().optional(),
    incarnation: z.string().optional(),
    size: sizeSchema.optional(),
    once: z.boolean(),
    checkpoint: z.string().optional(),
    purpose: z.enum(['evict', 'cancel']).optional(),
    failures: z.number().int(),
    outcome: taskOutcomeSchema.optional()
  })
])
export type JournalRecord = z.infer<typeof journalRecordSchema>

/** State of one task that has been started at least once, or has ended. */
export interface JournalEntry {
  task: string
  /** Number of the last attempt; 0 before the first. */
  attempt: number
  state: 'idle' | 'started' | 'stopping' | 'final'
  token?: FencingToken
  worker?: string
  incarnation?: string
  size?: Resources
  once: boolean
  checkpoint?: string
  purpose?: 'evict' | 'cancel'
  failures: number
  outcome?: TaskOutcome
}

export interface JournalState {
  entries: Map<string, JournalEntry>
  /** Workers that an operator drains. */
  draining: Set<string>
  /**
   * Outcomes that the replicated log contains up to this index have no entry any more. A host whose log is behind the index
   * must therefore not start a task without an entry.
   */
  settledIndex: number
  /** An earlier coordinator may have started tasks that have no entry here. */
  incomplete: boolean
}

type RecordOf<K extends JournalRecord['kind']> = Extract<JournalRecord, { kind: K }>
type Handlers = { [K in JournalRecord['kind']]: (state: JournalState, record: RecordOf<K>) => void }

export function createJournalState (): JournalState {
  return { entries: new Map(), draining: new Set(), settledIndex: 0, incomplete: false }
}

/** Applies a record in place. Ignores records of attempts before the last one and changes after a final outcome. */
export function applyRecord (state: JournalState, record: JournalRecord): void {
  const handler = handlers[record.kind] as (state: JournalState, record: JournalRecord) => void
  handler(state, record)
}

/** Records that recreate the state when they are applied to an empty one. */
export function listSnapshot (state: JournalState): JournalRecord[] {
  return [
    ...[...state.entries.values()].map((entry): JournalRecord => ({ kind: 'entry', ...entry, size: entry.size && { ...entry.size } })),
    ...[...state.draining].map((worker): JournalRecord => ({ kind: 'drain', worker, active: true })),
    { kind: 'settled', task: '', index: state.settledIndex },
    { kind: 'incomplete', active: state.incomplete }
  ]
}

const handlers: Handlers = {
  start: (state, { kind, ...fields }) => {
    const known = state.entries.get(fields.task)
    if (known !== undefined && (known.state === 'final' || known.attempt >= fields.attempt)) return
    state.entries.set(fields.task, { ...fields, state: 'started', checkpoint: known?.checkpoint, failures: known?.failures ?? 0 })
  },

  checkpoint: (state, { task, attempt, checkpoint }) => {
    const entry = findActiveAttempt(state, task, attempt)
    if (entry !== undefined) entry.checkpoint = checkpoint
  },

  stop: (state, { task, attempt, purpose }) => {
    const entry = findActiveAttempt(state, task, attempt)
    if (entry === undefined) return
    entry.state = 'stopping'
    entry.purpose = entry.purpose === 'cancel' ? 'cancel' : purpose
  },

  ended: (state, { task, attempt, result, checkpoint }) => {
    const entry = findActiveAttempt(state, task, attempt)
    if (entry === undefined) return
    entry.state = 'idle'
    entry.purpose = undefined
    entry.worker = undefined
    entry.checkpoint = checkpoint ?? entry.checkpoint
    if (result === 'failed') entry.failures += 1
  },

  outcome: (state, { task, attempt, outcome }) => {
    const known = state.entries.get(task)
    if (known !== undefined && (known.state === 'final' || known.attempt > attempt)) return
    state.entries.set(task, { task, attempt, state: 'final', once: known?.once ?? false, failures: known?.failures ?? 0, outcome })
  },

  settled: (state, { task, index }) => {
    state.entries.delete(task)
    state.settledIndex = Math.max(state.settledIndex, index)
  },

  drain: (state, { worker, active }) => {
    if (active) state.draining.add(worker)
    else state.draining.delete(worker)
  },

  incomplete: (state, { active }) => { state.incomplete = active },

  entry: (state, { kind, ...entry }) => {
    state.entries.set(entry.task, entry)
  }
}

/** The entry, if this attempt is its last one and has not ended. */
function findActiveAttempt (state: JournalState, task: string, attempt: number): JournalEntry | undefined {
  const entry = state.entries.get(task)
  const active = entry !== undefined && entry.attempt === attempt && (entry.state === 'started' || entry.state === 'stopping')
  return active ? entry : undefined
}
