import { setMaxListeners } from 'node:events'
import { isDeepStrictEqual } from 'node:util'
import type { Clock, Logger, Network } from '../../common/index.js'
import type { ReplicatedLog, Worker, ZoneAuthority } from '../../state/index.js'
import { compareTerms, formatTerm, GRANT_MS } from '../authority/terms.js'
import { createWitnesses } from '../authority/witnesses.js'
import type { Placement } from '../placement/types.js'
import { createActiveTerm, type ActiveTerm, type PolicyInForce } from './activeTerm.js'
import type { Eviction } from './dispatcher.js'
import type { CoordinatorTerm, ExchangeReply, ExchangeRequest } from './exchange.js'
import type { JournalMember } from './journalMember.js'
import { TASK_LEASE_MS, WORKER_LOST_MS } from './leases.js'
import { createNoteReports, readJournal, type RecoveredJournal } from './takeover.js'
import { startWorkerLink, type WorkerClient, type WorkerLink } from './workerLink.js'
import type { Session, SessionPhase } from './sessionTypes.js'
import { WOKEN } from './waking.js'

const TICK_MS = 250
/** A claim that meets a higher term is given up after this time, ms. */
const CLAIM_TIMEOUT_MS = 3_000
const FLUSH_TIMEOUT_MS = 1_000
/** A claim that has not succeeded by then goes on at the pace of the regular exchange, ms. */
const FREQUENT_CLAIM_MS = 6_000
/** A worker that was silent for this long leaves the witness set; it announces itself when it returns, ms. */
const REMOVE_SILENT_MS = 600_000
const REMOVE_TIMEOUT_MS = 2_000

export interface SessionOptions {
  clock: Clock
  network: Network
  logger: Logger
  log: ReplicatedLog
  zone: ZoneAuthority
  term: CoordinatorTerm
  local: JournalMember
  client: WorkerClient
  createPlacement: () => Placement
  onEviction (eviction: Eviction): void
  getPolicy: () => PolicyInForce
  /** Called once, when this host no longer coordinates in this term. */
  onEnd (): void
  /** Another coordinator's higher term was seen. */
  onTerm (term: CoordinatorTerm): void
}

interface WorkerState {
  controller: AbortController
  addedAt: number
  link: WorkerLink
  seen: { incarnation: string, reply: number } | undefined
  /** When the last reply of an exchange under the active lease was received. */
  heardAt: number
  up: boolean
  noted: number
  leaving: boolean
  removing: boolean
}

