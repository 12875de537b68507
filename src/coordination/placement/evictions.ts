import { createFigure, createReason, type Figure } from './reasons.js'
import type { TaskRecord } from './records.js'
import { isBarredFromEvicting } from './quotas.js'
import type { PlacementState } from './state.js'
import type { Decision, EvictionCause } from './types.js'

const ALLOWANCE_WINDOW_MS = 60_000
/** A task that takes no checkpoint within this time is stopped without one. */
const CHECKPOINT_DEADLINE_MS = 10_000

export interface EvictionOrder {
  cause: EvictionCause
  causingMember: string
  causingTask: string
  summary: string
  figures: Figure[]
}

/** Why a task may not be evicted for this cause now, or nothing. Evictions for capacity are always allowed. */
export function findEvictionBar (state: PlacementState, victim: TaskRecord, cause: EvictionCause, causingMember: string, now: number): string | undefined {
  if (victim.state !== 'running' || victim.move !== undefined) return 'it is not running'
  if (causingMember !== victim.task.member && isBarredFromEvicting(state, causingMember)) return `${causingMember} is above its quota`
  if (cause === 'capacity') return undefined
  if (state.policy.isolated) return 'no evictions under the isolation rules'
  return countRecentEvictions(state, now) >= state.policy.policy.evictionsPerMinute ? 'the allowance of evictions is used' : undefined
}

export function countRecentEvictions (state: PlacementState, now: number): number {
  const times = state.evictionTimes
  while (times.length > 0 && now - (times[0] as number) >= ALLOWANCE_WINDOW_MS) times.shift()
  return times.length
}

/** Stops a task at once. */
export function planStop (state: PlacementState, victim: TaskRecord, order: EvictionOrder, now: number): Decision {
  if (order.cause !== 'capacity') state.evictionTimes.push(now)
  return createStop(state, victim, order, now)
}

/** Orders a checkpoint; the stop follows when it is complete. The allowance is used now. */
export function planMove (state: PlacementState, victim: TaskRecord, order: EvictionOrder, now: number): Decision {
  state.evictionTimes.push(now)
  victim.move = { ...order, deadline: now + CHECKPOINT_DEADLINE_MS, checkpointed: false }
  state.moves.add(victim)
  return {
    kind: 'checkpoint',
    task: victim.task.id,
    worker: victim.worker?.id ?? '',
    reason: createReason(state, `checkpoint before a move: ${order.summary}`, order.figures)
  }
}

/** Stops the tasks whose checkpoint is complete or overdue. */
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
    // The causing member may have gone above its quota since the order.
    if (move.causingMember !== victim.task.member && isBarredFromEvicting(state, move.causingMember)) {
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
