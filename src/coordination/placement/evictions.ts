import { createFigure, createReason, type Figure } from './reasons.js'
import type { TaskRecord } from './records.js'
import { isEvictionForbidden } from './quotas.js'
import type { PlacementState } from './state.js'
import type { Decision, EvictionCause } from './types.js'

const EVICTION_LIMIT_WINDOW_MS = 60_000
/** A task that has not completed its checkpoint within this time is stopped without one. */
const CHECKPOINT_TIMEOUT_MS = 10_000

export interface EvictionOrder {
  cause: EvictionCause
  /** Member and task for whose sake the victim is evicted. */
  causingMember: string
  causingTask: string
  summary: string
  figures: Figure[]
}

/** Why a task may not be evicted for this cause now. Evictions for capacity are exempt from the eviction limit and the isolation rules. */
export function findEvictionRejection (state: PlacementState, victim: TaskRecord, cause: EvictionCause, causingMember: string, now: number): string | undefined {
  if (victim.state !== 'running' || victim.move !== undefined) return 'it is not running'
  if (causingMember !== victim.task.member && isEvictionForbidden(state, causingMember)) return `${causingMember} is above its quota`
  if (cause === 'capacity') return undefined
  if (state.policy.isolated) return 'an isolated host evicts for capacity only'
  return countRecentEvictions(state, now) >= state.policy.policy.evictionsPerMinute ? 'the eviction limit is reached' : undefined
}

/** Evictions within the last minute that count against the policy's `evictionsPerMinute`. */
export function countRecentEvictions (state: PlacementState, now: number): number {
  const times = state.evictionTimes
  while (times.length > 0 && now - (times[0] as number) >= EVICTION_LIMIT_WINDOW_MS) times.shift()
  return times.length
}

/** Stops a task without a checkpoint. */
export function planStop (state: PlacementState, victim: TaskRecord, order: EvictionOrder, now: number): Decision {
  if (order.cause !== 'capacity') state.evictionTimes.push(now)
  return createStop(state, victim, order, now)
}

/** Orders a checkpoint; the stop follows when it is complete or overdue. The move counts against the eviction limit from now on. */
export function planMove (state: PlacementState, victim: TaskRecord, order: EvictionOrder, now: number): Decision {
  state.evictionTimes.push(now)
  victim.move = { ...order, deadline: now + CHECKPOINT_TIMEOUT_MS, checkpointed: false }
  state.moves.add(victim)
  return {
    kind: 'checkpoint',
    task: victim.task.id,
    worker: victim.worker?.id ?? '',
    reason: createReason(state, `checkpoint before a move: ${order.summary}`, order.figures)
  }
}

/** Stops the moving tasks whose checkpoint is complete or overdue. */
export function planMoveStops (state: PlacementState, now: number): Decision[] {
  return [...state.moves].flatMap((victim) => {
    const { move } = victim
    if (move === undefined || victim.worker === undefined || victim.state === 'stopping') {
      state.moves.delete(victim)
      return []
    }
    if (!move.checkpointed && now < move.deadline) return []
    state.moves.delete(victim)
    const summary = `${move.summary}; ${move.checkpointed ? 'its checkpoint is complete' : 'its checkpoint is overdue'}`
    // The move is cancelled when the causing member has exceeded its quota since the order.
    if (move.causingMember !== victim.task.member && isEvictionForbidden(state, move.causingMember)) {
      victim.move = undefined
      return []
    }
    return [createStop(state, victim, { ...move, summary, figures: [] }, now)]
  })
}

function createStop (state: PlacementState, victim: TaskRecord, { cause, causingMember, causingTask, summary, figures }: EvictionOrder, now: number): Decision {
  victim.state = 'stopping'
  const run = createFigure('run time so far', now - victim.startedAt, 'ms')
  return { kind: 'stop', task: victim.task.id, worker: victim.worker?.id ?? '', cause, causingMember, causingTask, reason: createReason(state, summary, [...figures, run]) }
}
