import { crc32 } from 'node:zlib'
import type { SessionHost, WorkerLife } from './schemas.js'

/**
 * The host that gives a worker orders: one of its availability zone where there is one, chosen by hash, so that the
 * workers of a host that leaves are spread over the others and no other worker moves.
 */
export function findSessionHost (hosts: readonly SessionHost[], { id, availabilityZone }: Pick<WorkerLife, 'id' | 'availabilityZone'>): string | undefined {
  const near = hosts.filter((candidate) => candidate.availabilityZone === availabilityZone)
  const eligible = near.length > 0 ? near : hosts
  return eligible.map(({ host }) => ({ host, weight: crc32(`${host} ${id}`) }))
    .reduce<{ host: string, weight: number } | undefined>((best, candidate) => best === undefined || candidate.weight > best.weight ? candidate : best, undefined)?.host
}
