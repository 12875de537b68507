/**
 * A set of non-negative integers as the boundaries of its ranges: `[from, to, from, to, ...]`, in ascending order, without `to`
 * itself. Its size depends on the number of gaps between the members, not on the number of members.
 */
export type IndexRanges = number[]

export function hasIndex (ranges: IndexRanges | undefined, index: number): boolean {
  return ranges !== undefined && countBoundaries(ranges, index) % 2 === 1
}

export function addIndex (ranges: IndexRanges, index: number): void {
  const position = countBoundaries(ranges, index)
  if (position % 2 === 1) return
  const endsBefore = ranges[position - 1] === index
  const startsAfter = ranges[position] === index + 1
  if (endsBefore && startsAfter) ranges.splice(position - 1, 2)
  else if (endsBefore) ranges[position - 1] = index + 1
  else if (startsAfter) ranges[position] = index
  else ranges.splice(position, 0, index, index + 1)
}

/** The smallest integer from `index` on that is not in the set. */
export function findMissingIndex (ranges: IndexRanges | undefined, index: number): number {
  if (ranges === undefined) return index
  const position = countBoundaries(ranges, index)
  return position % 2 === 1 ? ranges[position] as number : index
}

export function countIndexes (ranges: IndexRanges): number {
  return ranges.reduce((sum, boundary, position) => position % 2 === 1 ? sum + boundary : sum - boundary, 0)
}

/** Number of boundaries up to `index`; odd if the set has it. */
function countBoundaries (ranges: IndexRanges, index: number): number {
  let low = 0
  let high = ranges.length
  while (low < high) {
    const middle = (low + high) >> 1
    if ((ranges[middle] as number) <= index) low = middle + 1
    else high = middle
  }
  return low
}
