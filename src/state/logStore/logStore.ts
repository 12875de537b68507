import { Packr } from 'msgpackr'
import { Err, Ok, type Clock, type Result } from '../../common/index.js'
import type { Disk, DiskFailure } from '../disk/index.js'
import { encodeLarge } from './encoding.js'
import { decodeFrames, encodeFrame, SYNC_MARKER } from './frames.js'

const IDENTITY_FILE = 'identity'
const HARD_STATE_FILE = 'hard-state'
const SNAPSHOT_FILE = 'snapshot'
const LOG_PREFIX = 'log-'
/** Interval at which a write that a full disk has refused is tried again, ms. */
const FULL_DISK_RETRY_MS = 200
const packr = new Packr({ useRecords: false })

export interface StoredEntry { index: number, term: number, bytes: Uint8Array }
export interface StoredSnapshot { index: number, term: number, bytes: Uint8Array }
export interface HardState { term: number, vote: string | undefined }

export type StoreFailure =
  | DiskFailure
  | { kind: 'corrupt-record', file: string, message: string }
  | { kind: 'foreign-folder', message: string }

interface Identity { deployment: string, host: string, incarnation: string, formation: number | undefined }

export interface OpenStoreOptions {
  disk: Disk
  deployment: string
  host: string
  /** Creates the id of a new incarnation; must never return the same id twice. */
  createIncarnation: () => string
  /** If the store is corrupt, erases it and starts a new incarnation, which replicates the log from the leader. */
  repair?: boolean
  clock: Clock
  /** Called with true when the disk is full and writes begin to wait for space, with false when they go on. */
  onFullDisk?: (isFull: boolean) => void
}

export interface LoadedLog {
  hardState: HardState
  snapshot: StoredSnapshot | undefined
  entries: StoredEntry[]
  /** True if the store was new: its folder had no identity file. */
  created: boolean
  /** True if the store was corrupt and has been erased. */
  repaired: boolean
}

/**
 * Storage of one replica: identity, term and vote, log and snapshot. Operations run one after the other, except where noted.
 * While the disk is full they wait for space. After the first other failure every later operation returns the same failure and
 * writes nothing.
 */
export interface LogStore {
  readonly incarnation: string
  /** Random id of the deployment's bootstrap; undefined until this host belongs to a deployment. */
  readonly formation: number | undefined
  setFormation (formation: number): Promise<Result<void, StoreFailure>>
  saveHardState (hardState: HardState): Promise<Result<void, StoreFailure>>
  /** Replaces the log from the first entry's index on. The entries are durable once this resolves. */
  append (entries: StoredEntry[]): Promise<Result<void, StoreFailure>>
  /** Replaces the snapshot, then the whole log by `entries`, which follow the snapshot. */
  saveSnapshot (snapshot: StoredSnapshot, entries: StoredEntry[]): Promise<Result<void, StoreFailure>>
  /**
   * Replaces the snapshot concurrently with appends, then removes the entries that it covers from the log. The log must
   * contain all entries that the snapshot covers. `listFollowing` is called after the snapshot is written and returns the
   * entries after it, or undefined if the log was replaced meanwhile; the log is then left unchanged.
   */
  saveCoveredSnapshot (snapshot: StoredSnapshot, listFollowing: () => StoredEntry[] | undefined): Promise<Result<void, StoreFailure>>
  readSnapshot (): Promise<Result<StoredSnapshot | undefined, StoreFailure>>
  /** Makes operations that wait for space fail, so that the store can be closed. */
  abandonWaits (): void
  close (): Promise<void>
}

export function describeStoreFailure (failure: StoreFailure): string {
  return 'file' in failure
    ? `${failure.kind} in ${failure.file}: ${failure.message}`
    : `${failure.kind}: ${failure.message}`
}

export async function openLogStore (options: OpenStoreOptions): Promise<Result<{ store: LogStore, loaded: LoadedLog }, StoreFailure>> {
  const fullDisk = createFullDiskWait(options)
  const opened = await fullDisk.retry(() => loadStore(options, fullDisk))
  if (opened.ok || opened.val.kind !== 'corrupt-record' || options.repair !== true) return opened
  const erased = await removeAllFiles(options.disk)
  if (erased.err) return erased
  const again = await fullDisk.retry(() => loadStore(options, fullDisk))
  return again.ok ? Ok({ store: again.val.store, loaded: { ...again.val.loaded, repaired: true } }) : again
}

