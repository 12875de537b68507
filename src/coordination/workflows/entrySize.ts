import type { Assignment, RunEnd } from '../../state/index.js'

/**
 * Most bytes of tasks in one entry of the log; a fraction of its limit, as an entry also delays those behind it. What is more goes
 * into further entries.
 */
export const MAX_TASK_BYTES = 256 * 1024
/** Bytes of the numbers and delimiters of one task in an entry. */
const TASK_OVERHEAD_BYTES = 48

/** Upper bound of the bytes of an assignment in an entry. */
export function estimateAssignmentBytes ([task, worker, , ticket = '']: Assignment): number {
  return TASK_OVERHEAD_BYTES + Buffer.byteLength(task) + Buffer.byteLength(worker) + Buffer.byteLength(ticket)
}

/** Upper bound of the bytes of the end of a run in an entry. */
export function estimateEndBytes ([, task, , , checkpoint]: RunEnd): number {
  return TASK_OVERHEAD_BYTES + Buffer.byteLength(task) + Buffer.byteLength(checkpoint)
}

/** Splits items, in their order, into batches of at most `maxBytes` each; a larger item is alone in its batch. */
export function splitByBytes<T> (items: readonly T[], getBytes: (item: T) => number, maxBytes = MAX_TASK_BYTES): T[][] {
  const batches: T[][] = []
  let free = 0
  items.forEach((item) => {
    const bytes = getBytes(item)
    if (bytes > free || batches.length === 0) {
      batches.push([])
      free = maxBytes
    }
    batches.at(-1)?.push(item)
    free -= bytes
  })
  return batches
}
