import { Err, Ok, type Clock, type Logger, type Result } from '../../common/index.js'
import type { ReplicatedLog, Catalog, LogFailure } from '../../state/index.js'

/**
 * `same-place`: two queues with the same host name and path prefix. `no-timeout`: a queue whose request time-out is not
 * positive.
 */
export type CatalogProblem =
  | { kind: 'unknown-service', queue: string, service: string }
  | { kind: 'same-place', queues: [string, string] }
  | { kind: 'no-timeout', queue: string }

export type CatalogFailure = { kind: 'invalid-catalog', problem: CatalogProblem } | LogFailure

export interface CatalogStore {
  /** Resolves with the version in force once that is at least the version of `catalog`. */
  putCatalog (catalog: Catalog, deadline: number): Promise<Result<number, CatalogFailure>>
  /** The catalog in force, or undefined before the first one. */
  readCatalog (deadline: number): Promise<Result<Catalog | undefined, LogFailure>>
}

export function createCatalogStore ({ clock, logger, log }: { clock: Clock, logger: Logger, log: ReplicatedLog }): CatalogStore {
  return {
    putCatalog: async (catalog, deadline) => {
      const startedAt = clock.now()
      const problem = findCatalogProblem(catalog)
      if (problem !== undefined) {
        logger.warn('catalog.invalid', { version: catalog.version, problem: problem.kind })
        return Err({ kind: 'invalid-catalog', problem })
      }
      const before = log.state().workflows.catalog?.version
      const result = await log.propose({ kind: 'catalog.put', catalog }, deadline)
      logger.info('catalog.put', { version: catalog.version, before, queues: catalog.queues.length, outcome: result.ok ? 'recorded' : result.val.kind, ms: Math.round(clock.now() - startedAt) })
      return result.ok ? Ok(Math.max(catalog.version, before ?? 0)) : Err(result.val)
    },
    readCatalog: async (deadline) => {
      const current = await log.readBarrier(deadline)
      return current.ok ? Ok(log.state().workflows.catalog) : Err(current.val)
    }
  }
}

/** The first rule that a catalog violates, or undefined. */
export function findCatalogProblem (catalog: Catalog): CatalogProblem | undefined {
  return listCatalogProblems(catalog)[0]
}

/** All rules that a catalog violates. */
export function listCatalogProblems ({ queues, pools }: Catalog): CatalogProblem[] {
  const services = new Set(pools.map(({ service }) => service))
  const places = new Map<string, string>()
  const unknown = queues.filter(({ service }) => !services.has(service)).map(({ name, service }): CatalogProblem => ({ kind: 'unknown-service', queue: name, service }))
  const untimed = queues.filter(({ requestTimeoutMs }) => requestTimeoutMs <= 0).map(({ name }): CatalogProblem => ({ kind: 'no-timeout', queue: name }))
  const shared = queues.flatMap(({ name, hostName, pathPrefix }): CatalogProblem[] => {
    const place = `${hostName.toLowerCase()} ${pathPrefix}`
    const other = places.get(place)
    if (other === undefined) places.set(place, name)
    return other === undefined ? [] : [{ kind: 'same-place', queues: [other, name] }]
  })
  return [...unknown, ...untimed, ...shared]
}
