import type { Result } from '../../common/index.js'

/** After `sync-failed` the content of the file on the medium is not known. */
export interface DiskFailure {
  kind: 'disk-full' | 'sync-failed' | 'disk-error'
  file: string
  message: string
}

/** Files of one data folder. Names are relative to the folder. */
export interface Disk {
  list (): Promise<Result<string[], DiskFailure>>
  /** Resolves with nothing when the file does not exist. */
  read (file: string): Promise<Result<Uint8Array | undefined, DiskFailure>>
  /** The bytes are durable only after `sync`. */
  append (file: string, bytes: Uint8Array): Promise<Result<void, DiskFailure>>
  sync (file: string): Promise<Result<void, DiskFailure>>
  /** Replaces the whole file. Once resolved it is durable; after a crash it is either the old or the new one. */
  writeAtomic (file: string, bytes: Uint8Array): Promise<Result<void, DiskFailure>>
  truncate (file: string, length: number): Promise<Result<void, DiskFailure>>
  remove (file: string): Promise<Result<void, DiskFailure>>
  close (): Promise<void>
}
