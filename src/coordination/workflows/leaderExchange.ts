import type { Clock, Logger, Network } from '../../common/index.js'
import type { ReplicatedLog } from '../../state/index.js'
import { createClockJumpDetector } from './clockJumpDetector.js'
import { SESSIONS_MESSAGE, type ReportedRefusal, type ReportedRun, type ReportedStart, type SessionsReply, type SessionsRequest, type StopOrder, type WorkerReport } from './sessionMessages.js'
import type { Run, Session } from './sessionState.js'
import { EXCHANGE_TIMEOUT_MS, IDLE_EXCHANGE_INTERVAL_MS, MIN_REPORT_INTERVAL_MS, MAX_SESSION_AUTHORITY_AGE_MS } from './timing.js'

/** Runs in the reports of one request, unless a single worker has more. The other workers follow in the next requests. */
const MAX_REPORTED_RUNS = 10_000

export interface LeaderExchangeOptions {
  clock: Clock
  logger: Logger
  network: Network
  log: ReplicatedLog
  availabilityZone: string
  /** Identifies this process; a restarted host has a new one. */
  process: string
  sessions: ReadonlyMap<string, Session>
  /** Handles the exchange in this process, without the network, while this host is the leader. */
  exchangeLocally (request: SessionsRequest): SessionsReply
  /** Stops a run on behalf of the leader. */
  stopRun (session: Session, run: Run, reason: string): void
}

/** The connection of a session host to the leader: the authority that it holds and the reports that wait to be sent. */
export interface LeaderExchange {
  /** The term of the leader on whose behalf this host gives orders. */
  getFence (): number
  /** False while this host has no current authority from a leader. */
  isActive (): boolean
  /** The latest time at which a majority is known to have followed that leader. */
  getAuthorityAt (): number
  /** Index of the last entry that was applied before the first grant of this process. An earlier process of this host may have acted on the entries up to that index. */
  getFirstGrantIndex (): number
  /** Gives up the authority, because a worker has seen orders of a later leader. */
  dropAuthority (): void
  /** Reports a worker to the leader with the next exchange; unless `isUrgent`, not sooner than `MIN_REPORT_INTERVAL_MS` after its last report. */
  queueReport (worker: string, isUrgent: boolean): void
  /** Resolves once the leader has received the next report on the worker, at the latest after `EXCHANGE_TIMEOUT_MS`. */
  waitForReport (worker: string): Promise<void>
  addStart (start: ReportedStart): void
  addRefusal (refusal: ReportedRefusal): void
  dropReport (worker: string): void
  /** From now on asks the leader with each exchange to assign this host's workers to other hosts. */
  announceLeave (): void
  /** Sends pending reports and renews the authority if either is due. */
  sync (): Promise<void>
}

/**
 * Creates the periodic exchange with the leader: the host sends reports and receives stop orders and authority, which is
 * the permission to give orders. Authority lasts for `MAX_SESSION_AUTHORITY_AGE_MS` after a majority last followed the leader.
 */
