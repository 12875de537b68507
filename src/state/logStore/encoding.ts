import { Packr } from 'msgpackr'

const BUFFER_BYTES = 8192
const packr = new Packr({ useRecords: false })

/**
 * Encodes a value that may be large. All packers of a process share one buffer, which never shrinks (it has 22 MB after a
 * snapshot of 5.6 MB), so this function replaces it by a small one afterwards.
 */
export function encodeLarge (value: unknown): Uint8Array {
  const bytes = packr.pack(value)
  packr.useBuffer(Buffer.allocUnsafeSlow(BUFFER_BYTES))
  return bytes
}
