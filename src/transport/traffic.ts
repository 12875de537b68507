/** Number and size of the messages of one kind since the process started. A reply counts under the kind of its request. */
export interface KindTraffic { messages: number, sentBytes: number, receivedBytes: number }

export interface TrafficView {
  sentBytes: number
  receivedBytes: number
  kinds: Record<string, KindTraffic>
}

/** Counts messages between entry hosts and their bytes, by kind of message. */
export interface TrafficCounter {
  recordSent (kind: string, bytes: number): void
  recordReceived (kind: string, bytes: number): void
  getView (): TrafficView
}

export function createTrafficCounter (): TrafficCounter {
  const kinds = new Map<string, KindTraffic>()

  const getKind = (kind: string): KindTraffic => {
    const existing = kinds.get(kind)
    if (existing !== undefined) return existing
    const created = { messages: 0, sentBytes: 0, receivedBytes: 0 }
    kinds.set(kind, created)
    return created
  }

  return {
    recordSent: (kind, bytes) => {
      const traffic = getKind(kind)
      traffic.messages += 1
      traffic.sentBytes += bytes
    },
    recordReceived: (kind, bytes) => {
      const traffic = getKind(kind)
      traffic.messages += 1
      traffic.receivedBytes += bytes
    },
    getView: () => {
      const all = [...kinds.values()]
      return {
        sentBytes: all.reduce((sum, { sentBytes }) => sum + sentBytes, 0),
        receivedBytes: all.reduce((sum, { receivedBytes }) => sum + receivedBytes, 0),
        kinds: Object.fromEntries([...kinds].sort(([a], [b]) => a < b ? -1 : 1).map(([kind, traffic]) => [kind, { ...traffic }]))
      }
    }
  }
}