async function loadStore (options: OpenStoreOptions, fullDisk: FullDiskWait): Promise<Result<{ store: LogStore, loaded: LoadedLog }, StoreFailure>> {
  const { disk } = options
  const files = await disk.list()
  if (files.err) return files
  const identity = await loadIdentity(options, files.val)
  if (identity.err) return identity
  const hardState = await readRecord<HardState>(disk, HARD_STATE_FILE)
  if (hardState.err) return hardState
  const snapshot = await readRecord<StoredSnapshot>(disk, SNAPSHOT_FILE)
  if (snapshot.err) return snapshot
  const generations = files.val
    .filter((file) => file.startsWith(LOG_PREFIX))
    .map((file) => Number(file.slice(LOG_PREFIX.length)))
    .sort((a, b) => a - b)
  const generation = generations.at(-1) ?? 0
  const entries = await loadEntries(disk, generation, snapshot.val)
  if (entries.err) return entries
  // The log file is written first, then the term, then the first entry; a store that lacks an earlier one is corrupt.
  const isIncomplete = hardState.val === undefined
    ? snapshot.val !== undefined || entries.val.length > 0
    : generations.length === 0
  if (isIncomplete) return Err({ kind: 'corrupt-record', file: HARD_STATE_FILE, message: 'a file of the store is missing' })
  // The entries are written to a new file, because after kill -9 or a failed sync they may have been read from the page cache
  // without being on the disk. This also drops a torn record at the end.
  // Without a formation id, the entries come from an interrupted bootstrap; no other host has them, so they are discarded.
  const kept = identity.val.identity.formation === undefined ? [] : entries.val
  const rewritten = await writeLog(disk, generation + 1, kept)
  if (rewritten.err) return rewritten
  const removed = await removeFiles(disk, generations.map(getLogFile))
  if (removed.err) return removed
  const store = createLogStore(disk, identity.val.identity, { generation: generation + 1, bytes: rewritten.val }, fullDisk)
  return Ok({
    store,
    loaded: {
      hardState: hardState.val ?? { term: 0, vote: undefined },
      snapshot: snapshot.val,
      entries: kept,
      created: identity.val.created,
      repaired: false
    }
  })
}

/** Repeats writes that a full disk refuses. */
interface FullDiskWait {
  /** Repeats `action` until it does not fail for lack of space; the action must have the same effect when it is run again. */
  retry<T> (action: () => Promise<Result<T, StoreFailure>>): Promise<Result<T, StoreFailure>>
  abandon (): void
}

function createFullDiskWait ({ clock, onFullDisk }: OpenStoreOptions): FullDiskWait {
  let waiting = 0
  const abandoned = new AbortController()
  return {
    retry: async (action) => {
      let result = await action()
      if (result.ok || result.val.kind !== 'disk-full') return result
      waiting += 1
      if (waiting === 1) onFullDisk?.(true)
      while (result.err && result.val.kind === 'disk-full' && !abandoned.signal.aborted) {
        await clock.sleep(FULL_DISK_RETRY_MS, abandoned.signal)
        result = await action()
      }
      waiting -= 1
      if (waiting === 0 && result.ok) onFullDisk?.(false)
      return result
    },
    abandon: () => abandoned.abort()
  }
}

