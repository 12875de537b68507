import { crc32 } from 'node:zlib'
import type { SessionHost, WorkerIncarnation } from './schemas.js'

/**
 * Returns the session host of a worker, which sends it orders: a host of the worker's availability zone if there is one,
 * else any host. Rendezvous hashing chooses among them, so that when a host leaves, its workers are spread over the other
 * hosts and all other workers keep theirs.
 */
export function findSessionHost (hosts: readonly SessionHost[], { id, availabilityZone }: Pick<WorkerIncarnation, 'id' | 'availabilityZone'>): string | undefined {
  const sameZone = hosts.filter((candidate) => candidate.availabilityZone === availabilityZone)
  const eligible = sameZone.length > 0 ? sameZone : hosts
  return eligible.map(({ host }) => ({ host, weight: crc32(`${host} ${id}`) }))
    .reduce<{ host: string, weight: number } | undefined>((best, candidate) => best === undefined || candidate.weight > best.weight ? candidate : best, undefined)?.host
}
