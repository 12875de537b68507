import { Ok, type Clock, type Network, type NetworkFailure, type Result } from '../../common/index.js'
import type { Explanation, Subject } from '../../coordination/placement/index.js'
import type { ReportSummary } from '../../coordination/reports/index.js'
import type { TargetStatus } from '../../coordination/routing/index.js'
import type { TaskView, ZoneCoordinator, ZoneStatus } from '../../coordination/tasks/index.js'
import type { ReplicatedLog } from '../../state/index.js'

const QUERY_KIND = 'host.query'
const QUERY_TIMEOUT_MS = 1_500

/** Queries that a host answers from its own memory, with the types of their arguments and results. */
export interface Queries {
  tasks: { arguments: { job?: string | undefined }, result: TaskView[] }
  explain: { arguments: Subject, result: Explanation[] }
  drainWorker: { arguments: { worker: string }, result: boolean }
  zone: { arguments: object, result: ZoneStatus }
  targets: { arguments: object, result: TargetStatus[] }
  hosts: { arguments: object, result: object }
  report: { arguments: object, result: ReportSummary }
}
export type QueryName = keyof Queries
export type QueryHandlers = { [Q in QueryName]: (args: Queries[Q]['arguments']) => Queries[Q]['result'] }

/** Answers of several hosts; `missing` lists the hosts that did not answer. */
export interface GatheredAnswers<T> {
  answers: Array<{ host: string, value: T }>
  missing: string[]
}

export interface QueryService {
  /** Asks one host; the host may be this one. */
  ask<Q extends QueryName> (host: string, query: Q, args: Queries[Q]['arguments']): Promise<Result<Queries[Q]['result'], NetworkFailure>>
  /** Asks all entry hosts in parallel. */
  askHosts<Q extends QueryName> (query: Q, args: Queries[Q]['arguments']): Promise<GatheredAnswers<Queries[Q]['result']>>
  /** Asks the coordinator of each zone. */
  askCoordinators<Q extends QueryName> (query: Q, args: Queries[Q]['arguments']): Promise<GatheredAnswers<Queries[Q]['result']>>
}

interface QueryMessage { query: QueryName, args: object }

export function createQueryService (options: { network: Network, clock: Clock, log: ReplicatedLog, coordinator: ZoneCoordinator, handlers: QueryHandlers }): QueryService {
  const { network, clock, log, coordinator, handlers } = options

  const handleQuery = (query: QueryName, args: object): unknown => {
    const handler = handlers[query] as ((args: object) => unknown) | undefined
    if (handler === undefined) throw new Error(`query "${query}" is not known`)
    return handler(args)
  }

  network.handle(QUERY_KIND, async (_from, body) => {
    const { query, args } = body as QueryMessage
    return handleQuery(query, args)
  })

  const ask = async <Q extends QueryName>(host: string, query: Q, args: Queries[Q]['arguments']): Promise<Result<Queries[Q]['result'], NetworkFailure>> => {
    if (host === network.self) return Ok(handleQuery(query, args) as Queries[Q]['result'])
    const message: QueryMessage = { query, args }
    return await network.request(host, QUERY_KIND, message, clock.now() + QUERY_TIMEOUT_MS) as Result<Queries[Q]['result'], NetworkFailure>
  }

  const askAll = async <Q extends QueryName>(hosts: string[], query: Q, args: Queries[Q]['arguments']): Promise<GatheredAnswers<Queries[Q]['result']>> => {
    const results = await Promise.all(hosts.map(async (host) => ({ host, result: await ask(host, query, args) })))
    return {
      answers: results.flatMap(({ host, result }) => result.ok ? [{ host, value: result.val }] : []),
      missing: results.flatMap(({ host, result }) => result.ok ? [] : [host])
    }
  }

  const listCoordinators = (): string[] => {
    const { availabilityZone, coordinator: known } = coordinator.status()
    return Object.values(log.state().zones)
      // After a takeover while the zone is cut off from the leader, only the hosts of the zone know the new coordinator.
      .map((zone) => zone.availabilityZone === availabilityZone && known !== '' ? known : zone.host)
      .filter((host) => host !== '')
  }

  return {
    ask,
    askHosts: (query, args) => askAll(Object.keys(log.state().hosts), query, args),
    askCoordinators: (query, args) => askAll(listCoordinators(), query, args)
  }
}
