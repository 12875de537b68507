export interface QueueItem {
  member: string
  deadline: number
  bytes: number
}

/** The waiting requests of one member. `virtualStart` grows by one with each request that is served. */
interface MemberQueue<T> { items: T[], virtualStart: number }

/**
 * Queue of the requests of one service, with start-time fair queueing between members: each member has a queue of its own,
 * and they are served in turn whatever their length, so that a burst of one member does not delay the others.
 */
export interface FairQueue<T extends QueueItem> {
  /** Adds a request. If the queue is then above `limit`, removes and returns the newest request of the longest member queue. */
  add (item: T, limit: number): T | undefined
  /** Adds a retry in front of its member's queue, because the request has waited already. */
  addFirst (item: T): void
  /** Returns the next request to serve and leaves it in the queue. */
  peek (): T | undefined
  /** Removes a request that is served now, which counts as the turn of its member. */
  dequeue (item: T): boolean
  /** Removes a request that is not served; its member keeps its turn. */
  discard (item: T): boolean
  /** Removes and returns the newest request of the longest member queue. */
  removeNewest (): T | undefined
  /** Number of requests that would be served before a new request of the member. */
  countAhead (member: string): number
  count (): number
}

export function createFairQueue<T extends QueueItem> (): FairQueue<T> {
  const memberQueues = new Map<string, MemberQueue<T>>()
  let virtualTime = 0
  let size = 0

  const getMemberQueue = (member: string): MemberQueue<T> => {
    const known = memberQueues.get(member)
    if (known !== undefined) return known
    const created = { items: [], virtualStart: virtualTime }
    memberQueues.set(member, created)
    return created
  }

  const findNextQueue = (): MemberQueue<T> | undefined => [...memberQueues.values()]
    .reduce<MemberQueue<T> | undefined>((best, memberQueue) => best === undefined || memberQueue.virtualStart < best.virtualStart ? memberQueue : best, undefined)

  const findLongestQueue = (): MemberQueue<T> | undefined => [...memberQueues.values()]
    .reduce<MemberQueue<T> | undefined>((best, memberQueue) => best === undefined || memberQueue.items.length > best.items.length ? memberQueue : best, undefined)

  const removeNewest = (): T | undefined => {
    const item = findLongestQueue()?.items.at(-1)
    if (item !== undefined) removeItem(item)
    return item
  }

  const removeItem = (item: T): boolean => {
    const memberQueue = memberQueues.get(item.member)
    const index = memberQueue?.items.indexOf(item) ?? -1
    if (memberQueue === undefined || index < 0) return false
    memberQueue.items.splice(index, 1)
    size -= 1
    if (memberQueue.items.length === 0) memberQueues.delete(item.member)
    return true
  }

  return {
    add: (item, limit) => {
      getMemberQueue(item.member).items.push(item)
      size += 1
      return size > limit ? removeNewest() : undefined
    },
    addFirst: (item) => {
      getMemberQueue(item.member).items.unshift(item)
      size += 1
    },
    peek: () => findNextQueue()?.items[0],
    dequeue: (item) => {
      const memberQueue = memberQueues.get(item.member)
      if (!removeItem(item) || memberQueue === undefined) return false
      virtualTime = Math.max(virtualTime, memberQueue.virtualStart)
      memberQueue.virtualStart += 1
      return true
    },
    discard: removeItem,
    removeNewest,
    countAhead: (member) => {
      const own = memberQueues.get(member)?.items.length ?? 0
      return [...memberQueues].reduce((sum, [name, memberQueue]) => sum + (name === member ? own : Math.min(memberQueue.items.length, own + 1)), 0)
    },
    count: () => size
  }
}