export function createLeaderExchange (options: LeaderExchangeOptions): LeaderExchange {
  const { clock, logger, log, network, sessions } = options
  const jumpDetector = createClockJumpDetector(clock)
  /** Workers whose state has changed since their last report. */
  const unreported = new Set<string>()
  const reportedAt = new Map<string, number>()
  /** By worker, what waits for its next report. */
  const reportWaiters = new Map<string, AbortController[]>()
  const grant = { leader: undefined as string | undefined, fence: 0, authorityAt: -Infinity, receivedAt: -Infinity, clockMark: 0, lastStop: 0 }
  let started: ReportedStart[] = []
  let refused: ReportedRefusal[] = []
  let firstGrantIndex = Infinity
  let isLeaving = false

  // The monotonic clock does not count the time of a suspension, so after one the age of the authority is unknown.
  const isActive = (): boolean => clock.now() - grant.authorityAt < MAX_SESSION_AUTHORITY_AGE_MS && !jumpDetector.hasJumped(grant.clockMark)

  /** Removes and returns everything that waits to be sent. Workers reported less than `MIN_REPORT_INTERVAL_MS` ago stay pending. */
  const takePending = (): Pick<SessionsRequest, 'reports' | 'started' | 'refused'> => {
    const now = clock.now()
    const due = [...unreported].filter((worker) => now - (reportedAt.get(worker) ?? -Infinity) >= MIN_REPORT_INTERVAL_MS)
    let runs = 0
    const reports = due.flatMap((worker) => {
      const session = sessions.get(worker)
      if (runs > 0 && runs + countRuns(session) > MAX_REPORTED_RUNS) return []
      runs += countRuns(session)
      unreported.delete(worker)
      reportedAt.set(worker, now)
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
      // A new leader has none of the earlier reports and numbers its stops from the start.
      sessions.forEach((_session, worker) => unreported.add(worker))
      reportedAt.clear()
      grant.lastStop = 0
    }
    const wasActive = isActive()
    firstGrantIndex = Math.min(firstGrantIndex, log.status().appliedIndex)
    Object.assign(grant, { leader, fence, clockMark, receivedAt: clock.now(), authorityAt: sentAt - authorityAgeMs })
    receiveStops(stops)
    if (!wasActive) sessions.forEach((session) => session.wake.notify())
  }

  const send = async (leader: string): Promise<void> => {
    const sentAt = clock.now()
    const clockMark = jumpDetector.getMark()
    const taken = takePending()
    // What begins to wait while the request is under way waits for a later report.
    const waiters = taken.reports.flatMap(({ worker }) => reportWaiters.get(worker) ?? [])
    const request: SessionsRequest = {
      availabilityZone: options.availabilityZone,
      process: options.process,
      fence: grant.fence,
      appliedIndex: log.status().appliedIndex,
      lastStop: grant.lastStop,
      isLeaving,
      knowsCopies: true,
      grantAgeMs: leader === grant.leader ? sentAt - grant.receivedAt : null,
      ...taken
    }
    const result = leader === network.self ? undefined : await network.request(leader, SESSIONS_MESSAGE, request, sentAt + EXCHANGE_TIMEOUT_MS)
    const reply = result === undefined ? options.exchangeLocally(request) : result.ok ? result.val as SessionsReply : undefined
    if (reply?.kind === 'granted') {
      waiters.forEach((waiter) => waiter.abort())
      return receiveGrant(leader, reply, sentAt, clockMark)
    }
    // The leader may not have received the request, so its content is sent again.
    taken.reports.forEach(({ worker }) => unreported.add(worker))
    started = taken.started.concat(started)
    refused = taken.refused.concat(refused)
  }

  return {
    getFence: () => grant.fence,
    isActive,
    getAuthorityAt: () => grant.authorityAt,
    getFirstGrantIndex: () => firstGrantIndex,
    dropAuthority: () => { grant.authorityAt = -Infinity },
    queueReport: (worker, isUrgent) => {
      unreported.add(worker)
      if (isUrgent) reportedAt.delete(worker)
    },
    waitForReport: async (worker) => {
      const waiter = new AbortController()
      reportWaiters.set(worker, [...reportWaiters.get(worker) ?? [], waiter])
      await clock.sleep(EXCHANGE_TIMEOUT_MS, waiter.signal)
      if (!waiter.signal.aborted) logger.warn('sessions.report-unconfirmed', { worker })
      const others = reportWaiters.get(worker)?.filter((other) => other !== waiter) ?? []
      if (others.length > 0) reportWaiters.set(worker, others)
      else reportWaiters.delete(worker)
    },
    addStart: (start) => { started.push(start) },
    addRefusal: (refusal) => { refused.push(refusal) },
    dropReport: (worker) => {
      unreported.delete(worker)
      reportedAt.delete(worker)
    },
    announceLeave: () => { isLeaving = true },
    sync: async () => {
      const { leader } = log.status()
      const isDue = unreported.size > 0 || started.length > 0 || refused.length > 0 || clock.now() - grant.receivedAt >= IDLE_EXCHANGE_INTERVAL_MS
      if (leader !== undefined && isDue) await send(leader)
    }
  }
}

function countRuns (session: Session | undefined): number {
  return session === undefined ? 0 : session.runs.size + session.strays.size
}

function createReport (session: Session, now: number): WorkerReport {
  const runs = [...session.runs.values()].flatMap(({ task, attempt, status, startedAt }): ReportedRun[] =>
    status === undefined ? [] : [[task, attempt, status.percent, status.reading ?? null, Math.round(now - (startedAt ?? now))]])
  return { worker: session.worker, bornAt: session.bornAt, reachable: session.reachable, hasOverdueService: session.hasOverdueService, readAgoMs: session.readAt === -Infinity ? null : Math.round(now - session.readAt), runs, strays: [...session.strays.keys()] }
}
