import { crc32 } from 'node:zlib'

/** Marks the start of a record, so that a reader can find intact records after a damaged one. */
const MAGIC = 0x53514452
const HEADER_BYTES = 12

/** `torn`: the last record is damaged, as after a crash during its write. `corrupt`: an intact record follows the damaged one. */
export interface DecodedFrames {
  payloads: Uint8Array[]
  validLength: number
  damage: 'none' | 'torn' | 'corrupt'
}

/**
 * An empty record, written after each sync. An intact marker proves that the record before it was synced, so damage to that
 * record is corruption and not a write that a crash interrupted.
 */
export const SYNC_MARKER = encodeFrame(new Uint8Array())

/** Encodes a record: magic number, payload length, checksum of length and payload, payload. */
export function encodeFrame (payload: Uint8Array): Uint8Array {
  const frame = Buffer.allocUnsafe(HEADER_BYTES + payload.length)
  frame.writeUInt32BE(MAGIC, 0)
  frame.writeUInt32BE(payload.length, 4)
  frame.set(payload, HEADER_BYTES)
  frame.writeUInt32BE(computeChecksum(frame, 0, payload.length), 8)
  return frame
}

export function decodeFrames (bytes: Uint8Array): DecodedFrames {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length)
  const payloads: Uint8Array[] = []
  let offset = 0
  while (offset < buffer.length) {
    const payload = readFrame(buffer, offset)
    // Markers are not synced themselves, so a crash may damage one although an intact record follows. A damaged header directly
    // before an intact record is therefore taken for a marker; no payload is lost with it.
    const isMarker = payload?.length === 0 || (payload === undefined && readFrame(buffer, offset + HEADER_BYTES) !== undefined)
    if (isMarker) {
      offset += HEADER_BYTES
      continue
    }
    if (payload === undefined) {
      return { payloads, validLength: offset, damage: hasFrameAfter(buffer, offset + 1) ? 'corrupt' : 'torn' }
    }
    payloads.push(payload)
    offset += HEADER_BYTES + payload.length
  }
  return { payloads, validLength: offset, damage: 'none' }
}

function readFrame (buffer: Buffer, offset: number): Uint8Array | undefined {
  if (offset + HEADER_BYTES > buffer.length || buffer.readUInt32BE(offset) !== MAGIC) return undefined
  const length = buffer.readUInt32BE(offset + 4)
  if (offset + HEADER_BYTES + length > buffer.length) return undefined
  if (computeChecksum(buffer, offset, length) !== buffer.readUInt32BE(offset + 8)) return undefined
  return buffer.subarray(offset + HEADER_BYTES, offset + HEADER_BYTES + length)
}

function computeChecksum (buffer: Buffer, offset: number, length: number): number {
  const ofLength = crc32(buffer.subarray(offset + 4, offset + 8))
  return crc32(buffer.subarray(offset + HEADER_BYTES, offset + HEADER_BYTES + length), ofLength)
}

function hasFrameAfter (buffer: Buffer, start: number): boolean {
  const magic = Buffer.alloc(4)
  magic.writeUInt32BE(MAGIC)
  for (let at = buffer.indexOf(magic, start); at !== -1; at = buffer.indexOf(magic, at + 1)) {
    if (readFrame(buffer, at) !== undefined) return true
  }
  return false
}
