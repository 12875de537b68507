import type { Clock, Logger, Network } from '../../common/index.js'
import type { AgreedLog } from '../../state/index.js'
import { createClockWatch } from './clockWatch.js'
import { SESSIONS_MESSAGE, type ReportedRefusal, type ReportedRun, type ReportedStart, type SessionsReply, type SessionsRequest, type StopOrder, type WorkerReport } from './sessionMessages.js'
import type { Run, Session } from './sessionState.js'
import { EXCHANGE_TIMEOUT_MS, IDLE_EXCHANGE_MS, REPORT_WORKER_MS, SESSION_AUTHORITY_MS } from './timing.js'

export interface LeaderExchangeOptions {
  clock: Clock
  logger: Logger
  network: Network
  log: AgreedLog
  availabilityZone: string
  /** Names this process. */
  process: string
  sessions: ReadonlyMap<string, Session>
  /** The exchange with this host itself while it leads. */
  exchangeHere (request: SessionsRequest): SessionsReply
  /** The leader wants a run to end. */
  stopRun (session: Session, run: Run, reason: string): void
}

/** What a host that keeps sessions has from the leader, and what it tells it. */
export interface LeaderExchange {
  /** The term of the leader for whom this host gives orders. */
  getFence (): number
  /** False while it is not sure that a leader wants this host to give orders. */
  isActive (): boolean
  /** The latest time at which a majority surely followed that leader. */
  getAuthorityAt (): number
  /** The last entry that was applied before the first grant of this process; an earlier process may have acted on those. */
  getGrantedFrom (): number
  /** A worker has seen orders of a later leader. */
  dropAuthority (): void
  /** Tells the leader of a worker with the next exchange, `isUrgent` even if it was told a moment ago. */
  addNews (worker: string, isUrgent: boolean): void
  addStart (start: ReportedStart): void
  addRefusal (refusal: ReportedRefusal): void
  removeNews (worker: string): void
  /** Asks the leader from now on to give this host's workers to others. */
  announceLeave (): void
  /** Exchanges news and authority with the leader where either is due. */
  sync (): Promise<void>
}

/** Exchanges with the leader: reports go there, authority and stops come back. */
export function createLeaderExchange (options: LeaderExchangeOptions): LeaderExchange {
  const { clock, logger, log, network, sessions } = options
  const watch = createClockWatch(clock)
  /** Workers with news for the leader, and when each was last reported. */
  const news = new Set<string>()
  const reportedAt = new Map<string, number>()
  const grant = { leader: undefined as string | undefined, fence: 0, authorityAt: -Infinity, receivedAt: -Infinity, clockMark: 0, lastStop: 0 }
  let started: ReportedStart[] = []
  let refused: ReportedRefusal[] = []
  let grantedFrom = Infinity
  let isLeaving = false

  // A host that was suspended cannot tell by its clock how old its authority is.
  const isActive = (): boolean => clock.now() - grant.authorityAt < SESSION_AUTHORITY_MS && !watch.hasJumped(grant.clockMark)

  /** Everything that the leader has not been told; a worker that reports often is reported at intervals. */
  const takeNews = (): Pick<SessionsRequest, 'reports' | 'started' | 'refused'> => {
    const now = clock.now()
    const due = [...news].filter((worker) => now - (reportedAt.get(worker) ?? -Infinity) >= REPORT_WORKER_MS)
    const reports = due.flatMap((worker) => {
      news.delete(worker)
      reportedAt.set(worker, now)
      const session = sessions.get(worker)
      return session === undefined ? [] : [createReport(session, now)]
    })
    const taken = { reports, started, refused }
    started = []
    refused = []
    return taken
  }

  const receiveStops = (stops: readonly StopOrder[]): void => stops.forEach(([number, worker, task, attempt, reason]) => {
    if (number <= grant.lastStop) return
    grant.lastStop = number
    const session = sessions.get(worker)
    const run = session?.runs.get(task)
    if (session !== undefined && run?.attempt === attempt && run.stopReason === undefined) options.stopRun(session, run, reason)
  })

  const receiveGrant = (leader: string, { fence, authorityAgeMs, stops }: Extract<SessionsReply, { kind: 'granted' }>, sentAt: number, clockMark: number): void => {
    if (leader !== grant.leader || fence !== grant.fence) {
      logger.info('sessions.granted', { leader, fence, sessions: sessions.size })
      // Another leader knows nothing yet of what was reported, and numbers its stops anew.
      sessions.forEach((_session, worker) => news.add(worker))
      reportedAt.clear()
      grant.lastStop = 0
    }
    const wasActive = isActive()
    grantedFrom = Math.min(grantedFrom, log.status().appliedIndex)
    Object.assign(grant, { leader, fence, clockMark, receivedAt: clock.now(), authorityAt: sentAt - authorityAgeMs })
    receiveStops(stops)
    if (!wasActive) sessions.forEach((session) => session.wake.notify())
  }

  const send = async (leader: string): Promise<void> => {
    const sentAt = clock.now()
    const clockMark = watch.getMark()
    const taken = takeNews()
    const request: SessionsRequest = {
      availabilityZone: options.availabilityZone,
      process: options.process,
      fence: grant.fence,
      appliedIndex: log.status().appliedIndex,
      lastStop: grant.lastStop,
      isLeaving,
      grantAgeMs: leader === grant.leader ? sentAt - grant.receivedAt : null,
      ...taken
    }
    const result = leader === network.self ? undefined : await network.request(leader, SESSIONS_MESSAGE, request, sentAt + EXCHANGE_TIMEOUT_MS)
    const reply = result === undefined ? options.exchangeHere(request) : result.ok ? result.val as SessionsReply : undefined
    if (reply?.kind === 'granted') return receiveGrant(leader, reply, sentAt, clockMark)
    // What the leader may not have heard is told again.
    taken.reports.forEach(({ worker }) => news.add(worker))
    started = taken.started.concat(started)
    refused = taken.refused.concat(refused)
  }

  return {
    getFence: () => grant.fence,
    isActive,
    getAuthorityAt: () => grant.authorityAt,
    getGrantedFrom: () => grantedFrom,
    dropAuthority: () => { grant.authorityAt = -Infinity },
    addNews: (worker, isUrgent) => {
      news.add(worker)
      if (isUrgent) reportedAt.delete(worker)
    },
    addStart: (start) => { started.push(start) },
    addRefusal: (refusal) => { refused.push(refusal) },
    removeNews: (worker) => {
      news.delete(worker)
      reportedAt.delete(worker)
    },
    announceLeave: () => { isLeaving = true },
    sync: async () => {
      const { leader } = log.status()
      const isDue = news.size > 0 || started.length > 0 || refused.length > 0 || clock.now() - grant.receivedAt >= IDLE_EXCHANGE_MS
      if (leader !== undefined && isDue) await send(leader)
    }
  }
}

function createReport (session: Session, now: number): WorkerReport {
  const runs = [...session.runs.values()].flatMap(({ task, attempt, row, startedAt }): ReportedRun[] =>
    row === undefined ? [] : [[task, attempt, row.percent, row.reading ?? null, Math.round(now - (startedAt ?? now))]])
  return { worker: session.worker, bornAt: session.bornAt, reachable: session.reachable, hasOverdueService: session.hasOverdueService, readAgoMs: session.readAt === -Infinity ? null : Math.round(now - session.readAt), runs, strays: [...session.strays.keys()] }
}
