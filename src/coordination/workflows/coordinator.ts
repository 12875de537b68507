import type { Clock, Logger, Metrics, Network, WorkMeter } from '../../common/index.js'
import type { AgreedLog } from '../../state/index.js'
import type { AdviceClient } from './advice.js'
import { WORKFLOW_MESSAGE, workflowRequestSchema, type WorkflowReply } from './messages.js'
import type { WorkerClient } from './orders.js'
import { createWorkflowService } from './service.js'
import type { ServiceBound } from './serviceWatch.js'
import { createSharing, type SharingEstimates } from './sharing.js'
import { startTerm, type Term } from './term.js'
import { createSessionHost } from './sessionHost.js'
import { SESSIONS_MESSAGE, type SessionsReply, type SessionsRequest } from './sessionMessages.js'
import type { HostClient } from './upkeep.js'

/** How often a host looks whether it has become the leader; a part of the time a takeover may take. */
const LEADER_POLL_MS = 50
const BARRIER_TIMEOUT_MS = 1000
/** How often the leader tells the voters what it has learned; a new leader repeats what was learned since. */
const SHARE_ESTIMATES_MS = 1500
const ESTIMATES_MESSAGE = 'workflow.estimates'

export interface WorkflowCoordinatorOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  work: WorkMeter
  network: Network
  log: AgreedLog
  availabilityZone: string
  serviceBound: ServiceBound
  /** Names this process; a restart of the host has another name. */
  process: string
  client: WorkerClient
  hosts: HostClient
  /** For so long nobody else may give orders for a host after one of its holder. */
  hostLeaseMs: number
  advice: AdviceClient
}

export interface WorkflowCoordinator {
  getTerm (): Term | undefined
  stop (): Promise<void>
}

/** Keeps sessions with the workers of this host, coordinates all workflows while it leads the log, and answers entry hosts. */
export function createWorkflowCoordinator (options: WorkflowCoordinatorOptions): WorkflowCoordinator {
  const { clock, logger, log, network } = options
  const stopping = new AbortController()
  let term: Term | undefined
  const getTerm = (): Term | undefined => term

  const sharing = createSharing()
  let sharedAt = -Infinity

  /** Lets the other voters know what they would otherwise have to learn again when one of them leads. */
  const shareEstimates = (): void => {
    if (clock.now() - sharedAt < SHARE_ESTIMATES_MS) return
    sharedAt = clock.now()
    const estimates = sharing.getEstimates()
    log.status().voters.filter((voter) => voter !== network.self).forEach((voter) => {
      network.request(voter, ESTIMATES_MESSAGE, estimates, clock.now() + SHARE_ESTIMATES_MS)
    })
  }
  network.handle(ESTIMATES_MESSAGE, async (_from, body) => {
    if (term === undefined) sharing.mergeEstimates(body as SharingEstimates, clock.now())
    return {}
  })

  const service = createWorkflowService({ ...options, getTerm })
  network.handle(WORKFLOW_MESSAGE, async (from, body): Promise<WorkflowReply> => {
    const request = workflowRequestSchema.safeParse(body)
    if (request.success) return service.handle(request.data)
    logger.warn('workflow.request-malformed', { from })
    return { kind: 'invalid', message: 'the request between hosts is malformed' }
  })

  const exchange = (from: string, request: SessionsRequest): SessionsReply => term?.exchange(from, request) ?? { kind: 'not-leader' }
  network.handle(SESSIONS_MESSAGE, async (from, body) => exchange(from, body as SessionsRequest))
  const sessionHost = createSessionHost({ ...options, exchangeHere: (request) => exchange(network.self, request) })

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

  /** Orders are given only once everything that earlier leaders recorded is known here. */
  const openTerm = async (fence: number): Promise<void> => {
    const current = await log.readBarrier(clock.now() + BARRIER_TIMEOUT_MS)
    const status = log.status()
    if (stopping.signal.aborted || !current.ok || status.role !== 'leader' || status.term !== fence) return
    term = startTerm({ ...options, self: network.self, sharing, fence })
  }

  const loop = runTerms().catch((error: unknown) => {
    logger.error('workflow.coordinator-failed', { message: error instanceof Error ? error.stack : String(error) })
  })

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
