import { Err, Ok } from '../../common/index.js'
import {
  computeBurnReport, mergeSummaries, renderReportHtml, renderReportJson, renderReportText, type BurnReport, type ReportSummary
} from '../../coordination/reports/index.js'
import type { Router } from '../../coordination/routing/index.js'
import type { ZoneCoordinator } from '../../coordination/tasks/index.js'
import { createFailure, type Announcement, type EntryHost, type Principal, type ReportFormat } from '../../protocol/index.js'
import type { ReplicatedLog } from '../../state/index.js'
import type { QueryService } from './queries.js'
import { canSee } from './work.js'

const WORKER_ANNOUNCE_INTERVAL_MS = 5_000

const RENDERERS: Record<ReportFormat, (report: BurnReport) => string | Promise<string>> = {
  json: renderReportJson,
  text: renderReportText,
  html: renderReportHtml
}

type ViewOperations = Pick<EntryHost, 'announceTarget' | 'listTargets' | 'listWorkers' | 'drainWorker' | 'explain' | 'report'>

export interface ViewOptions {
  log: ReplicatedLog
  queries: QueryService
  router: Router
  coordinator: ZoneCoordinator
  availabilityZone: string
}

type AnnouncementOf<K extends Announcement['kind']> = Extract<Announcement, { kind: K }>

/** Creates the operations for announcements of targets, lists of targets and workers, explanations and reports. */
export function createViewOperations ({ log, queries, router, coordinator, availabilityZone }: ViewOptions): ViewOperations {
  const announceExecutor = async (announcement: AnnouncementOf<'executor'>): ReturnType<EntryHost['announceTarget']> => {
    const result = await router.announceTarget(announcement)
    if (result.ok) return Ok({ announceWithinMs: result.val.renewMs, echo: result.val.echo })
    return Err(createFailure(result.val.kind === 'draining' ? 'draining' : 'invalid', result.val.message, { reason: result.val.kind }))
  }

  const announceWorker = async ({ kind: _kind, leaving, ...worker }: AnnouncementOf<'worker'>): ReturnType<EntryHost['announceTarget']> => {
    if (worker.availabilityZone !== availabilityZone) {
      return Err(createFailure('invalid', `this entry host serves zone "${availabilityZone}", not "${worker.availabilityZone}"`))
    }
    const registered = await coordinator.registerWorker(worker)
    if (!registered) return Err(createFailure('not-coordinator', 'the worker could not be registered; announce again'))
    if (leaving) coordinator.drainWorker(worker.id)
    return Ok({ announceWithinMs: WORKER_ANNOUNCE_INTERVAL_MS })
  }

  const findWorkerCoordinator = (worker: string): string | undefined => {
    const zone = log.state().workers[worker]?.availabilityZone
    if (zone === undefined) return undefined
    return zone === availabilityZone ? coordinator.status().coordinator : log.state().zones[zone]?.host
  }

  const isOwner = (member: string, kind: string, id: string): boolean => {
    const { jobs, services } = log.state()
    // Tasks have ids of the form JOB/NUMBER, and replicas of a service have the form service:SERVICE/NUMBER.
    const jobOrService = id.includes('/') ? id.slice(0, id.lastIndexOf('/')) : id
    const owner = jobs[jobOrService]?.job.member ?? services[jobOrService.replace(/^service:/, '')]?.member
    return (kind === 'task' || kind === 'job') && owner !== undefined && canSee({ role: 'member', member }, owner)
  }

  return {
    announceTarget: async (announcement) => announcement.kind === 'executor'
      ? await announceExecutor(announcement)
      : await announceWorker(announcement),

    listTargets: async () => {
      const { answers } = await queries.askHosts('targets', {})
      const executors = answers.flatMap(({ host, value }) => value
        .filter((target) => target.home)
        .map((target) => ({ kind: 'executor', ...target, home: host })))
      const workers = Object.values(log.state().workers).map((worker) => ({ kind: 'worker', ...worker }))
      return Ok([...executors, ...workers])
    },

    listWorkers: async () => {
      const { answers } = await queries.askCoordinators('tasks', {})
      const tasks = answers.flatMap(({ value }) => value)
      return Ok(Object.values(log.state().workers).map(({ id, availabilityZone, rack, capacity }) => ({
        id, availabilityZone, rack, ...capacity, tasks: tasks.filter(({ worker }) => worker === id).length
      })))
    },

    drainWorker: async (id) => {
      const host = findWorkerCoordinator(id)
      if (host === undefined || host === '') return Err(createFailure('not-found', `worker "${id}" does not exist or its zone has no coordinator`))
      const drained = await queries.ask(host, 'drainWorker', { worker: id })
      if (!drained.ok) return Err(createFailure('not-coordinator', drained.val.message))
      return drained.val ? Ok({ draining: id }) : Err(createFailure('not-coordinator', `host "${host}" does not coordinate the zone any more; try again`))
    },

    explain: async (principal, kind, id) => {
      if (principal.role === 'member' && !isOwner(principal.member, kind, id)) {
        return Err(createFailure('not-found', `${kind} "${id}" does not exist`))
      }
      const { answers } = await queries.askCoordinators('explain', { kind, id })
      return Ok(answers.flatMap(({ value }) => value).sort((a, b) => a.at - b.at))
    },

    report: async (principal, format) => {
      const { answers } = await queries.askHosts('report', {})
      const { services } = log.state()
      const visible = Object.fromEntries(Object.entries(services).filter(([, { member }]) => canSee(principal, member)))
      const summary = selectVisible(mergeSummaries(answers.map(({ value }) => value)), principal)
      return Ok(await RENDERERS[format](computeBurnReport(summary, visible)))
    }
  }
}

/** Keeps the entries that the principal may see: a member sees only its own evictions, with their causes, and its own batch work. */
function selectVisible (summary: ReportSummary, principal: Principal): ReportSummary {
  return {
    ...summary,
    evictions: summary.evictions.filter(({ member }) => canSee(principal, member)),
    recentEvictions: summary.recentEvictions.filter(({ member }) => canSee(principal, member)),
    batch: summary.batch.filter(({ member }) => canSee(principal, member))
  }
}
