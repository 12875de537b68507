import { Packr } from 'msgpackr'
import { z } from 'zod'
import { Err, Ok, type Result } from '../common/index.js'

/** Size limit of a message between entry hosts. */
export const MAX_MESSAGE_BYTES = 8 * 1024 * 1024

/** Envelope of each message between two entry hosts. A reply or failure has the `id` of its request. */
export const envelopeSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('request'), id: z.number().int().nonnegative(), kind: z.string(), body: z.unknown() }),
  z.object({ type: z.literal('reply'), id: z.number().int().nonnegative(), body: z.unknown() }),
  z.object({ type: z.literal('failure'), id: z.number().int().nonnegative(), message: z.string() })
])
export type Envelope = z.infer<typeof envelopeSchema>

export interface CodecFailure { kind: 'malformed-message', message: string }

// Records are disabled, because both ends would have to keep the same tables of record structures across reconnections.
const packr = new Packr({ useRecords: false, moreTypes: false })

export function encodeEnvelope (envelope: Envelope): Buffer {
  return packr.pack(envelope)
}

export function decodeEnvelope (data: Buffer): Result<Envelope, CodecFailure> {
  const decoded = decodeBytes(data)
  if (!decoded.ok) return decoded
  const parsed = envelopeSchema.safeParse(decoded.val)
  return parsed.success
    ? Ok(parsed.data)
    : Err({ kind: 'malformed-message', message: z.prettifyError(parsed.error) })
}

function decodeBytes (data: Buffer): Result<unknown, CodecFailure> {
  try {
    return Ok(packr.unpack(data) as unknown)
  } catch (error) {
    return Err({ kind: 'malformed-message', message: error instanceof Error ? error.message : 'not MessagePack' })
  }
}
