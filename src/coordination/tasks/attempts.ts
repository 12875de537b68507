import type { Resources, TaskOutcome } from '../../state/index.js'
import type { AttemptOutcome, ExchangeReply, ExchangeRequest, FencingToken, WorkerCommand } from './exchange.js'
import type { Attempts, AttemptsOptions } from './attemptTypes.js'
import { applyRecord, type JournalEntry, type JournalRecord } from './journal.js'
import { addResources, isReplica, type TaskSpec, type TaskState } from './table.js'
import { createStartCommands } from './startCommand.js'
import { createWorkerView, type WorkerView } from './workerView.js'

/** A failure of an idempotent task is final after this many failed attempts. */
export const MAX_FAILURES = 3
const RETRY_AFTER_FAILURE_MS = 1_000
/** Sequence numbers of one round; a later round of the same epoch starts above them. */
const SEQUENCES_PER_ROUND = 1e9

const NOTHING: Resources = { cores: 0, memoryBytes: 0, accelerators: 0 }

export function createAttempts (options: AttemptsOptions): Attempts {
  const { table, clock, term, logger, observe } = options
  const { journal, specs } = table
  const workers = new Map<string, WorkerView>()
  // Attempts whose start or stop is in the journal and may therefore be sent.
  const ready = new Set<string>()
  const recorded = new Map<string, TaskOutcome>()
  // Attempts whose end is applied here and not yet in the journal, so that the worker has to keep its outcome.
  const unrecordedEnds = new Set<string>()
  // Outcomes that were reported as final.
  const reported = new Set<string>()
  let sequence = term.round * SEQUENCES_PER_ROUND

  const getWorker = (worker: string): WorkerView => {
    const known = workers.get(worker) ?? createWorkerView()
    workers.set(worker, known)
    return known
  }

  /** Two processes may have used the same round, so new tokens are higher than every one that is known. */
  const observeToken = (token: FencingToken): void => {
    if (token.epoch === term.epoch) sequence = Math.max(sequence, token.sequence)
  }

  const setReady = (worker: string, entry: { task: string, attempt: number }): void => {
    ready.add(formatKey(entry))
    getWorker(worker).due.add(entry.task)
  }

  journal.entries.forEach((entry) => {
    if (entry.worker !== undefined) setReady(entry.worker, entry)
    if (entry.token !== undefined) observeToken(entry.token)
    if (entry.outcome !== undefined) recorded.set(entry.task, entry.outcome)
  })

  /** Applies the records here at once and runs `next` when the journal group has them. */
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
      if (entry.once && !options.isDurable()) return undo(entry)
      setReady(worker, entry)
      logger.info('task-start', { task: task.id, attempt, worker })
      if (task.urgent) options.wakeWorker(worker)
    })
  }

  /** The second copy was lost before the start was sent, so it is taken back. */
  const undo = ({ task, attempt, worker }: { task: string, attempt: number, worker: string }): void => {
    const entry = journal.entries.get(task)
    if (entry === undefined || !isCurrent({ task, attempt })) return
    if (entry.purpose === 'cancel') return endTask(entry, 'cancelled', 'stopped')
    requeue(entry, 'refused', undefined, worker)
  }

  const requeue = (entry: JournalEntry, result: 'stopped' | 'failed' | 'refused' | 'lost', checkpoint: string | undefined, worker: string): void => {
    const { task, attempt } = entry
    const key = formatKey(entry)
    ready.delete(key)
    unrecordedEnds.add(key)
    record([{ kind: 'ended', task, attempt, result, checkpoint }], () => { unrecordedEnds.delete(key) })
    observe({ kind: 'task-ended', task, worker, result })
    logger.info('attempt-end', { task, attempt, worker, result })
    const spec = specs.get(task)
    if (spec === undefined) return
    spec.task = { ...spec.task, resumed: journal.entries.get(task)?.checkpoint !== undefined }
    if (result === 'failed' || result === 'refused') spec.notBefore = clock.now() + RETRY_AFTER_FAILURE_MS
    options.announce(spec)
  }

  const endTask = (entry: JournalEntry, outcome: TaskOutcome, result: 'succeeded' | 'failed' | 'stopped' | 'refused' | 'lost'): void => {
    const { task, attempt, worker } = entry
    const key = formatKey(entry)
    ready.delete(key)
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
    // Until the stop is in the journal too, nothing is sent; a start that was not sent yet is not needed any more.
    record([{ kind: 'stop', task, attempt, purpose }], () => {
      if (!isCurrent(entry)) return
      setReady(worker, entry)
      options.wakeWorker(worker)
    })
  }

  const isCurrent = ({ task, attempt }: { task: string, attempt: number }): boolean => {
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
      // Without a checkpoint a second start would repeat work that may have had effects.
      const mayResume = !entry.once || (entry.purpose === 'evict' && outcome.checkpoint !== undefined)
      if (mayResume) requeue(entry, 'stopped', outcome.checkpoint, worker)
      else endTask(entry, 'unknown', 'stopped')
    },
    refused: (entry, _outcome, worker) => entry.purpose === 'cancel'
      ? endTask(entry, 'cancelled', 'refused')
      : requeue(entry, 'refused', undefined, worker)
  }

  const handleOutcome = (worker: string, outcome: AttemptOutcome): void => {
    adopt(worker, outcome)
    const entry = journal.entries.get(outcome.task)
    if (entry === undefined || !isCurrent(outcome)) return
    // Numbers may repeat after the journal was lost; tokens do not.
    const { token } = outcome
    if (entry.token?.sequence === token.sequence && entry.token.epoch === token.epoch) outcomeHandlers[outcome.result](entry, outcome, worker)
  }

  /**
   * A worker keeps the outcome that ended a task until the agreed log has it: then it survives even the loss of
   * every copy of the journal. Other outcomes are needed until the journal has them.
   */
  const mayForget = (outcome: AttemptOutcome): boolean => {
    const entry = journal.entries.get(outcome.task)
    if (entry === undefined) return !specs.has(outcome.task) && options.isLogCurrent()
    if (entry.attempt !== outcome.attempt) return entry.attempt > outcome.attempt
    return entry.state === 'idle' && !unrecordedEnds.has(formatKey(outcome))
  }

  /** After the journal was lost, what a worker reports is recorded as if this coordinator had started it. */
  const adopt = (worker: string, { task, attempt, token }: Pick<AttemptOutcome, 'task' | 'attempt' | 'token'>): void => {
    const known = journal.entries.get(task)
    if (!options.acceptsUnknown(task) || (known !== undefined && (known.attempt >= attempt || known.state !== 'idle'))) return
    const spec = specs.get(task)
    if (spec === undefined) return
    const { size, idempotent } = spec.task
    const { incarnation } = getWorker(worker)
    observe({ kind: 'task-started', task: spec.task, worker })
    record([{ kind: 'start', task, attempt, token, worker, incarnation, size, once: !idempotent }], () => setReady(worker, { task, attempt }))
    if (spec.cancelled) cancel(spec)
  }

  const handleReply = (worker: string, reply: ExchangeReply, request: ExchangeRequest): void => {
    const known = getWorker(worker)
    if (reply.applied) request.acknowledged.forEach((item) => known.outcomes.delete(formatKey(item)))
    known.observe(reply)
    reply.tasks.forEach(({ task, attempt, state, checkpoint, token }) => {
      observeToken(token)
      adopt(worker, { task, attempt, token })
      known.view.set(task, { attempt, state })
      const entry = journal.entries.get(task)
      if (entry?.attempt === attempt && checkpoint !== undefined && checkpoint !== entry.checkpoint && isCurrent(entry)) {
        record([{ kind: 'checkpoint', task, attempt, checkpoint }], () => {})
        observe({ kind: 'task-checkpointed', task, worker })
      }
    })
    reply.outcomes.forEach((outcome) => {
      observeToken(outcome.token)
      if (known.view.get(outcome.task)?.attempt === outcome.attempt) known.view.delete(outcome.task)
      known.outcomes.set(formatKey(outcome), outcome)
    })
    known.outcomes.forEach((outcome) => handleOutcome(worker, outcome))
    const mayHaveUnaccounted = reply.full || reply.tasks.length > 0 || known.hadUnaccounted
    known.hadUnaccounted = false
    if (mayHaveUnaccounted) known.view.forEach(({ attempt, state }, task) => checkUnaccounted(worker, task, attempt, state))
    // A new process always answers with a full list.
    if (reply.full) endMissing(worker, reply)
  }

  /** Stops an attempt that this coordinator does not account for on the worker. */
  const checkUnaccounted = (worker: string, task: string, attempt: number, state: string): void => {
    const entry = journal.entries.get(task)
    if (entry !== undefined && entry.attempt === attempt && entry.worker === worker) return
    getWorker(worker).hadUnaccounted = true
    const isUndecided = entry === undefined && !options.isLogCurrent()
    if (isUndecided || state === 'stopping') return
    const token = { epoch: term.epoch, sequence: term.round * SEQUENCES_PER_ROUND }
    getWorker(worker).unaccounted.push({ kind: 'stop', task, attempt, token, checkpoint: false })
  }

  /** Another process of the worker answers than the one that was given the task, so the task died with that one. */
  const endMissing = (worker: string, reply: ExchangeReply): void => {
    table.listOn(worker)
      .filter((entry) => entry.incarnation !== reply.incarnation && getWorker(worker).view.get(entry.task)?.attempt !== entry.attempt)
      .forEach((entry) => lose(entry, worker))
  }

  const lose = (entry: JournalEntry, worker: string): void => {
    // The start record waits for the journal group; it was never sent.
    const wasSent = ready.has(formatKey(entry))
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
    const known = getWorker(worker)
    const commands = [...known.due].flatMap((task): WorkerCommand[] => {
      const entry = journal.entries.get(task)
      const seen = known.view.get(task)
      const isSeen = entry !== undefined && seen?.attempt === entry.attempt
      const isDone = isSeen && (entry.state === 'started' || seen?.state === 'stopping')
      if (entry?.token === undefined || entry.worker !== worker || isDone) {
        known.due.delete(task)
        return []
      }
      const { attempt, token, purpose } = entry
      if (!ready.has(formatKey(entry))) return []
      return entry.state === 'started'
        ? createStartCommands(entry, specs.get(task))
        : [{ kind: 'stop', task, attempt, token, checkpoint: purpose === 'evict' }]
    })
    const once = known.once
    known.once = []
    const acknowledged = [...known.outcomes.values()].filter(mayForget).map(({ task, attempt }) => ({ task, attempt }))
    // A throttle may make room for a start, so it goes first, unless it is for a task that starts with it.
    const starting = new Set(commands.map(({ task }) => task))
    const [later, earlier] = [once.filter(({ task }) => starting.has(task)), once.filter(({ task }) => !starting.has(task))]
    return { commands: [...earlier, ...commands, ...later, ...known.unaccounted], acknowledged }
  }

  const sendOnce = (task: string, compose: (entry: JournalEntry, fields: { task: string, attempt: number, token: NonNullable<JournalEntry['token']> }) => WorkerCommand): void => {
    const entry = journal.entries.get(task)
    if (entry?.worker === undefined || entry.token === undefined || !isCurrent(entry)) return
    getWorker(entry.worker).once.push(compose(entry, { task, attempt: entry.attempt, token: entry.token }))
    options.wakeWorker(entry.worker)
  }

  /** An outcome that only this host has recorded could still be forgotten, so it is not reported as final. */
  const describeOutcome = (task: string): TaskState => {
    const outcome = recorded.get(task)
    if (outcome === undefined || (!reported.has(task) && !options.isCopied())) return 'ending'
    reported.add(task)
    return outcome
  }

  const describeState = (task: string): TaskState => {
    const entry = journal.entries.get(task)
    if (entry === undefined || entry.state === 'idle') return 'queued'
    if (entry.state === 'final') return describeOutcome(task)
    if (entry.state === 'stopping') return 'evicting'
    const isSeen = workers.get(entry.worker ?? '')?.view.get(task)?.attempt === entry.attempt
    return isSeen ? 'running' : 'starting'
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
    throttle: (task, share) => sendOnce(task, (_entry, fields) => ({ kind: 'throttle', ...fields, share })),
    checkpoint: (task) => sendOnce(task, (_entry, fields) => ({ kind: 'checkpoint', ...fields })),
    loseWorker: (worker) => {
      workers.delete(worker)
      table.listOn(worker).forEach((entry) => lose(entry, worker))
    },
    isIdle: (worker) => table.listOn(worker).length === 0 && getWorker(worker).isIdle(),
    sumPromised: (worker) => table.listOn(worker).reduce((sum, entry) => addResources(sum, entry.size ?? NOTHING), NOTHING),
    settle: (task, index) => {
      recorded.delete(task)
      reported.delete(task)
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
