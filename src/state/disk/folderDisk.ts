import { mkdir, open, readFile, readdir, rename, rm, type FileHandle } from 'node:fs/promises'
import { join } from 'node:path'
import { Err, Ok, type Result } from '../../common/index.js'
import type { Disk, DiskFailure } from './disk.js'

const TEMPORARY_SUFFIX = '.tmp'

/** Opens a folder of the file system, which is created if it is missing. Files that are appended to stay open until `close`. */
export async function openDisk (folder: string): Promise<Result<Disk, DiskFailure>> {
  const made = await runDiskOperation(folder, 'disk-error', () => mkdir(folder, { recursive: true }))
  if (made.err) return made
  return Ok(createFolderDisk(folder))
}

function createFolderDisk (folder: string): Disk {
  const handles = new Map<string, FileHandle>()

  const openForAppend = async (file: string): Promise<FileHandle> => {
    const handle = handles.get(file) ?? await open(join(folder, file), 'a')
    handles.set(file, handle)
    return handle
  }

  const closeHandle = async (file: string): Promise<void> => {
    const handle = handles.get(file)
    handles.delete(file)
    await handle?.close()
  }

  const syncFolder = async (): Promise<void> => {
    const handle = await open(folder, 'r')
    try {
      await handle.sync()
    } finally {
      await handle.close()
    }
  }

  return {
    list: () => runDiskOperation(folder, 'disk-error', async () => {
      const names = await readdir(folder)
      return names.filter((name) => !name.endsWith(TEMPORARY_SUFFIX)).sort()
    }),

    read: (file) => runDiskOperation(file, 'disk-error', async () => {
      try {
        return await readFile(join(folder, file))
      } catch (error) {
        if (getErrorCode(error) === 'ENOENT') return undefined
        throw error
      }
    }),

    append: (file, bytes) => runDiskOperation(file, 'disk-error', async () => {
      const handle = await openForAppend(file)
      await handle.writeFile(bytes)
    }),

    sync: (file) => runDiskOperation(file, 'sync-failed', async () => {
      const handle = await openForAppend(file)
      await handle.datasync()
    }),

    writeAtomic: (file, bytes) => runDiskOperation(file, 'sync-failed', async () => {
      await closeHandle(file)
      const temporary = join(folder, file + TEMPORARY_SUFFIX)
      const handle = await open(temporary, 'w')
      try {
        await handle.writeFile(bytes)
        await handle.sync()
      } catch (error) {
        // A part of the file would take the space that a full disk lacks.
        await handle.truncate(0).catch(() => {})
        throw error
      } finally {
        await handle.close()
      }
      await rename(temporary, join(folder, file))
      await syncFolder()
    }),

    truncate: (file, length) => runDiskOperation(file, 'disk-error', async () => {
      const handle = await openForAppend(file)
      await handle.truncate(length)
    }),

    remove: (file) => runDiskOperation(file, 'disk-error', async () => {
      await closeHandle(file)
      await rm(join(folder, file), { force: true })
    }),

    close: async () => {
      await Promise.all([...handles.keys()].map(closeHandle))
    }
  }
}

/** Returns an exception of the operation as a failure: `disk-full` if the disk or the quota is full, else of the given kind. */
async function runDiskOperation<T> (file: string, kind: DiskFailure['kind'], action: () => Promise<T>): Promise<Result<T, DiskFailure>> {
  try {
    return Ok(await action())
  } catch (error) {
    const code = getErrorCode(error)
    const isFull = code === 'ENOSPC' || code === 'EDQUOT'
    return Err({ kind: isFull ? 'disk-full' : kind, file, message: error instanceof Error ? error.message : String(error) })
  }
}

function getErrorCode (error: unknown): string | undefined {
  return (error as NodeJS.ErrnoException).code
}
