import type { Resources, TaskOutcome } from '../../state/index.js'
import type { AttemptOutcome, ExchangeReply, ExchangeRequest, FencingToken, WorkerCommand } from './exchange.js'
import type { Attempts, AttemptsOptions } from './attemptTypes.js'
import { applyRecord, type JournalEntry, type JournalRecord } from './journal.js'
import { addResources, isReplica, type TaskSpec, type TaskState } from './table.js'
import { createStartCommands } from './startCommand.js'
import { createWorkerView, type WorkerView } from './workerView.js'

/** An idempotent task fails for good after this many failed attempts. */
export const MAX_FAILURES = 3
const RETRY_AFTER_FAILURE_MS = 1_000
/** Fencing sequence numbers reserved for each round, so that a later round of the epoch starts above those of earlier ones. */
const SEQUENCES_PER_ROUND = 1e9

const NO_RESOURCES: Resources = { cores: 0, memoryBytes: 0, accelerators: 0 }

export function createAttempts (options: AttemptsOptions): Attempts {
  const { table, clock, term, logger, observe } = options
  const { journal, specs } = table
  const workers = new Map<string, WorkerView>()
  // Attempts that may have been started, because the journal group has stored the start or the worker has reported it.
  const sendable = new Set<string>()
  // Attempts whose stop is applied to the local table but not stored by the journal group yet; it must not be sent before.
  const unrecordedStops = new Set<string>()
  const recorded = new Map<string, TaskOutcome>()
  // Attempts whose end is applied to the local table but not stored by the journal group yet. The worker has to keep their outcomes.
  const unrecordedEnds = new Set<string>()
  // Tasks whose outcome `describeState` has returned; from then on it must not change.
  const reportedFinal = new Set<string>()
  let sequence = term.round * SEQUENCES_PER_ROUND

  const getWorkerView = (worker: string): WorkerView => {
    const known = workers.get(worker) ?? createWorkerView()
    workers.set(worker, known)
    return known
  }

  /** Keeps new tokens above all observed ones, because an earlier process may have used the same round. */
  const observeToken = (token: FencingToken): void => {
    if (token.epoch === term.epoch) sequence = Math.max(sequence, token.sequence)
  }

  const markSendable = (worker: string, entry: { task: string, attempt: number }): void => {
    sendable.add(formatKey(entry))
    getWorkerView(worker).undelivered.add(entry.task)
  }

  journal.entries.forEach((entry) => {
    if (entry.worker !== undefined) markSendable(entry.worker, entry)
    if (entry.token !== undefined) observeToken(entry.token)
    if (entry.outcome !== undefined) recorded.set(entry.task, entry.outcome)
  })

  /** Applies the records to the local table at once and calls `next` when the journal group has stored them. */
  const record = (records: JournalRecord[], next: () => void): void => {
    records.forEach((item) => {
      applyRecord(journal, item)
      if ('task' in item) table.update(item.task)
    })
    options.append(records).then((done) => { if (done) next() })
  }

  const start = (spec: TaskSpec, worker: string, incarnation: string, size: Resources): void => {
    const { task } = spec
    const attempt = Math.max(options.firstAttempt, (journal.entries.get(task.id)?.attempt ?? 0) + 1)
    sequence += 1
    const token = { epoch: term.epoch, sequence }
    const entry = { task: task.id, attempt, token, worker, incarnation, size, once: !task.idempotent }
    observe({ kind: 'task-started', task, worker })
    record([{ kind: 'start', ...entry }], () => {
      if (entry.once && !options.isDurable()) return revertStart(entry)
      markSendable(worker, entry)
      logger.info('task-start', { task: task.id, attempt, worker })
      if (task.urgent) options.wakeWorker(worker)
    })
  }

  /** Reverts a start that was not sent, because the journal lost its second copy before the record was confirmed. */
  const revertStart = ({ task, attempt, worker }: { task: string, attempt: number, worker: string }): void => {
    const entry = journal.entries.get(task)
    if (entry === undefined || !isActiveAttempt({ task, attempt })) return
    if (entry.purpose === 'cancel') return endTask(entry, 'cancelled', 'stopped')
    requeue(entry, 'refused', undefined, worker)
  }

  const requeue = (entry: JournalEntry, result: 'stopped' | 'failed' | 'refused' | 'lost', checkpoint: string | undefined, worker: string): void => {
    const { task, attempt } = entry
    const key = formatKey(entry)
    sendable.delete(key)
    unrecordedEnds.add(key)
    record([{ kind: 'ended', task, attempt, result, checkpoint }], () => { unrecordedEnds.delete(key) })
    observe({ kind: 'task-ended', task, worker, result })
    logger.info('attempt-end', { task, attempt, worker, result })
    const spec = specs.get(task)
    if (spec === undefined) return
    spec.task = { ...spec.task, resumed: journal.entries.get(task)?.checkpoint !== undefined }
    if (result === 'failed' || result === 'refused') spec.notBefore = clock.now() + RETRY_AFTER_FAILURE_MS
    options.enqueue(spec)
  }

  const endTask = (entry: JournalEntry, outcome: TaskOutcome, result: 'succeeded' | 'failed' | 'stopped' | 'refused' | 'lost'): void => {
    const { task, attempt, worker } = entry
    const key = formatKey(entry)
    sendable.delete(key)
    unrecordedEnds.add(key)
    record([{ kind: 'outcome', task, attempt, outcome }], () => {
      unrecordedEnds.delete(key)
      recorded.set(task, outcome)
    })
    if (worker !== undefined) observe({ kind: 'task-ended', task, worker, result })
    logger.info('task-end', { task, attempt, worker, outcome })
  }

  const stop = (entry: JournalEntry, purpose: 'evict' | 'cancel'): void => {
    const { task, attempt, worker } = entry
    if (worker === undefined || entry.purpose === 'cancel' || entry.purpose === purpose) return
    observe({ kind: 'task-stopping', task })
    // The local table shows the attempt as stopping from now on, so a start that was not sent yet is never sent.
    // The stop becomes due when the journal group has stored it.
    const key = formatKey(entry)
    unrecordedStops.add(key)
    record([{ kind: 'stop', task, attempt, purpose }], () => {
      unrecordedStops.delete(key)
      if (!isActiveAttempt(entry)) return
      markSendable(worker, entry)
      options.wakeWorker(worker)
    })
  }

  const isActiveAttempt = ({ task, attempt }: { task: string, attempt: number }): boolean => {
    const entry = journal.entries.get(task)
    return entry?.attempt === attempt && (entry.state === 'started' || entry.state === 'stopping')
  }

  const outcomeHandlers: Record<AttemptOutcome['result'], (entry: JournalEntry, outcome: AttemptOutcome, worker: string) => void> = {
    succeeded: (entry, _outcome, worker) => isReplica(entry.task) && entry.purpose !== 'cancel'
      ? requeue(entry, 'failed', undefined, worker)
      : endTask(entry, 'succeeded', 'succeeded'),
    failed: (entry, outcome, worker) => {
      const mayRetry = isReplica(entry.task) || (!entry.once && entry.failures + 1 < MAX_FAILURES)
      if (mayRetry && entry.purpose !== 'cancel') requeue(entry, 'failed', outcome.checkpoint, worker)
      else endTask(entry, 'failed', 'failed')
    },
    stopped: (entry, outcome, worker) => {
      if (entry.purpose === 'cancel') return endTask(entry, 'cancelled', 'stopped')
      // A non-idempotent task without a checkpoint is not started again, since its work may have had effects.
      const mayResume = !entry.once || (entry.purpose === 'evict' && outcome.checkpoint !== undefined)
      if (mayResume) requeue(entry, 'stopped', outcome.checkpoint, worker)
      else endTask(entry, 'unknown', 'stopped')
    },
    refused: (entry, _outcome, worker) => entry.purpose === 'cancel'
      ? endTask(entry, 'cancelled', 'refused')
      : requeue(entry, 'refused', undefined, worker)
  }

  const handleOutcome = (worker: string, outcome: AttemptOutcome): void => {
    adoptOrphan(worker, outcome)
    const entry = journal.entries.get(outcome.task)
    if (entry === undefined || !isActiveAttempt(outcome)) return
    // After the loss of the journal an attempt number may be used again, but a token never is.
    const { token } = outcome
    if (entry.token?.sequence === token.sequence && entry.token.epoch === token.epoch) outcomeHandlers[outcome.result](entry, outcome, worker)
  }

  /**
   * Whether the worker may delete the outcome. An outcome that ends a task stays on the worker until the replicated log
   * stores it, so that it survives the loss of every journal replica. Other outcomes stay until the journal group has
   * stored the end of the attempt.
   */
  const mayAcknowledge = (outcome: AttemptOutcome): boolean => {
    const entry = journal.entries.get(outcome.task)
    if (entry === undefined) return !specs.has(outcome.task) && options.isLogCurrent()
    if (entry.attempt !== outcome.attempt) return entry.attempt > outcome.attempt
    return entry.state === 'idle' && !unrecordedEnds.has(formatKey(outcome))
  }

  /** While the journal is incomplete, records an attempt that only the worker reports as if this coordinator had started it. */
  const adoptOrphan = (worker: string, { task, attempt, token }: Pick<AttemptOutcome, 'task' | 'attempt' | 'token'>): void => {
    const known = journal.entries.get(task)
    if (!options.mayAdoptOrphans(task) || (known !== undefined && (known.attempt >= attempt || known.state !== 'idle'))) return
    const spec = specs.get(task)
    if (spec === undefined) return
    const { size, idempotent } = spec.task
    const { incarnation } = getWorkerView(worker)
    observe({ kind: 'task-started', task: spec.task, worker })
    // The worker has reported the attempt, so it counts as started even if the record is never stored.
    sendable.add(formatKey({ task, attempt }))
    record([{ kind: 'start', task, attempt, token, worker, incarnation, size, once: !idempotent }], () => markSendable(worker, { task, attempt }))
    if (spec.cancelled) cancel(spec)
  }

  const handleReply = (worker: string, reply: ExchangeReply, request: ExchangeRequest): void => {
    const known = getWorkerView(worker)
    if (reply.applied) request.acknowledged.forEach((item) => known.outcomes.delete(formatKey(item)))
    known.observe(reply)
    reply.tasks.forEach(({ task, attempt, state, checkpoint, token }) => {
      observeToken(token)
      adoptOrphan(worker, { task, attempt, token })
      known.reportedAttempts.set(task, { attempt, state })
      const entry = journal.entries.get(task)
      if (entry?.attempt === attempt && checkpoint !== undefined && checkpoint !== entry.checkpoint && isActiveAttempt(entry)) {
        record([{ kind: 'checkpoint', task, attempt, checkpoint }], () => {})
        observe({ kind: 'task-checkpointed', task, worker })
      }
    })
    reply.outcomes.forEach((outcome) => {
      observeToken(outcome.token)
      if (known.reportedAttempts.get(outcome.task)?.attempt === outcome.attempt) known.reportedAttempts.delete(outcome.task)
      known.outcomes.set(formatKey(outcome), outcome)
    })
    known.outcomes.forEach((outcome) => handleOutcome(worker, outcome))
    const mayHaveOrphans = reply.full || reply.tasks.length > 0 || known.hadOrphans
    known.hadOrphans = false
    if (mayHaveOrphans) known.reportedAttempts.forEach(({ attempt, state }, task) => checkOrphan(worker, task, attempt, state))
    // A restarted worker process always sends a full list first.
    if (reply.full) endUnreported(worker, reply)
  }

  /** Stops an attempt that the worker reports and the journal does not assign to it. */
  const checkOrphan = (worker: string, task: string, attempt: number, state: string): void => {
    const entry = journal.entries.get(task)
    if (entry !== undefined && entry.attempt === attempt && entry.worker === worker) return
    getWorkerView(worker).hadOrphans = true
    // Without a current log, a task without an entry may be one that this host does not know yet.
    const isUndecided = entry === undefined && !options.isLogCurrent()
    if (isUndecided || state === 'stopping') return
    const token = { epoch: term.epoch, sequence: term.round * SEQUENCES_PER_ROUND }
    getWorkerView(worker).orphanStops.push({ kind: 'stop', task, attempt, token, checkpoint: false })
  }

  /** Ends attempts that were started on an earlier process of the worker and are missing from the full list of the new one. */
  const endUnreported = (worker: string, reply: ExchangeReply): void => {
    table.listOn(worker)
      .filter((entry) => entry.incarnation !== reply.incarnation && getWorkerView(worker).reportedAttempts.get(entry.task)?.attempt !== entry.attempt)
      .forEach((entry) => handleLostAttempt(entry, worker))
  }

  const handleLostAttempt = (entry: JournalEntry, worker: string): void => {
    // A start is sent only after the journal group has stored it, so an attempt that is not sendable never ran.
    const wasSent = sendable.has(formatKey(entry))
    if (wasSent && entry.once) endTask(entry, 'unknown', 'lost')
    else if (entry.purpose === 'cancel') endTask(entry, 'cancelled', 'lost')
    else requeue(entry, 'lost', undefined, worker)
  }

  const cancel = (spec: TaskSpec): void => {
    const entry = journal.entries.get(spec.task.id)
    if (entry?.state === 'final') return
    if (entry === undefined || entry.state === 'idle') return end(spec, 'cancelled')
    stop(entry, 'cancel')
  }

  const end = (spec: TaskSpec, outcome: TaskOutcome): void => {
    const task = spec.task.id
    const attempt = journal.entries.get(task)?.attempt ?? 0
    observe({ kind: 'task-cancelled', task })
    record([{ kind: 'outcome', task, attempt, outcome }], () => { recorded.set(task, outcome) })
    logger.info('task-end', { task, attempt, outcome })
  }

  const composeCommands: Attempts['composeCommands'] = (worker) => {
    const known = getWorkerView(worker)
    const commands = [...known.undelivered].flatMap((task): WorkerCommand[] => {
      const entry = journal.entries.get(task)
      const seen = known.reportedAttempts.get(task)
      const isReported = entry !== undefined && seen?.attempt === entry.attempt
      const isConfirmed = isReported && (entry.state === 'started' || seen?.state === 'stopping')
      if (entry?.token === undefined || entry.worker !== worker || isConfirmed) {
        known.undelivered.delete(task)
        return []
      }
      const { attempt, token, purpose } = entry
      const key = formatKey(entry)
      if (!sendable.has(key) || unrecordedStops.has(key)) return []
      return entry.state === 'started'
        ? createStartCommands(entry, specs.get(task))
        : [{ kind: 'stop', task, attempt, token, checkpoint: purpose === 'evict' }]
    })
    const once = known.once
    known.once = []
    const acknowledged = [...known.outcomes.values()].filter(mayAcknowledge).map(({ task, attempt }) => ({ task, attempt }))
    // A throttle may free capacity for a start, so it comes first, unless it applies to a task that is started in the same request.
    const starting = new Set(commands.map(({ task }) => task))
    const [later, earlier] = [once.filter(({ task }) => starting.has(task)), once.filter(({ task }) => !starting.has(task))]
    return { commands: [...earlier, ...commands, ...later, ...known.orphanStops], acknowledged }
  }

  const sendUnrepeated = (task: string, compose: (entry: JournalEntry, fields: { task: string, attempt: number, token: NonNullable<JournalEntry['token']> }) => WorkerCommand): void => {
    const entry = journal.entries.get(task)
    if (entry?.worker === undefined || entry.token === undefined || !isActiveAttempt(entry)) return
    getWorkerView(entry.worker).once.push(compose(entry, { task, attempt: entry.attempt, token: entry.token }))
    options.wakeWorker(entry.worker)
  }

  /** Returns `ending` while only this host stores the outcome, since the outcome could still be lost with this host. */
  const describeOutcome = (task: string): TaskState => {
    const outcome = recorded.get(task)
    if (outcome === undefined || (!reportedFinal.has(task) && !options.isReplicated())) return 'ending'
    reportedFinal.add(task)
    return outcome
  }

  const describeState = (task: string): TaskState => {
    const entry = journal.entries.get(task)
    if (entry === undefined || entry.state === 'idle') return 'queued'
    if (entry.state === 'final') return describeOutcome(task)
    if (entry.state === 'stopping') return 'evicting'
    const isReported = workers.get(entry.worker ?? '')?.reportedAttempts.get(task)?.attempt === entry.attempt
    return isReported ? 'running' : 'starting'
  }

  return {
    start,
    cancel,
    end,
    handleReply,
    composeCommands,
    describeState,
    recorded,
    evict: (entry) => stop(entry, 'evict'),
    throttle: (task, share) => sendUnrepeated(task, (_entry, fields) => ({ kind: 'throttle', ...fields, share })),
    checkpoint: (task) => sendUnrepeated(task, (_entry, fields) => ({ kind: 'checkpoint', ...fields })),
    handleWorkerLost: (worker) => {
      workers.delete(worker)
      table.listOn(worker).forEach((entry) => handleLostAttempt(entry, worker))
    },
    isIdle: (worker) => table.listOn(worker).length === 0 && getWorkerView(worker).isIdle(),
    sumAllocated: (worker) => table.listOn(worker).reduce((sum, entry) => addResources(sum, entry.size ?? NO_RESOURCES), NO_RESOURCES),
    settle: (task, index) => {
      recorded.delete(task)
      reportedFinal.delete(task)
      record([{ kind: 'settled', task, index }], () => {})
    },
    abandon: (spec) => {
      const entry = journal.entries.get(spec.task.id)
      if (entry === undefined || entry.state === 'idle') observe({ kind: 'task-cancelled', task: spec.task.id })
      else if (entry.state !== 'final') stop(entry, 'cancel')
    }
  }
}

function formatKey ({ task, attempt }: { task: string, attempt: number }): string {
  return `${task}#${attempt}`
}
