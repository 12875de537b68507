/** A request that waits for a slot. */
export interface Waiting {
  member: string
  deadline: number
  bytes: number
}

interface Share<T> { items: T[], tag: number }

/**
 * Requests of one service that wait. Members take turns, whatever the length of their lines,
 * so that a wave of one member does not delay another beyond its share.
 */
export interface FairQueue<T extends Waiting> {
  add (item: T, limit: number): T | undefined
  /** A retry: it has waited already. */
  addFirst (item: T): void
  find (): T | undefined
  remove (item: T): boolean
  /** Takes out a request that is not served. */
  discard (item: T): boolean
  removeLast (): T | undefined
  /** Requests that would be served before a new one of the member. */
  countAhead (member: string): number
  count (): number
}

export function createFairQueue<T extends Waiting> (): FairQueue<T> {
  const shares = new Map<string, Share<T>>()
  let turn = 0
  let size = 0

  const getShare = (member: string): Share<T> => {
    const known = shares.get(member)
    if (known !== undefined) return known
    const created = { items: [], tag: turn }
    shares.set(member, created)
    return created
  }

  const findNext = (): Share<T> | undefined => [...shares.values()]
    .reduce<Share<T> | undefined>((best, share) => best === undefined || share.tag < best.tag ? share : best, undefined)

  const findLongest = (): Share<T> | undefined => [...shares.values()]
    .reduce<Share<T> | undefined>((best, share) => best === undefined || share.items.length > best.items.length ? share : best, undefined)

  const removeLast = (): T | undefined => {
    const item = findLongest()?.items.at(-1)
    if (item !== undefined) removeItem(item)
    return item
  }

  const removeItem = (item: T): boolean => {
    const share = shares.get(item.member)
    const index = share?.items.indexOf(item) ?? -1
    if (share === undefined || index < 0) return false
    share.items.splice(index, 1)
    size -= 1
    if (share.items.length === 0) shares.delete(item.member)
    return true
  }

  return {
    /** Returns the request that had to give way when the queue is full: the newest of the longest line. */
    add: (item, limit) => {
      getShare(item.member).items.push(item)
      size += 1
      return size > limit ? removeLast() : undefined
    },
    addFirst: (item) => {
      getShare(item.member).items.unshift(item)
      size += 1
    },
    /** The next request; `remove` takes it out and ends the turn of its member. */
    find: () => findNext()?.items[0],
    remove: (item) => {
      const share = shares.get(item.member)
      if (!removeItem(item) || share === undefined) return false
      turn = Math.max(turn, share.tag)
      share.tag += 1
      return true
    },
    discard: removeItem,
    removeLast,
    countAhead: (member) => {
      const own = shares.get(member)?.items.length ?? 0
      return [...shares].reduce((sum, [name, share]) => sum + (name === member ? own : Math.min(share.items.length, own + 1)), 0)
    },
    count: () => size
  }
}
