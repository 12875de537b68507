import { createHash } from 'node:crypto'
import { mkdir, open, readFile, rename, rm } from 'node:fs/promises'
import { dirname } from 'node:path'
import { Err, Ok, type Result } from '../common/index.js'

const CHECKSUM_LENGTH = 8

export type JournalStoreFailure = { kind: 'journal-not-written', message: string }

/** Storage of one host's task journal, as lines of text that the caller encodes and decodes. */
export interface JournalStore {
  /** True if an appended line survives a restart of the host. */
  readonly synced: boolean
  load (): Promise<string[]>
  append (lines: string[]): Promise<Result<void, JournalStoreFailure>>
  /** Replaces the whole journal, as after a snapshot. */
  replace (lines: string[]): Promise<Result<void, JournalStoreFailure>>
}

/** Store for a host without a disk. */
export function createMemoryJournalStore (): JournalStore {
  // Lines are discarded, because the host's member of the journal group keeps the journal in memory, and after a restart
  // nothing could be read back.
  return {
    synced: false,
    load: async () => [],
    append: async () => Ok(undefined),
    replace: async () => Ok(undefined)
  }
}

export interface FileJournalStore extends JournalStore { close (): Promise<void> }

/**
 * Stores the lines in one file and syncs after each append. Each line starts with a checksum. On load, damaged lines at the
 * end of the file are dropped, because they were never acknowledged. If an intact line follows a damaged one, the
 * whole journal is dropped, because the damaged line may have been acknowledged.
 */
export async function openFileJournalStore (path: string): Promise<FileJournalStore> {
  await mkdir(dirname(path), { recursive: true })
  await rm(`${path}.new`, { force: true })
  const kept = parseLines(await readFile(path).catch(() => Buffer.alloc(0)))
  let file = await open(path, 'a')
  await file.truncate(kept.bytes)
  await file.sync()

  const attempt = async (write: () => Promise<void>): Promise<Result<void, JournalStoreFailure>> => {
    try {
      await write()
      return Ok(undefined)
    } catch (cause) {
      return Err({ kind: 'journal-not-written', message: cause instanceof Error ? cause.message : String(cause) })
    }
  }

  return {
    synced: true,
    load: async () => kept.lines,
    append: (lines) => attempt(async () => {
      await file.appendFile(encodeLines(lines))
      await file.datasync()
    }),
    replace: (lines) => attempt(async () => {
      const next = await open(`${path}.new`, 'w')
      await next.writeFile(encodeLines(lines))
      await next.sync()
      await next.close()
      await rename(`${path}.new`, path)
      await syncFolder(dirname(path))
      await file.close()
      file = await open(path, 'a')
    }),
    close: () => file.close()
  }
}

async function syncFolder (path: string): Promise<void> {
  const folder = await open(path, 'r')
  await folder.sync()
  await folder.close()
}

function encodeLines (lines: string[]): string {
  return lines.map((line) => `${computeChecksum(line)} ${line}\n`).join('')
}

function parseLines (content: Buffer): { lines: string[], bytes: number } {
  const lines: string[] = []
  let bytes = 0
  const all = content.toString('utf8').split('\n')
  const firstDamaged = all.findIndex((line) => !isIntact(line))
  if (all.slice(firstDamaged).some(isIntact)) return { lines, bytes }
  for (const line of all.slice(0, firstDamaged)) {
    lines.push(line.slice(CHECKSUM_LENGTH + 1))
    bytes += Buffer.byteLength(line) + 1
  }
  return { lines, bytes }
}

function isIntact (line: string): boolean {
  return line.length > CHECKSUM_LENGTH && line.slice(0, CHECKSUM_LENGTH) === computeChecksum(line.slice(CHECKSUM_LENGTH + 1))
}

function computeChecksum (line: string): string {
  return createHash('sha256').update(line).digest('hex').slice(0, CHECKSUM_LENGTH)
}
