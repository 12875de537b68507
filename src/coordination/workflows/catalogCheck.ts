import { checkEntry, MAX_ENTRY_BYTES, type Catalog, type Queue, type RequestLimits, type WorkerPool } from '../../state/index.js'
import { listCatalogProblems, type CatalogProblem } from './catalog.js'

/** `error`: hosts refuse the catalog. `warning`: they accept it, and some of it cannot have the effect that its author expects. */
export interface CatalogFinding { severity: 'error' | 'warning', kind: string, subject: string, message: string }

/** Hosts reserve 30 ms of a request's time limit for the answer, and a commit takes some tens of ms; with less, most requests fail. */
const MIN_REQUEST_TIMEOUT_MS = 100
/** From this share of the largest entry on, a catalog is reported: a few more queues would make it too large. */
const LARGE_SHARE = 0.8

/** Lists everything that hosts would refuse in a catalog, and what they would accept although it contradicts itself or can have no effect. */
export function checkCatalog (catalog: Catalog): CatalogFinding[] {
  return CHECKS.flatMap((check) => check(catalog))
}

const CHECKS: ReadonlyArray<(catalog: Catalog) => CatalogFinding[]> = [
  (catalog) => listCatalogProblems(catalog).map(describeProblem),
  checkSize,
  ({ queues }) => listRepeated(queues.map(({ name }) => name)).map((name) => ({ severity: 'warning', kind: 'same-name', subject: name, message: 'several queues have this name, and their workflows are counted together' })),
  ({ queues }) => queues.flatMap(checkMatching),
  ({ queues }) => queues.flatMap(checkTimes),
  ({ queues, pools }) => pools.flatMap((pool) => checkPool(pool, queues)),
  ({ limits }) => limits === undefined ? [] : checkLimits(limits)
]

type Describers = { [K in CatalogProblem['kind']]: (problem: Extract<CatalogProblem, { kind: K }>) => Pick<CatalogFinding, 'subject' | 'message'> }

const PROBLEMS: Describers = {
  'unknown-service': ({ queue, service }) => ({ subject: queue, message: `the service ${service} is not defined` }),
  'same-place': ({ queues: [first, second] }) => ({ subject: second, message: `has the host and path prefix of ${first}` }),
  'no-timeout': ({ queue }) => ({ subject: queue, message: 'the request time-out is not positive' })
}

function describeProblem (problem: CatalogProblem): CatalogFinding {
  const describe = PROBLEMS[problem.kind] as (problem: CatalogProblem) => Pick<CatalogFinding, 'subject' | 'message'>
  return { severity: 'error', kind: problem.kind, ...describe(problem) }
}

function checkSize (catalog: Catalog): CatalogFinding[] {
  const entry = checkEntry({ kind: 'catalog.put', catalog })
  if (entry.err) return [{ severity: 'error', kind: entry.val.kind, subject: 'catalog', message: 'message' in entry.val ? entry.val.message : entry.val.kind }]
  const { length } = entry.val.bytes
  return length < LARGE_SHARE * MAX_ENTRY_BYTES ? [] : [{ severity: 'warning', kind: 'nearly-too-large', subject: 'catalog', message: `takes ${length} of the ${MAX_ENTRY_BYTES} bytes that an entry of the log may have` }]
}

function listRepeated (names: readonly string[]): string[] {
  return [...new Set(names.filter((name, position) => names.indexOf(name) !== position))]
}

