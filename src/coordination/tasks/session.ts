import { setMaxListeners } from 'node:events'
import { isDeepStrictEqual } from 'node:util'
import { describeError, type Clock, type Logger, type Network } from '../../common/index.js'
import type { ReplicatedLog, Worker, ZoneAuthority } from '../../state/index.js'
import { compareTerms, formatTerm, GRANT_MS } from '../authority/terms.js'
import { createWitnesses } from '../authority/witnesses.js'
import type { Placement } from '../placement/types.js'
import { createActiveTerm, type ActiveTerm, type PolicyInForce } from './activeTerm.js'
import type { Eviction } from './dispatcher.js'
import type { CoordinatorTerm, ExchangeReply, ExchangeRequest } from './exchange.js'
import type { JournalReplica } from './journalReplica.js'
import { TASK_LEASE_MS, WORKER_LOST_MS } from './leases.js'
import { createInSyncSetReports, readJournal, type RecoveredJournal } from './journalRecovery.js'
import { startWorkerLink, type WorkerClient, type WorkerLink } from './workerLink.js'
import type { Session, SessionPhase } from './sessionTypes.js'
import { WAKE_REASON } from './waking.js'

const TICK_MS = 250
/** A claim that has no majority after this time ends as soon as a worker reports a higher term, ms. */
const CLAIM_TIMEOUT_MS = 3_000
const FLUSH_TIMEOUT_MS = 1_000
/** A claim sends frequent exchanges to each worker for this long, then continues at the regular interval, ms. */
const FREQUENT_CLAIM_DURATION_MS = 6_000
/** A worker that has not replied for this long is removed from the witness set; it registers again when it returns, ms. */
const REMOVE_UNREACHABLE_MS = 600_000
const REMOVE_TIMEOUT_MS = 2_000

export interface SessionOptions {
  clock: Clock
  network: Network
  logger: Logger
  log: ReplicatedLog
  zone: ZoneAuthority
  term: CoordinatorTerm
  localReplica: JournalReplica
  client: WorkerClient
  createPlacement: () => Placement
  onEviction (eviction: Eviction): void
  getPolicy: () => PolicyInForce
  /** Called once when this term ends before it is released. */
  onEnd (): void
  /** A worker or a journal replica reported a higher term. */
  onTerm (term: CoordinatorTerm): void
}

interface WorkerState {
  controller: AbortController
  addedAt: number
  link: WorkerLink
  /** The last reply under this term's active lease; undefined until there is one and after the worker refused the lease or was lost. */
  seen: { incarnation: string, reply: number } | undefined
  /** Time of the last reply while the coordinator held its lease; before the first, time of the link's start or of the activation. */
  repliedAt: number
  up: boolean
  noted: number
  leaving: boolean
  removing: boolean
}

