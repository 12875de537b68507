/** Estimates the memory of a decoded JSON text before it is decoded. Load: any text within the limit of a body. */

/** Estimated bytes of decoded values by the character that introduces them: arrays, objects, properties, elements, strings. */
const DECODED_BYTES: Record<number, number> = { 0x5b: 48, 0x7b: 56, 0x3a: 64, 0x2c: 24 }
const STRING_BYTES = 24
const QUOTE = 0x22
const BACKSLASH = 0x5c
const OPENING = new Set([0x5b, 0x7b])
const CLOSING = new Set([0x5d, 0x7d])

export interface DecodedSize { bytes: number, depth: number }

/** Estimates from the structure of the text, which need not be valid. Bytes of strings count as their length. */
export function estimateDecodedSize (text: string): DecodedSize {
  let bytes = 0
  let depth = 0
  let maxDepth = 0
  for (let index = 0; index < text.length; index++) {
    const code = text.charCodeAt(index)
    if (code === QUOTE) {
      const end = findStringEnd(text, index + 1)
      bytes += STRING_BYTES + end - index
      index = end
    } else if (code >= 0x2c) {
      bytes += DECODED_BYTES[code] ?? 0
      if (OPENING.has(code)) maxDepth = Math.max(maxDepth, ++depth)
      else if (CLOSING.has(code)) depth--
    }
  }
  return { bytes, depth: maxDepth }
}

function findStringEnd (text: string, start: number): number {
  let index = start
  while (index < text.length && text.charCodeAt(index) !== QUOTE) index += text.charCodeAt(index) === BACKSLASH ? 2 : 1
  return index
}