export function startSession (options: SessionOptions): Session {
  const { clock, log, zone, term, logger, network } = options
  const controller = new AbortController()
  const { signal } = controller
  // Each worker and each peer has a loop that listens.
  setMaxListeners(0, signal)
  const startedAt = clock.now()
  const workers = new Map<string, WorkerState>()
  // Of each worker, also of one whose link was closed and opened again: a worker refuses a number that it has seen.
  const sequences = new Map<string, number>()
  const witnesses = createWitnesses([zone.witnesses])
  const notes = createNoteReports()
  let phase: SessionPhase = 'claiming'
  let active: ActiveTerm | undefined
  let grantMs = GRANT_MS
  let activeAt = 0
  let wakeTick = new AbortController()

  const finish = (reason: string): void => {
    if (phase === 'ended') return
    phase = 'ended'
    logger.info('coordinator-end', { term: formatTerm(term), reason })
    controller.abort(WOKEN)
    wakeTick.abort(WOKEN)
    options.onEnd()
  }

  const isActive = (): boolean => phase === 'active' && witnesses.isHeld(clock.now())

  /** Workers that were removed are confirmed to be gone, so they count in no set. */
  const updateSets = (): void => {
    const isRegistered = (worker: string): boolean => log.state().workers[worker] !== undefined
    const earlier = (zone.unsettled ?? []).map((item) => item.witnesses.filter(isRegistered))
    witnesses.setSets([zone.witnesses.filter(isRegistered), ...earlier])
  }

  const compose = (worker: string): ExchangeRequest => {
    const state = workers.get(worker) as WorkerState
    const sequence = (sequences.get(worker) ?? 0) + 1
    sequences.set(worker, sequence)
    const isActing = isActive() && active !== undefined
    const { commands, acknowledged } = isActing ? (active as ActiveTerm).attempts.composeCommands(worker) : { commands: [], acknowledged: [] }
    const note = active?.writer.getNote()
    return {
      term,
      sequence,
      grantMs,
      taskLeaseMs: TASK_LEASE_MS,
      ...(isActing && state.seen !== undefined ? { seen: state.seen, commands, acknowledged } : { commands: [], acknowledged: [] }),
      ...(note === undefined || state.noted >= note.version ? {} : { journal: note })
    }
  }

  const handleReply = (worker: string, reply: ExchangeReply, request: ExchangeRequest, sentAt: number): void => {
    const state = workers.get(worker)
    if (state === undefined) return
    notes.record(worker, reply.journal)
    if (!reply.granted) {
      witnesses.removeGrant(worker)
      state.seen = undefined
      if (reply.promised !== undefined && compareTerms(reply.promised, term) > 0) checkOverruled(reply.promised)
      return
    }
    state.noted = reply.noted
    if (request.grantMs > 0) witnesses.recordGrant(worker, sentAt, reply.noted)
    active?.writer.update()
    if (!isActive() || active === undefined || request.grantMs === 0) return
    const isNew = !state.up
    state.seen = { incarnation: reply.incarnation, reply: reply.reply }
    state.heardAt = clock.now()
    state.up = true
    state.leaving = reply.leaving
    if (isNew) active.dispatcher.addWorker(state.link.worker)
    active.attempts.handleReply(worker, reply, request)
    active.dispatcher.observeReply(worker, reply)
    if (isNew || reply.outcomes.length > 0) wakeTick.abort(WOKEN)
  }

  /** A single worker may hold a promise to a coordinator that has failed since, so it does not end this term alone. */
  const checkOverruled = (promised: CoordinatorTerm): void => {
    options.onTerm(promised)
    if (witnesses.isHeld(clock.now())) return
    if (phase === 'active' || clock.now() > startedAt + CLAIM_TIMEOUT_MS) finish('a higher term holds the workers')
  }

  const addWorker = (worker: Worker): void => {
    if (workers.has(worker.id)) return
    const state: WorkerState = {
      controller: new AbortController(),
      addedAt: clock.now(),
      seen: undefined,
      heardAt: clock.now(),
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
      signal: AbortSignal.any([signal, state.controller.signal]),
      isClaiming: () => (phase !== 'active' || state.seen === undefined) && clock.now() < state.addedAt + FREQUENT_CLAIM_MS,
      compose: () => compose(worker.id),
      onReply: (reply, request, sentAt) => handleReply(worker.id, reply, request, sentAt)
    })
  }

  const syncWorkers = (): void => {
    const registered = log.state().workers
    Object.values(registered)
      .filter((worker) => worker.availabilityZone === zone.availabilityZone)
      .forEach((worker) => {
        // A worker that returned elsewhere or with another capacity starts over; what ran on it is found by its report.
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
    state.controller.abort(WOKEN)
    workers.delete(id)
    witnesses.removeGrant(id)
    if (state.up) active?.dispatcher.removeWorker(id)
  }

  /**
   * Workers that are gone would outnumber the others in the witness set one day. A coordinator that holds its lease
   * may remove them: its majority does not include them, so it is a majority of the smaller set too.
   */
  const removeGoneWorkers = (): void => {
    workers.forEach((state, id) => {
      const isSilent = clock.now() - state.heardAt > REMOVE_SILENT_MS
      const hasLeft = state.leaving && active?.attempts.isIdle(id) === true
      if ((!isSilent && !hasLeft) || state.removing || log.state().workers[id] === undefined) return
      state.removing = true
      logger.info('worker-remove', { worker: id, reason: hasLeft ? 'leaving' : 'silent' })
      log.propose({ kind: 'worker.remove', worker: id }, clock.now() + REMOVE_TIMEOUT_MS).then(() => { state.removing = false })
    })
  }

  const activate = async (recovered: RecoveredJournal): Promise<void> => {
    const { state, complete } = recovered
    if (!complete) {
      state.incomplete = true
      // Whatever these entries say may be out of date, so only a worker's own report confirms them.
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
      onDemand: () => wakeTick.abort(WOKEN),
      areWorkersKnown: () => [...workers.values()].every((worker) => worker.seen !== undefined),
      findWorker: (id) => {
        const worker = workers.get(id)
        return worker?.seen === undefined || !worker.up ? undefined : { ...worker.link.worker, incarnation: worker.seen.incarnation, leaving: worker.leaving }
      }
    })
    const { writer, demand, dispatcher, summaries } = current
    active = current
    while (!signal.aborted && !writer.isWritable()) {
      writer.update()
      await clock.sleep(10, signal)
    }
    if (signal.aborted) return
    phase = 'active'
    activeAt = clock.now()
    workers.forEach((worker) => {
      worker.heardAt = activeAt
      worker.link.wake()
    })
    logger.info('coordinator-active', { term: formatTerm(term), complete, tasks: state.entries.size })
    while (!signal.aborted) {
      wakeTick = new AbortController()
      syncWorkers()
      updateSets()
      writer.update()
      if (isActive()) {
        demand.update()
        loseSilentWorkers()
        removeGoneWorkers()
        dispatcher.run()
        summaries.flush()
      }
      await clock.sleep(TICK_MS, wakeTick.signal)
      // Several replies within a few milliseconds share one pass.
      await clock.sleep(5, signal)
    }
  }

  const loseSilentWorkers = (): void => {
    // Workers that the journal names and the log does not.
    if (clock.now() > activeAt + WORKER_LOST_MS) active?.table.listWorkers().filter((id) => !workers.has(id)).forEach((id) => active?.attempts.loseWorker(id))
    workers.forEach((state, id) => {
      if (clock.now() - state.heardAt <= WORKER_LOST_MS) return
      if (state.up) logger.warn('worker-lost', { worker: id })
      active?.attempts.loseWorker(id)
      if (state.up) active?.dispatcher.removeWorker(id)
      state.up = false
      state.seen = undefined
    })
  }

  const run = async (): Promise<void> => {
    updateSets()
    syncWorkers()
    while (!signal.aborted && !witnesses.isHeld(clock.now())) {
      await clock.sleep(20, signal)
      syncWorkers()
      updateSets()
    }
    if (signal.aborted) return
    phase = 'recovering'
    const recovered = await readJournal({
      clock,
      network,
      logger,
      term,
      notes,
      signal,
      local: options.local,
      group: zone.journalGroup,
      isFirst: zone.witnessed !== true && term.round === 0
    })
    if (signal.aborted) return
    if (recovered === undefined) return finish('the journal group holds a higher term')
    await activate(recovered)
  }
  run()

  const release = async (): Promise<void> => {
    const deadline = clock.now() + FLUSH_TIMEOUT_MS
    while ((active?.writer.countPending() ?? 0) > 0 && clock.now() < deadline) await clock.sleep(10, signal)
    if (signal.aborted) return
    grantMs = 0
    phase = 'ended'
    const { client } = options
    const requests = [...workers].map(([id, state]) => client.exchange(state.link.worker.url, compose(id), clock.now() + 500))
    controller.abort(WOKEN)
    wakeTick.abort(WOKEN)
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