function createLogStore (disk: Disk, identity: Identity, log: { generation: number, bytes: number }, fullDisk: FullDiskWait): LogStore {
  let { generation } = log
  /** Length of the log file up to the end of the last append that was completed. */
  let logBytes = log.bytes
  let failure: StoreFailure | undefined
  let lastOperation: Promise<unknown> = Promise.resolve()
  let lastSnapshot: Promise<unknown> = Promise.resolve()
  let lastCoveredSnapshot: Promise<unknown> = Promise.resolve()

  const runUnlessFailed = async <T>(action: () => Promise<Result<T, StoreFailure>>): Promise<Result<T, StoreFailure>> => {
    if (failure !== undefined) return Err(failure)
    const result = await fullDisk.retry(action)
    if (result.err) failure ??= result.val
    return result
  }

  const runInOrder = <T>(action: () => Promise<Result<T, StoreFailure>>): Promise<Result<T, StoreFailure>> => {
    const next = lastOperation.then(() => runUnlessFailed(action))
    lastOperation = next
    return next
  }

  /** Snapshots are written in a queue of their own, because writing a large one takes many times as long as an append. */
  const writeSnapshot = (snapshot: StoredSnapshot): Promise<Result<void, StoreFailure>> => {
    const next = lastSnapshot.then(() => runUnlessFailed(() => writeRecord(disk, SNAPSHOT_FILE, snapshot)))
    lastSnapshot = next
    return next
  }

  const replaceLog = async (entries: StoredEntry[]): Promise<Result<void, StoreFailure>> => {
    const written = await writeLog(disk, generation + 1, entries)
    if (written.err) return written
    generation += 1
    logBytes = written.val
    return removeFiles(disk, [getLogFile(generation - 1)])
  }

  return {
    incarnation: identity.incarnation,
    get formation () { return identity.formation },

    setFormation: (formation) => runInOrder(async () => {
      const written = await writeRecord(disk, IDENTITY_FILE, { ...identity, formation })
      if (written.ok) identity.formation = formation
      return written
    }),

    saveHardState: (hardState) => runInOrder(() => writeRecord(disk, HARD_STATE_FILE, hardState)),

    append: (entries) => {
      const frame = encodeEntries(entries)
      let isRepeated = false
      return runInOrder(async () => {
        const file = getLogFile(generation)
        // A full disk may have taken a part of the record, which must not stand before an intact one.
        const truncated = isRepeated ? await disk.truncate(file, logBytes) : Ok(undefined)
        isRepeated = true
        if (truncated.err) return truncated
        const appended = await appendSynced(disk, file, frame)
        if (appended.ok) logBytes += frame.length + SYNC_MARKER.length
        return appended
      })
    },

    saveSnapshot: (snapshot, entries) => runInOrder(async () => {
      const saved = await writeSnapshot(snapshot)
      return saved.err ? saved : replaceLog(entries)
    }),

    saveCoveredSnapshot: (snapshot, listFollowing) => {
      const saving = writeSnapshot(snapshot).then((saved) => saved.err
        ? saved
        : runInOrder(async () => {
          const following = listFollowing()
          return following === undefined ? Ok(undefined) : replaceLog(following)
        }))
      lastCoveredSnapshot = saving
      return saving
    },

    readSnapshot: () => runInOrder(() => readRecord<StoredSnapshot>(disk, SNAPSHOT_FILE)),

    abandonWaits: fullDisk.abandon,

    close: async () => {
      await lastCoveredSnapshot
      await lastOperation
      await disk.close()
    }
  }
}

async function loadIdentity (options: OpenStoreOptions, files: string[]): Promise<Result<{ identity: Identity, created: boolean }, StoreFailure>> {
  const { disk, deployment, host } = options
  const found = await readRecord<Identity>(disk, IDENTITY_FILE)
  if (found.err) return found
  if (found.val !== undefined) {
    if (found.val.deployment === deployment && found.val.host === host) return Ok({ identity: found.val, created: false })
    const message = `the data folder belongs to host ${found.val.host} of deployment ${found.val.deployment}, not to host ${host} of deployment ${deployment}`
    return Err({ kind: 'foreign-folder', message })
  }
  // The identity file is written before all others, so if only others exist, it was lost.
  const others = files.filter((file) => file === HARD_STATE_FILE || file === SNAPSHOT_FILE || file.startsWith(LOG_PREFIX))
  if (others.length > 0) return Err({ kind: 'corrupt-record', file: IDENTITY_FILE, message: 'the file is missing' })
  const identity: Identity = { deployment, host, incarnation: options.createIncarnation(), formation: undefined }
  const written = await writeRecord(disk, IDENTITY_FILE, identity)
  return written.err ? written : Ok({ identity, created: true })
}

