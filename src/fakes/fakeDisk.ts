import { Err, Ok, type Clock, type Random, type Result } from '../common/index.js'
import type { Disk, DiskFailure } from '../state/index.js'

interface FakeFile {
  /** Content as a process reads it, including unsynced data. */
  bytes: Buffer
  /** Length of the prefix that survives a loss of power. */
  syncedLength: number
  /** Set by a failed sync: the kernel then marks the pages as clean, so that a later sync succeeds without writing them. */
  losesWrites: boolean
}

export interface FakeDiskOptions { clock: Clock, random: Random, operationMs?: number, syncMs?: number }

/** A simulated disk that outlives the processes that open it. */
export interface FakeDisk {
  /** Opens the disk for one process. Operations of earlier processes never complete. */
  open (): Disk
  /** Ends the operations of the process. Its writes stay readable, but are not synced. */
  killProcess (): void
  /** Loss of power: of the unsynced data of each file only a random prefix remains, which may be damaged. */
  crash (): void
  /** Makes the next `count` syncs fail. */
  setSyncFailures (count: number): void
  setCapacity (bytes: number): void
  getUsedBytes (): number
  /** Inverts one byte. A negative offset counts from the end; an offset beyond the end wraps around. */
  damage (file: string, offset: number): void
  erase (): void
  listFiles (): string[]
  getSyncCount (): number
  /** Sets a function that is called before each step of an operation, so that a test can crash the host there. */
  setStepListener (listener: ((step: number) => void) | undefined): void
}

export function createFakeDisk (options: FakeDiskOptions): FakeDisk {
  const { clock, random, operationMs = 0, syncMs = 1 } = options
  const files = new Map<string, FakeFile>()
  let session = 0
  let capacity = Infinity
  let syncFailures = 0
  let syncs = 0
  let steps = 0
  let listener: ((step: number) => void) | undefined

  const countBytes = (): number => [...files.values()].reduce((sum, file) => sum + file.bytes.length, 0)

  const openView = (own: number): Disk => {
    /** A point at which the process may be killed, after which the operation never completes. */
    const step = async (ms: number): Promise<void> => {
      steps += 1
      listener?.(steps)
      if (own === session && ms > 0) await clock.sleep(ms)
      if (own !== session) await new Promise(() => {})
    }

    const checkSpace = (file: string, bytes: number): Result<void, DiskFailure> => countBytes() + bytes > capacity
      ? Err({ kind: 'disk-full', file, message: 'no space is left' })
      : Ok(undefined)

    const takeSyncFailure = (file: string): Result<void, DiskFailure> => {
      syncs += 1
      if (syncFailures === 0) return Ok(undefined)
      syncFailures -= 1
      return Err({ kind: 'sync-failed', file, message: 'the device reported an error' })
    }

    const getFile = (name: string): FakeFile => {
      const file = files.get(name) ?? { bytes: Buffer.alloc(0), syncedLength: 0, losesWrites: false }
      files.set(name, file)
      return file
    }

    return {
      list: async () => {
        await step(operationMs)
        return Ok([...files.keys()].sort())
      },
      read: async (name) => {
        await step(operationMs)
        const file = files.get(name)
        return Ok(file === undefined ? undefined : new Uint8Array(file.bytes))
      },
      append: async (name, bytes) => {
        await step(operationMs)
        const space = checkSpace(name, bytes.length)
        const file = getFile(name)
        // A disk that becomes full during a write has taken the first part of it.
        const taken = space.ok ? bytes : bytes.subarray(0, Math.max(0, capacity - countBytes()))
        file.bytes = Buffer.concat([file.bytes, taken])
        await step(operationMs)
        return space
      },
      sync: async (name) => {
        const length = getFile(name).bytes.length
        await step(syncMs)
        const failure = takeSyncFailure(name)
        const file = getFile(name)
        if (failure.err) file.losesWrites = true
        if (failure.err) return failure
        if (!file.losesWrites) file.syncedLength = length
        await step(operationMs)
        return Ok(undefined)
      },
      writeAtomic: async (name, bytes) => {
        await step(syncMs)
        const space = checkSpace(name, bytes.length)
        if (space.err) return space
        const failure = takeSyncFailure(name)
        if (failure.err) return failure
        files.set(name, { bytes: Buffer.from(bytes), syncedLength: bytes.length, losesWrites: false })
        await step(operationMs)
        return Ok(undefined)
      },
      truncate: async (name, length) => {
        await step(operationMs)
        const file = getFile(name)
        file.bytes = file.bytes.subarray(0, length)
        file.syncedLength = Math.min(file.syncedLength, length)
        return Ok(undefined)
      },
      remove: async (name) => {
        await step(operationMs)
        files.delete(name)
        return Ok(undefined)
      },
      close: async () => {}
    }
  }

  const loseUnsynced = (file: FakeFile): void => {
    const unsynced = file.bytes.length - file.syncedLength
    const kept = random.below(unsynced + 1)
    file.bytes = Buffer.from(file.bytes.subarray(0, file.syncedLength + kept))
    if (kept > 0 && random.next() < 0.5) updateByte(file.bytes, file.syncedLength + random.below(kept))
    file.syncedLength = file.bytes.length
  }

  return {
    open: () => openView(++session),
    killProcess: () => { session += 1 },
    crash: () => {
      session += 1
      files.forEach(loseUnsynced)
    },
    setSyncFailures: (count) => { syncFailures = count },
    getUsedBytes: countBytes,
    setCapacity: (bytes) => { capacity = bytes },
    damage: (name, offset) => {
      const file = files.get(name)
      if (file !== undefined) updateByte(file.bytes, offset < 0 ? file.bytes.length + offset : offset % file.bytes.length)
    },
    erase: () => { files.clear() },
    listFiles: () => [...files.keys()].sort(),
    getSyncCount: () => syncs,
    setStepListener: (next) => { listener = next }
  }
}

function updateByte (bytes: Buffer, offset: number): void {
  bytes[offset] = (bytes[offset] ?? 0) ^ 0xff
}
