import { runSupervised, type Clock, type Logger, type Metrics, type Network, type EventLoopMeter } from '../../common/index.js'
import type { ReplicatedLog } from '../../state/index.js'
import type { AdviceClient } from './advice.js'
import { WORKFLOW_MESSAGE, workflowRequestSchema, type WorkflowReply } from './messages.js'
import type { WorkerClient } from './orders.js'
import { DEFAULT_COMPETITION, type CompetitionSettings } from './competition.js'
import { createRequestLimit } from './requestLimit.js'
import { createWorkflowService } from './workflowService.js'
import type { ServiceBound } from './serviceWatch.js'
import { createInterferenceModel, type InterferenceEstimates } from './interferenceModel.js'
import { startTerm, type Term } from './term.js'
import { createSessionHost } from './sessionHost.js'
import { SESSIONS_MESSAGE, type SessionsReply, type SessionsRequest } from './sessionMessages.js'
import type { HostClient } from './hostMaintenance.js'

/** Interval at which a host checks whether it has become the leader; a fraction of the time that a change of the leader may take. */
const LEADER_POLL_MS = 50
const BARRIER_TIMEOUT_MS = 1000
/** Interval at which the leader sends its interference estimates to the other voters; a new leader has to learn again only those of the last interval. */
const SHARE_ESTIMATES_MS = 1500
const ESTIMATES_MESSAGE = 'workflow.estimates'

export interface WorkflowCoordinatorOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  work: EventLoopMeter
  network: Network
  log: ReplicatedLog
  availabilityZone: string
  serviceBound: ServiceBound
  /** The longest lease that the workers grant; absent: `DEFAULT_MAX_LEASE_MS`. */
  maxLeaseMs?: number | undefined
  /** Time within which starts in an evacuated zone end, see `createZoneEvacuations`. */
  evacuateMs?: number
  /** Identifies this process; a restarted host has a new one. */
  process: string
  client: WorkerClient
  hosts: HostClient
  /** Length of the order lease on a host: for this long after an order only the process that gave it may give further orders for that host. */
  hostLeaseMs: number
  /** The most bytes of requests of entry hosts in progress. */
  maxRequestBytes?: number
  advice: AdviceClient
  /** See `DispatcherOptions`. */
  looksAhead?: boolean
  /** Absent: `DEFAULT_COMPETITION`. */
  competition?: CompetitionSettings
  /** False turns copies of stragglers off while this host is the leader; absent: true. */
  allowsCopies?: boolean
}

export interface WorkflowCoordinator {
  getTerm (): Term | undefined
  stop (): Promise<void>
}

/** Keeps the sessions with the workers of this host, coordinates all workflows while this host is the leader of the log, and answers requests of entry hosts. */
export function createWorkflowCoordinator (options: WorkflowCoordinatorOptions): WorkflowCoordinator {
  const { clock, logger, log, network } = options
  const stopping = new AbortController()
  let term: Term | undefined
  const getTerm = (): Term | undefined => term

  const interferenceModel = createInterferenceModel()
  let sharedAt = -Infinity

  /** Sends the interference estimates to the other voters, so that none of them has to learn them again when it becomes the leader. */
  const shareEstimates = (): void => {
    if (clock.now() - sharedAt < SHARE_ESTIMATES_MS) return
    sharedAt = clock.now()
    const estimates = interferenceModel.getEstimates()
    log.status().voters.filter((voter) => voter !== network.self).forEach((voter) => {
      network.request(voter, ESTIMATES_MESSAGE, estimates, clock.now() + SHARE_ESTIMATES_MS)
    })
  }
  network.handle(ESTIMATES_MESSAGE, async (_from, body) => {
    if (term === undefined) interferenceModel.mergeEstimates(body as InterferenceEstimates, clock.now())
    return {}
  })

  const service = createWorkflowService({ ...options, getTerm })
  const requestLimit = createRequestLimit(options.maxRequestBytes)
  network.handle(WORKFLOW_MESSAGE, async (from, body): Promise<WorkflowReply> => {
    const request = workflowRequestSchema.safeParse(body)
    if (request.success) return requestLimit.handle(request.data, service.handle)
    logger.warn('workflow.request-malformed', { from })
    return { kind: 'invalid', message: 'the request between hosts is malformed' }
  })

  const exchange = (from: string, request: SessionsRequest): SessionsReply => term?.exchange(from, request) ?? { kind: 'not-leader' }
  network.handle(SESSIONS_MESSAGE, async (from, body) => exchange(from, body as SessionsRequest))
  const sessionHost = createSessionHost({ ...options, exchangeLocally: (request) => exchange(network.self, request) })

  const runTerms = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const status = log.status()
      const isLeading = status.role === 'leader'
      if (term !== undefined && (!isLeading || status.term !== term.fence)) {
        term.stop()
        term = undefined
      }
      if (isLeading && term === undefined) await openTerm(status.term)
      if (term !== undefined) shareEstimates()
      await clock.sleep(LEADER_POLL_MS)
    }
  }

  /** Starts a term once all entries of earlier leaders have been applied here; no orders are given before. */
  const openTerm = async (fence: number): Promise<void> => {
    const current = await log.readBarrier(clock.now() + BARRIER_TIMEOUT_MS)
    const status = log.status()
    if (stopping.signal.aborted || !current.ok || status.role !== 'leader' || status.term !== fence) return
    term = startTerm({ ...options, competition: options.competition ?? DEFAULT_COMPETITION, self: network.self, interferenceModel, fence })
  }

  const loop = runSupervised({ clock, logger, event: 'workflow.coordinator-failed', isStopped: () => stopping.signal.aborted }, runTerms)

  return {
    getTerm,
    stop: async () => {
      await sessionHost.stop()
      stopping.abort()
      term?.stop()
      term = undefined
      await loop
    }
  }
}
