import type { IncomingMessage } from 'node:http'
import { StringDecoder } from 'node:string_decoder'
import type { BodyBudget, HeldBody } from './bodyBudget.js'

/**
 * Size of the segments that bodies are copied to. Received chunks are not kept: one of a single byte costs some 100 bytes. Segments
 * are used again, because the runtime frees memory outside its heap late.
 */
export const SEGMENT_BYTES = 8 * 1024

/** Segments that are not in use. Bounded by the budget, because only charged segments are ever allocated. */
export interface SegmentPool {
  claim (): Buffer
  release (segments: Buffer[]): void
}

export function createSegmentPool (): SegmentPool {
  const free: Buffer[] = []
  return {
    claim: () => free.pop() ?? Buffer.allocUnsafeSlow(SEGMENT_BYTES),
    release: (segments) => { free.push(...segments.splice(0)) }
  }
}

/** What was received of a body. The segments have to be given back by `release`. */
export interface ReceivedBody {
  readText (): string
  readBytes (): Buffer
  release (): void
}

export type BodyFailure = 'too-large' | 'incomplete'

export interface BodyReaderOptions {
  budget: BodyBudget
  pool: SegmentPool
  held: HeldBody
  maxBodyBytes: number
  now (): number
  /** Called with the bodies that the budget drops. */
  drop (bodies: HeldBody[]): void
}

export interface BodyReader {
  /** Calls `finish` once, unless the body is dropped before. */
  start (finish: (result: ReceivedBody | BodyFailure) => void): void
  /** Stops reading and gives the segments back. */
  stop (): void
}

/** Reads one body into segments under the budget. Load: bodies of any framing, also in chunks of one byte. */
export function createBodyReader (message: IncomingMessage, { budget, pool, held, maxBodyBytes, now, drop }: BodyReaderOptions): BodyReader {
  const segments: Buffer[] = []
  let length = 0
  let isStopped = false

  const stop = (): void => {
    isStopped = true
    pool.release(segments)
  }

  /** Copies a chunk; false if the budget has dropped this body. */
  const append = (chunk: Buffer): boolean => {
    let copied = 0
    while (copied < chunk.length) {
      const offset = length % SEGMENT_BYTES
      if (offset === 0) {
        const dropped = budget.charge(held, SEGMENT_BYTES, now())
        if (dropped.length > 0) drop(dropped)
        if (dropped.includes(held)) return false
        segments.push(pool.claim())
      }
      const bytes = chunk.copy(segments.at(-1) as Buffer, offset, copied)
      copied += bytes
      length += bytes
    }
    return true
  }

  const listParts = (): Buffer[] => segments.map((segment, index) => segment.subarray(0, Math.min(SEGMENT_BYTES, length - index * SEGMENT_BYTES)))

  const received: ReceivedBody = {
    readText: () => {
      const decoder = new StringDecoder('utf8')
      return listParts().map((part) => decoder.write(part)).join('') + decoder.end()
    },
    readBytes: () => Buffer.concat(listParts()),
    release: stop
  }

  return {
    start: (finish) => {
      const fail = (failure: BodyFailure): void => {
        stop()
        finish(failure)
      }
      message.on('data', (chunk: Buffer) => {
        if (isStopped) return
        budget.recordProgress(held, chunk.length, now())
        if (length + chunk.length > maxBodyBytes) fail('too-large')
        else append(chunk)
      })
      message.once('end', () => { if (!isStopped) finish(received) })
      message.once('close', () => { if (!isStopped && !message.complete) fail('incomplete') })
      message.once('error', () => { if (!isStopped) fail('incomplete') })
    },
    stop
  }
}
