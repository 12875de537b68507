/**
 * Knows which hosts can apply entries with copies. A host of an earlier build ignores the assignment of a copy, but not the
 * end of one, and could then start a task that has succeeded. So copies are assigned only while every host with a replica has
 * announced in this term that it knows them.
 */
export interface CopySupport {
  /** Records what a host says with an exchange; hosts of earlier builds say nothing. */
  recordHost (host: string, knowsCopies: boolean): void
  /** True if each of these hosts knows copies, and no host that was heard in this term lacks them. */
  isComplete (hosts: readonly string[]): boolean
}

/** Takes constant time for an exchange, and for a check time in proportion to the hosts with a replica. */
export function createCopySupport (): CopySupport {
  const known = new Map<string, boolean>()
  return {
    recordHost: (host, knowsCopies) => { known.set(host, knowsCopies) },
    isComplete: (hosts) => hosts.every((host) => known.get(host) === true)
  }
}
