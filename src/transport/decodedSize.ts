/** Estimates the memory of a decoded JSON text before it is decoded. Load: any text within the limit of a body. */

/** Estimated bytes of decoded arrays and objects, properties, elements and strings. */
const CONTAINER_BYTES = 56
const PROPERTY_BYTES = 64
const ELEMENT_BYTES = 24
const STRING_BYTES = 24
const QUOTE = 0x22
const BACKSLASH = 0x5c
const COLON = 0x3a
const COMMA = 0x2c
/** Sets the bit in which brackets differ from braces: `[` becomes `{`, `]` becomes `}`. */
const BRACE_BIT = 0x20
const OPENING = 0x7b
const CLOSING = 0x7d

/** `containers`: number of arrays and objects. */
export interface DecodedSize { bytes: number, depth: number, containers: number }

/** Estimates from the structure of the text, which need not be valid. Bytes of strings count as their length. */
export function estimateDecodedSize (text: string): DecodedSize {
  let bytes = 0
  let containers = 0
  let depth = 0
  let maxDepth = 0
  for (let index = 0; index < text.length; index++) {
    const code = text.charCodeAt(index)
    if (code === QUOTE) {
      const end = findStringEnd(text, index + 1)
      bytes += STRING_BYTES + end - index
      index = end
    } else if (code === COMMA) bytes += ELEMENT_BYTES
    else if (code === COLON) bytes += PROPERTY_BYTES
    else if ((code | BRACE_BIT) === OPENING) {
      containers++
      maxDepth = Math.max(maxDepth, ++depth)
    } else if ((code | BRACE_BIT) === CLOSING) depth--
  }
  return { bytes: bytes + containers * CONTAINER_BYTES, depth: maxDepth, containers }
}

function findStringEnd (text: string, start: number): number {
  let index = start
  while (index < text.length && text.charCodeAt(index) !== QUOTE) index += text.charCodeAt(index) === BACKSLASH ? 2 : 1
  return index
}
