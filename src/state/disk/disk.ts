import type { Result } from '../../common/index.js'

/** After `sync-failed` it is unknown which data of the file is on the disk. */
export interface DiskFailure {
  kind: 'disk-full' | 'sync-failed' | 'disk-error'
  file: string
  message: string
}

/** Access to the files of one data folder. File names are relative to it. */
export interface Disk {
  list (): Promise<Result<string[], DiskFailure>>
  /** Resolves with undefined if the file does not exist. */
  read (file: string): Promise<Result<Uint8Array | undefined, DiskFailure>>
  /** Appended bytes are durable only after `sync`. */
  append (file: string, bytes: Uint8Array): Promise<Result<void, DiskFailure>>
  sync (file: string): Promise<Result<void, DiskFailure>>
  /**
   * Replaces the whole file. The new content is durable once this resolves; after an earlier crash the file has either its
   * old or its new content.
   */
  writeAtomic (file: string, bytes: Uint8Array): Promise<Result<void, DiskFailure>>
  truncate (file: string, length: number): Promise<Result<void, DiskFailure>>
  remove (file: string): Promise<Result<void, DiskFailure>>
  close (): Promise<void>
}