/** Queues that no request can reach. Hosts compare the path without its query, and the host name in lower case. */
function checkMatching ({ name, hostName, pathPrefix }: Queue): CatalogFinding[] {
  const createFinding = (message: string): CatalogFinding => ({ severity: 'warning', kind: 'never-matches', subject: name, message })
  return [
    .../[?#\s]/.test(pathPrefix) ? [createFinding(`no request path contains a space, ? or #: ${pathPrefix}`)] : [],
    .../[/:?#@\s]/.test(hostName) ? [createFinding(`no host name contains a space, a port or a path: ${hostName}`)] : []
  ]
}

function checkTimes ({ name, requestTimeoutMs, objectiveMs, slackFactor, advice }: Queue): CatalogFinding[] {
  const createFinding = (kind: string, message: string): CatalogFinding => ({ severity: 'warning', kind, subject: name, message })
  return [
    ...requestTimeoutMs > 0 && requestTimeoutMs < MIN_REQUEST_TIMEOUT_MS ? [createFinding('short-timeout', `a request time-out of ${requestTimeoutMs} ms leaves no time for an answer`)] : [],
    ...slackFactor < 1 && objectiveMs === 0 ? [createFinding('objective-too-short', `with a slack factor of ${slackFactor} and no addition the objective is shorter than the work`)] : [],
    ...advice !== undefined && advice.validityMs <= advice.decisionMs + advice.perWorkerMs ? [createFinding('ticket-too-short', `a ticket is valid for ${advice.validityMs} ms, and the answer about one worker takes ${advice.decisionMs + advice.perWorkerMs} ms`)] : []
  ]
}

function checkPool ({ service, standby }: WorkerPool, queues: readonly Queue[]): CatalogFinding[] {
  const served = queues.filter((queue) => queue.service === service).map(({ name }) => name)
  return [
    ...served.length === 0 && !standby ? [{ severity: 'warning' as const, kind: 'no-queue', subject: service, message: 'no queue uses the service' }] : [],
    ...served.length > 0 && standby ? [{ severity: 'warning' as const, kind: 'standby-with-queues', subject: service, message: `the hosts are off, and nothing of ${served.join(', ')} can run` }] : []
  ]
}

function checkLimits ({ maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs }: RequestLimits): CatalogFinding[] {
  const createFinding = (message: string): CatalogFinding => ({ severity: 'warning', kind: 'contradicting-limits', subject: 'limits', message })
  return [
    ...headerTimeoutMs !== undefined && idleTimeoutMs !== undefined && headerTimeoutMs > idleTimeoutMs ? [createFinding(`a header may take ${headerTimeoutMs} ms, and an idle connection is closed after ${idleTimeoutMs} ms`)] : [],
    ...maxHeaderBytes !== undefined && maxBodyBytes !== undefined && maxHeaderBytes > maxBodyBytes ? [createFinding(`a header may have ${maxHeaderBytes} bytes, and a body only ${maxBodyBytes}`)] : []
  ]
}

/** `from` and `to` are undefined for a field that was absent before or is absent now, and for added and removed elements. */
export interface CatalogDifference { kind: 'added' | 'removed' | 'changed', subject: string, field?: string, from?: unknown, to?: unknown }

/** Lists what differs from the catalog in force, and whether the new one would take effect at all. */
export function compareCatalogs (current: Catalog, next: Catalog): { takesEffect: boolean, differences: CatalogDifference[] } {
  const differences = [
    ...compareElements('queue', createIndex(current.queues, ({ name }) => name), createIndex(next.queues, ({ name }) => name)),
    ...compareElements('service', createIndex(current.pools, ({ service }) => service), createIndex(next.pools, ({ service }) => service)),
    ...compareFields('limits', current.limits ?? {}, next.limits ?? {})
  ]
  return { takesEffect: next.version > current.version, differences }
}

function createIndex<T extends object> (elements: readonly T[], getName: (element: T) => string): Map<string, T> {
  return new Map(elements.map((element) => [getName(element), element]))
}

function compareElements (kind: string, current: ReadonlyMap<string, object>, next: ReadonlyMap<string, object>): CatalogDifference[] {
  const removed = [...current.keys()].filter((name) => !next.has(name)).map((name): CatalogDifference => ({ kind: 'removed', subject: `${kind} ${name}` }))
  return removed.concat([...next].flatMap(([name, element]): CatalogDifference[] => {
    const known = current.get(name)
    return known === undefined ? [{ kind: 'added', subject: `${kind} ${name}` }] : compareFields(`${kind} ${name}`, known, element)
  }))
}

function compareFields (subject: string, current: object, next: object): CatalogDifference[] {
  const before = new Map<string, unknown>(Object.entries(current))
  const after = new Map<string, unknown>(Object.entries(next))
  return [...new Set([...before.keys(), ...after.keys()])]
    .filter((field) => JSON.stringify(before.get(field)) !== JSON.stringify(after.get(field)))
    .map((field) => ({ kind: 'changed', subject, field, from: before.get(field), to: after.get(field) }))
}
