import type { WorkflowsState } from '../../state/index.js'

/**
 * Knows which hosts apply entries with copies. A host of an earlier build ignores the assignment of a copy, but not the end of
 * one, and could then start a task that has succeeded. So copies are assigned only while each host with a replica is known to
 * apply them: from its exchanges in this term, or from an earlier leader if it has not been heard since.
 */
export interface CopySupport {
  /** Records what a host says with an exchange; hosts of earlier builds say nothing. */
  recordHost (host: string, knowsCopies: boolean): void
  isComplete (hosts: readonly string[]): boolean
  /** Lists the known hosts for the next leader; undefined if the state has them already. */
  listNew (hosts: readonly string[]): string[] | undefined
}

/** Takes constant time for an exchange, and for a check time in proportion to the hosts with a replica, some tens. */
export function createCopySupport (getState: () => WorkflowsState): CopySupport {
  const heard = new Map<string, boolean>()
  const isKnown = (host: string): boolean => heard.get(host) ?? getState().copyHosts?.includes(host) === true
  return {
    recordHost: (host, knowsCopies) => { heard.set(host, knowsCopies) },
    isComplete: (hosts) => hosts.every(isKnown),
    listNew: (hosts) => {
      const known = [...new Set(hosts)].filter(isKnown).sort()
      return known.join() === getState().copyHosts?.join() ? undefined : known
    }
  }
}