export function startSession (options: SessionOptions): Session {
  const { clock, log, zone, term, logger, network } = options
  const controller = new AbortController()
  const { signal } = controller
  // Each worker and each journal peer adds a listener, which exceeds the default limit of 10.
  setMaxListeners(0, signal)
  const startedAt = clock.now()
  const workers = new Map<string, WorkerState>()
  // Last request number by worker. Kept when a link is closed and opened again, since a worker refuses a number that it has seen.
  const sequences = new Map<string, number>()
  const witnesses = createWitnesses([zone.witnesses])
  const inSyncSetReports = createInSyncSetReports()
  let phase: SessionPhase = 'claiming'
  let active: ActiveTerm | undefined
  let grantMs = GRANT_MS
  let activeAt = 0
  let wakeTick = new AbortController()

  const finish = (reason: string): void => {
    if (phase === 'ended') return
    phase = 'ended'
    logger.info('coordinator-end', { term: formatTerm(term), reason })
    controller.abort(WAKE_REASON)
    wakeTick.abort(WAKE_REASON)
    options.onEnd()
  }

  const isActive = (): boolean => phase === 'active' && witnesses.hasLease(clock.now())

  /** A worker that was removed from the replicated log is known to be gone, so it counts in no witness set, not even in those of earlier epochs. */
  const updateWitnessSets = (): void => {
    const isRegistered = (worker: string): boolean => log.state().workers[worker] !== undefined
    const earlier = (zone.unsettled ?? []).map((item) => item.witnesses.filter(isRegistered))
    witnesses.setWitnessSets([zone.witnesses.filter(isRegistered), ...earlier])
  }

  const compose = (worker: string): ExchangeRequest => {
    const state = workers.get(worker) as WorkerState
    const sequence = (sequences.get(worker) ?? 0) + 1
    sequences.set(worker, sequence)
    const isActing = isActive() && active !== undefined
    const { commands, acknowledged } = isActing ? (active as ActiveTerm).attempts.composeCommands(worker) : { commands: [], acknowledged: [] }
    const inSyncSet = active?.writer.getInSyncSet()
    return {
      term,
      sequence,
      grantMs,
      taskLeaseMs: TASK_LEASE_MS,
      ...(isActing && state.seen !== undefined ? { seen: state.seen, commands, acknowledged } : { commands: [], acknowledged: [] }),
      ...(inSyncSet === undefined || state.noted >= inSyncSet.version ? {} : { journal: inSyncSet })
    }
  }

  const handleReply = (worker: string, reply: ExchangeReply, request: ExchangeRequest, sentAt: number): void => {
    const state = workers.get(worker)
    if (state === undefined) return
    inSyncSetReports.record(worker, reply.journal)
    if (!reply.granted) {
      witnesses.removeGrant(worker)
      state.seen = undefined
      if (reply.promised !== undefined && compareTerms(reply.promised, term) > 0) handleHigherTerm(reply.promised)
      return
    }
    state.noted = reply.noted
    if (request.grantMs > 0) witnesses.recordGrant(worker, sentAt, reply.noted)
    active?.writer.update()
    if (!isActive() || active === undefined || request.grantMs === 0) return
    const isNew = !state.up
    state.seen = { incarnation: reply.incarnation, reply: reply.reply }
    state.repliedAt = clock.now()
    state.up = true
    state.leaving = reply.leaving
    if (isNew) active.dispatcher.addWorker(state.link.worker)
    active.attempts.handleReply(worker, reply, request)
    active.dispatcher.observeReply(worker, reply)
    if (isNew || reply.outcomes.length > 0) wakeTick.abort(WAKE_REASON)
  }

  /** A single worker may have granted its lease to a coordinator that has failed since, so the term ends only if it has no majority either. */
  const handleHigherTerm = (promised: CoordinatorTerm): void => {
    options.onTerm(promised)
    if (witnesses.hasLease(clock.now())) return
    if (phase === 'active' || clock.now() > startedAt + CLAIM_TIMEOUT_MS) finish('a higher term holds the workers')
  }

  const addWorker = (worker: Worker): void => {
    if (workers.has(worker.id)) return
    const state: WorkerState = {
      controller: new AbortController(),
      addedAt: clock.now(),
      seen: undefined,
      repliedAt: clock.now(),
      up: false,
      noted: 0,
      leaving: false,
      removing: false,
      link: { worker, wake: () => {} }
    }
    workers.set(worker.id, state)
    state.link = startWorkerLink({
      worker,
      client: options.client,
      clock,
      logger,
      signal: AbortSignal.any([signal, state.controller.signal]),
      isClaiming: () => (phase !== 'active' || state.seen === undefined) && clock.now() < state.addedAt + FREQUENT_CLAIM_DURATION_MS,
      compose: () => compose(worker.id),
      onReply: (reply, request, sentAt) => handleReply(worker.id, reply, request, sentAt)
    })
  }

  const syncWorkers = (): void => {
    const registered = log.state().workers
    Object.values(registered)
      .filter((worker) => worker.availabilityZone === zone.availabilityZone)
      .forEach((worker) => {
        // A worker that registered another address or capacity gets a new link; its first reply lists the tasks that run on it.
        const known = workers.get(worker.id)
        if (known !== undefined && !isDeepStrictEqual(known.link.worker, worker)) closeWorker(worker.id, known)
        addWorker(worker)
      })
    workers.forEach((state, id) => {
      if (registered[id] !== undefined) return
      const isIdle = active === undefined || active.table.listOn(id).length === 0
      if (isIdle) closeWorker(id, state)
    })
  }

  const closeWorker = (id: string, state: WorkerState): void => {
    state.controller.abort(WAKE_REASON)
    workers.delete(id)
    witnesses.removeGrant(id)
    if (state.up) active?.dispatcher.removeWorker(id)
  }

  /**
   * Removes workers that have left or have not replied for a long time, since they could otherwise come to outnumber
   * the others in the witness set. This is safe while the coordinator holds its lease: its majority does not include
   * them, so it is a majority of the smaller set too.
   */
  const removeDepartedWorkers = (): void => {
    workers.forEach((state, id) => {
      const isUnreachable = clock.now() - state.repliedAt > REMOVE_UNREACHABLE_MS
      const hasLeft = state.leaving && active?.attempts.isIdle(id) === true
      if ((!isUnreachable && !hasLeft) || state.removing || log.state().workers[id] === undefined) return
      state.removing = true
      logger.info('worker-remove', { worker: id, reason: hasLeft ? 'leaving' : 'silent' })
      log.propose({ kind: 'worker.remove', worker: id }, clock.now() + REMOVE_TIMEOUT_MS).then(() => { state.removing = false })
    })
  }

  const activate = async (recovered: RecoveredJournal): Promise<void> => {
    const { state, complete } = recovered
    if (!complete) {
      state.incomplete = true
      // These entries may be out of date. Because no process has this incarnation, an attempt ends
      // unless the worker's first full list contains it.
      state.entries.forEach((entry) => { if (entry.state !== 'final') entry.incarnation = 'unconfirmed' })
    }
    const current = createActiveTerm({
      ...options,
      state,
      complete,
      signal,
      witnesses,
      onHigherTerm: (promised) => {
        options.onTerm(promised)
        finish('the journal group holds a higher term')
      },
      onStoreFailure: finish,
      wakeWorker: (worker) => workers.get(worker)?.link.wake(),
      onTasksChanged: () => wakeTick.abort(WAKE_REASON),
      haveAllWorkersReported: () => [...workers.values()].every((worker) => worker.seen !== undefined),
      findWorker: (id) => {
        const worker = workers.get(id)
        return worker?.seen === undefined || !worker.up ? undefined : { ...worker.link.worker, incarnation: worker.seen.incarnation, leaving: worker.leaving }
      }
    })
    const { writer, reconciler, dispatcher, summaries } = current
    active = current
    while (!signal.aborted && !writer.isWritable()) {
      writer.update()
      await clock.sleep(10, signal)
    }
    if (signal.aborted) return
    phase = 'active'
    activeAt = clock.now()
    workers.forEach((worker) => {
      worker.repliedAt = activeAt
      worker.link.wake()
    })
    logger.info('coordinator-active', { term: formatTerm(term), complete, tasks: state.entries.size })
    while (!signal.aborted) {
      wakeTick = new AbortController()
      syncWorkers()
      updateWitnessSets()
      writer.update()
      if (isActive()) {
        reconciler.update()
        handleLostWorkers()
        removeDepartedWorkers()
        dispatcher.run()
        summaries.flush()
      }
      await clock.sleep(TICK_MS, wakeTick.signal)
      // Handles replies that arrive within a few milliseconds in one pass.
      await clock.sleep(5, signal)
    }
  }

  const handleLostWorkers = (): void => {
    // The journal may name workers that are not registered in the replicated log. There is no link to them, so their attempts
    // count as lost once every task lease must have expired.
    if (clock.now() > activeAt + WORKER_LOST_MS) active?.table.listWorkers().filter((id) => !workers.has(id)).forEach((id) => active?.attempts.handleWorkerLost(id))
    workers.forEach((state, id) => {
      if (clock.now() - state.repliedAt <= WORKER_LOST_MS) return
      if (state.up) logger.warn('worker-lost', { worker: id })
      active?.attempts.handleWorkerLost(id)
      if (state.up) active?.dispatcher.removeWorker(id)
      state.up = false
      state.seen = undefined
    })
  }

  const run = async (): Promise<void> => {
    updateWitnessSets()
    syncWorkers()
    while (!signal.aborted && !witnesses.hasLease(clock.now())) {
      await clock.sleep(20, signal)
      syncWorkers()
      updateWitnessSets()
    }
    if (signal.aborted) return
    phase = 'recovering'
    const recovered = await readJournal({
      clock,
      network,
      logger,
      term,
      inSyncSetReports,
      signal,
      localReplica: options.localReplica,
      group: zone.journalGroup,
      isFirst: zone.witnessed !== true && term.round === 0
    })
    if (signal.aborted) return
    if (recovered === undefined) return finish('the journal group holds a higher term')
    await activate(recovered)
  }
  // Another term, of this host or another one, recovers what this one can no longer be trusted with.
  run().catch((error: unknown) => {
    logger.error('coordinator-failed', { term: formatTerm(term), message: describeError(error) })
    finish('an unexpected error')
  })

  const release = async (): Promise<void> => {
    const deadline = clock.now() + FLUSH_TIMEOUT_MS
    while ((active?.writer.countPending() ?? 0) > 0 && clock.now() < deadline) await clock.sleep(10, signal)
    if (signal.aborted) return
    grantMs = 0
    phase = 'ended'
    const { client } = options
    const requests = [...workers].map(([id, state]) => client.exchange(state.link.worker.url, compose(id), clock.now() + 500))
    controller.abort(WAKE_REASON)
    wakeTick.abort(WAKE_REASON)
    await Promise.all(requests)
  }

  return {
    term,
    isActive,
    release,
    getPhase: () => phase,
    getLeaseDeadline: () => witnesses.getDeadline(),
    listTasks: (filter) => active?.dispatcher.listTasks(filter) ?? [],
    getTask: (id) => active?.dispatcher.getTask(id),
    countTasks: () => active?.table.specs.size ?? 0,
    drainWorker: (worker, isDraining) => {
      if (active === undefined || !isActive() || !workers.has(worker)) return false
      active.dispatcher.drainWorker(worker, isDraining)
      return true
    },
    countWorkers: () => ({ up: [...workers.values()].filter((worker) => worker.up).length, known: workers.size }),
    getPlacement: () => active?.placement,
    stop: () => finish('stopped')
  }
}
