import { z } from 'zod'
import type { JournalStore } from '../../state/index.js'
import { compareTerms } from '../authority/terms.js'
import { coordinatorTermSchema, type CoordinatorTerm } from './exchange.js'
import { applyRecord, createJournalState, journalRecordSchema, listSnapshot, type JournalRecord, type JournalState } from './journal.js'

export const appendRequestSchema = z.strictObject({
  term: coordinatorTermSchema,
  /** Number of the first record. */
  sequence: z.number().int(),
  records: z.array(journalRecordSchema),
  /** True: the records replace the whole journal, and `sequence` is the number of the next record after them. */
  snapshot: z.boolean()
})
export type AppendRequest = z.infer<typeof appendRequestSchema>

export const appendReplySchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('recorded'), next: z.number().int(), synced: z.boolean() }),
  z.strictObject({ kind: z.literal('higher-term'), promised: coordinatorTermSchema }),
  z.strictObject({ kind: z.literal('snapshot-needed') }),
  z.strictObject({ kind: z.literal('store-failed'), message: z.string() })
])
export type AppendReply = z.infer<typeof appendReplySchema>

export const readReplySchema = z.strictObject({
  /** The highest term that the replica has seen; it accepts no records of a lower one. */
  promised: coordinatorTermSchema,
  /** Term of the coordinator that wrote the stored journal; absent if the replica is empty, as after a restart without a disk. */
  journalTerm: coordinatorTermSchema.optional(),
  /** Number of the record that follows the stored ones. */
  next: z.number().int(),
  records: z.array(journalRecordSchema)
})
export type ReadReply = z.infer<typeof readReplySchema>

/** One host's replica of the zone's journal. */
export interface JournalReplica {
  append (request: AppendRequest): Promise<AppendReply>
  /** Returns the journal, and rejects appends of terms lower than `term` from now on, also after a restart with a disk. */
  read (term: CoordinatorTerm): Promise<ReadReply>
  /** The highest term that this replica has seen. */
  getPromised (): CoordinatorTerm
}

const NO_TERM: CoordinatorTerm = { epoch: 0, round: 0, host: '' }
/** The store is compacted when the lines appended since its last rewrite exceed the number of entries by this many. */
const COMPACTION_LINES = 20_000

export async function createJournalReplica (store: JournalStore): Promise<JournalReplica> {
  const loaded = loadLines(await store.load())
  let { promised, journalTerm, next, state } = loaded
  let lines = 0
  let queue: Promise<unknown> = Promise.resolve()

  const appendNow = async (request: AppendRequest): Promise<AppendReply> => {
    if (compareTerms(request.term, promised) < 0) return { kind: 'higher-term', promised }
    promised = request.term
    const isCurrent = journalTerm !== undefined && compareTerms(journalTerm, request.term) === 0
    if (request.snapshot) {
      // A delayed snapshot must not remove records that were appended after it was taken.
      if (isCurrent && request.sequence <= next) return { kind: 'recorded', next, synced: store.synced }
      return await replaceAll(request)
    }
    if (!isCurrent || request.sequence > next) return { kind: 'snapshot-needed' }
    const added = request.records.slice(next - request.sequence)
    if (added.length === 0) return { kind: 'recorded', next, synced: store.synced }
    const written = await store.append(added.map((record) => JSON.stringify(record)))
    if (written.err) return { kind: 'store-failed', message: written.val.message }
    added.forEach((record) => applyRecord(state, record))
    next += added.length
    lines += added.length
    if (lines > COMPACTION_LINES + state.entries.size) await compact()
    return { kind: 'recorded', next, synced: store.synced }
  }

  const replaceAll = async (request: AppendRequest): Promise<AppendReply> => {
    const written = await store.replace(encodeLines(request.term, request.sequence, request.records))
    if (written.err) return { kind: 'store-failed', message: written.val.message }
    state = createJournalState()
    request.records.forEach((record) => applyRecord(state, record))
    journalTerm = request.term
    next = request.sequence
    lines = 0
    return { kind: 'recorded', next, synced: store.synced }
  }

  const compact = async (): Promise<void> => {
    if (journalTerm === undefined) return
    await store.replace([...encodeLines(journalTerm, next, listSnapshot(state)), encodePromise(promised)])
    lines = 0
  }

  const readNow = async (term: CoordinatorTerm): Promise<ReadReply> => {
    if (compareTerms(term, promised) > 0) {
      // After a restart this host would otherwise accept records of an earlier coordinator that the reader does not see.
      const saved = await store.append([encodePromise(term)])
      if (saved.err) throw new Error(saved.val.message)
      promised = term
    }
    return { promised, journalTerm, next, records: listSnapshot(state) }
  }

  // Runs requests one after the other, since each awaits the store before it changes the state.
  const runSerially = <T>(run: () => Promise<T>): Promise<T> => {
    const result = queue.then(run)
    queue = result.catch(() => undefined)
    return result
  }

  return {
    append: (request) => runSerially(() => appendNow(request)),
    read: (term) => runSerially(() => readNow(term)),
    getPromised: () => promised
  }
}

interface LoadedJournal { promised: CoordinatorTerm, journalTerm?: CoordinatorTerm, next: number, state: JournalState }

function encodeLines (term: CoordinatorTerm, next: number, records: JournalRecord[]): string[] {
  return [JSON.stringify({ term, next, records: records.length }), ...records.map((record) => JSON.stringify(record))]
}

/** A line that only raises the term below which appends are rejected. */
function encodePromise (promised: CoordinatorTerm): string {
  return JSON.stringify({ promised })
}

function loadLines (lines: string[]): LoadedJournal {
  const state = createJournalState()
  const values = lines.map((line): unknown => JSON.parse(line))
  const promises = values.flatMap((value) => promiseSchema.safeParse(value).data?.promised ?? [])
  const [first, ...rest] = values.filter((value) => !promiseSchema.safeParse(value).success)
  if (first === undefined) return { promised: findHighest(promises), next: 0, state }
  const header = headerSchema.parse(first)
  rest.forEach((value) => applyRecord(state, journalRecordSchema.parse(value)))
  return { promised: findHighest([header.term, ...promises]), journalTerm: header.term, next: header.next + rest.length - header.records, state }
}

function findHighest (terms: CoordinatorTerm[]): CoordinatorTerm {
  return terms.reduce((highest, term) => compareTerms(term, highest) > 0 ? term : highest, NO_TERM)
}

const promiseSchema = z.strictObject({ promised: coordinatorTermSchema })
const headerSchema = z.strictObject({ term: coordinatorTermSchema, next: z.number().int(), records: z.number().int() })