async function loadEntries (disk: Disk, generation: number, snapshot: StoredSnapshot | undefined): Promise<Result<StoredEntry[], StoreFailure>> {
  const file = getLogFile(generation)
  const bytes = await disk.read(file)
  if (bytes.err) return bytes
  const { payloads, validLength, damage } = decodeFrames(bytes.val ?? new Uint8Array())
  // The first record is written atomically together with the file, so a crash cannot have torn it.
  if (damage === 'corrupt' || (damage === 'torn' && validLength === 0)) return Err({ kind: 'corrupt-record', file, message: `the record at byte ${validLength} is damaged` })
  const entries: StoredEntry[] = []
  payloads
    .flatMap((payload) => packr.unpack(payload) as Array<[number, number, Uint8Array]>)
    .forEach(([index, term, content]) => {
      // An entry replaces the earlier entry with the same index and all entries after that.
      const first = entries[0]?.index ?? index
      entries.length = Math.min(entries.length, Math.max(0, index - first))
      // Copies the bytes: they are a view that would keep the whole file in memory.
      entries.push({ index, term, bytes: new Uint8Array(content) })
    })
  return checkContinuity(file, entries, snapshot)
}

function checkContinuity (file: string, entries: StoredEntry[], snapshot: StoredSnapshot | undefined): Result<StoredEntry[], StoreFailure> {
  const base = snapshot?.index ?? 0
  // After a crash between writing a snapshot from the leader and the log that belongs to it, the old log may conflict with the
  // snapshot; its entries are then discarded.
  const atBase = entries.find((entry) => entry.index === base)
  if (snapshot !== undefined && atBase !== undefined && atBase.term !== snapshot.term) return Ok([])
  const following = entries.filter((entry) => entry.index > base)
  const isContinuous = following.every((entry, position) => entry.index === base + 1 + position)
  return isContinuous
    ? Ok(following)
    : Err({ kind: 'corrupt-record', file, message: `entries are missing after index ${base}` })
}

/** Writes a new log file; returns its length. */
async function writeLog (disk: Disk, generation: number, entries: StoredEntry[]): Promise<Result<number, StoreFailure>> {
  const bytes = Buffer.concat([encodeEntries(entries), SYNC_MARKER])
  const written = await disk.writeAtomic(getLogFile(generation), bytes)
  return written.err ? written : Ok(bytes.length)
}

async function appendSynced (disk: Disk, file: string, frame: Uint8Array): Promise<Result<void, StoreFailure>> {
  const appended = await disk.append(file, frame)
  if (appended.err) return appended
  const synced = await disk.sync(file)
  return synced.err ? synced : disk.append(file, SYNC_MARKER)
}

/**
 * Encodes a batch as one record. Each batch is synced before the next one is written, so only the last record of a file can
 * be torn.
 */
function encodeEntries (entries: StoredEntry[]): Uint8Array {
  return encodeFrame(packr.pack(entries.map((entry) => [entry.index, entry.term, entry.bytes])))
}

async function readRecord<T> (disk: Disk, file: string): Promise<Result<T | undefined, StoreFailure>> {
  const bytes = await disk.read(file)
  if (bytes.err) return bytes
  if (bytes.val === undefined) return Ok(undefined)
  const { payloads, damage } = decodeFrames(bytes.val)
  const payload = payloads[0]
  if (damage !== 'none' || payload === undefined) return Err({ kind: 'corrupt-record', file, message: 'the checksum does not match' })
  return Ok(packr.unpack(payload) as T)
}

function writeRecord (disk: Disk, file: string, value: unknown): Promise<Result<void, StoreFailure>> {
  return disk.writeAtomic(file, encodeFrame(encodeLarge(value)))
}

async function removeAllFiles (disk: Disk): Promise<Result<void, StoreFailure>> {
  const files = await disk.list()
  return files.err ? files : removeFiles(disk, files.val)
}

async function removeFiles (disk: Disk, files: string[]): Promise<Result<void, StoreFailure>> {
  const results = await Promise.all(files.map((file) => disk.remove(file)))
  return results.find((result) => result.err) ?? Ok(undefined)
}

function getLogFile (generation: number): string {
  return LOG_PREFIX + generation
}
