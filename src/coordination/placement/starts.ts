import { recordAssignment } from './accounts.js'
import { chooseWorker, type Choice } from './candidates.js'
import { planQuotaRoom, planUrgentRoom } from './displacement.js'
import { findClassHold, recordTrial } from './health.js'
import { getHead, type WaitingGroup } from './queue.js'
import { scoreMember } from './quotas.js'
import { createFigure, createReason, recordWait, type Figure } from './reasons.js'
import { pruneReservations, planReservation } from './reservations.js'
import type { MemberRecord, TaskRecord, WorkerRecord } from './records.js'
import { estimateSize, findRefusal } from './fitting.js'
import type { SizeEstimate } from './sizes.js'
import { getMember, type PlacementState } from './state.js'
import type { Decision } from './types.js'

const MOST_EXPLORATION_TOKENS = 2

interface MemberQueue {
  member: MemberRecord
  groups: WaitingGroup[]
  next: number
}

/** Decisions for one task; `placed` is false when it goes on waiting. */
interface TaskPlan { decisions: Decision[], placed: boolean }

/** Starts what fits: urgent tasks first, then members in order of quota, fair share and waiting time. */
export function planStarts (state: PlacementState, now: number): Decision[] {
  pruneReservations(state, now)
  if (state.queue.size === 0) return []
  const queues = state.queue.listMembers().map((id) => ({ member: getMember(state, id), groups: state.queue.list(id) }))
  const select = (urgent: boolean): MemberQueue[] => queues
    .map(({ member, groups }) => ({ member, groups: groups.filter((group) => group.urgent === urgent), next: 0 }))
    .filter(({ groups }) => groups.length > 0)
  return [...planQueues(state, select(true), now), ...planQueues(state, select(false), now)]
}

function planQueues (state: PlacementState, queues: MemberQueue[], now: number): Decision[] {
  const decisions: Decision[] = []
  const waiting = new Set(queues)
  while (waiting.size > 0) {
    const queue = findNextQueue(state, waiting, now)
    const head = findHead(queue)
    if (head === undefined) {
      waiting.delete(queue)
      continue
    }
    const plan = planTask(state, head, now)
    decisions.push(...plan.decisions)
    if (!plan.placed) queue.next += 1
  }
  return decisions
}

/** The next task of a member, past groups that are used up. */
function findHead (queue: MemberQueue): TaskRecord | undefined {
  while (queue.next < queue.groups.length) {
    const head = getHead(queue.groups[queue.next] as WaitingGroup)
    if (head !== undefined) return head
    queue.next += 1
  }
  return undefined
}

function findNextQueue (state: PlacementState, queues: Set<MemberQueue>, now: number): MemberQueue {
  let best: MemberQueue | undefined
  let bestScore = Infinity
  for (const queue of queues) {
    const head = findHead(queue)
    const score = scoreMember(state, queue.member, head === undefined ? 0 : now - head.queuedAt)
    if (best === undefined || score < bestScore) {
      best = queue
      bestScore = score
    }
  }
  return best as MemberQueue
}

function planTask (state: PlacementState, record: TaskRecord, now: number): TaskPlan {
  const refusal = findRefusal(state, record)
  if (refusal !== undefined) return { decisions: [refusal], placed: true }
  // An urgent task is tried even when its class is held, because a wait costs more than a failure.
  const hold = record.task.urgent ? undefined : findClassHold(state, record, now)
  if (hold !== undefined) return recordWaiting(state, record, `waits: ${hold}`, [], [], now)
  const estimate = estimateSize(state, record)
  const explore = canExplore(state, record)
  const choice = chooseWorker(state, record, estimate.size, explore, now)
  if (choice.worker === undefined) return planWithoutRoom(state, record, estimate, choice, now)
  if (explore) state.explorationTokens -= 1
  recordTrial(state, record, now)
  const summary = explore ? 'explores a pair of uncertain interference' : 'lowest cost of the workers with room'
  return { decisions: [startTask(state, record, choice.worker, estimate, choice, summary, now)], placed: true }
}

function planWithoutRoom (state: PlacementState, record: TaskRecord, estimate: SizeEstimate, choice: Choice, now: number): TaskPlan {
  const decisions: Decision[] = []
  if (record.task.urgent) {
    const room = planUrgentRoom(state, record, estimate.size, now)
    if (room.worker !== undefined) {
      return { decisions: [...room.decisions, startTask(state, record, room.worker, estimate, choice, 'urgent: room was made by throttling', now)], placed: true }
    }
    decisions.push(...room.decisions)
  } else {
    decisions.push(...planQuotaRoom(state, record, estimate.size, now))
    planReservation(state, record, estimate.size, now)
  }
  const waiting = recordWaiting(state, record, describeWait(choice), describeSize(estimate, now), choice.alternatives, now)
  return { ...waiting, decisions }
}

function recordWaiting (state: PlacementState, record: TaskRecord, summary: string, figures: Figure[], alternatives: Choice['alternatives'], now: number): TaskPlan {
  recordWait(state, record.task.id, record.task.job, createReason(state, summary, figures, alternatives), now)
  return { decisions: [], placed: false }
}

function startTask (state: PlacementState, record: TaskRecord, worker: WorkerRecord, estimate: SizeEstimate, choice: Choice, summary: string, now: number): Decision {
  const { policy } = state.policy
  state.explorationTokens = Math.min(MOST_EXPLORATION_TOKENS, state.explorationTokens + policy.explorationRate)
  recordAssignment(state, record, worker, estimate.size, now)
  const figures = [
    ...describeSize(estimate, now),
    createFigure('waited', now - record.queuedAt, 'ms'),
    ...choice.worker === undefined ? [] : [createFigure('cost', choice.score, ''), createFigure('expected change of ln p99', choice.added, '')]
  ]
  const reason = createReason(state, `${summary}; size ${estimate.source}`, figures, choice.alternatives)
  return { kind: 'start', task: record.task.id, worker: worker.id, size: { ...estimate.size }, reason }
}

/** A bounded part of the starts tries pairs whose interference is uncertain. */
function canExplore (state: PlacementState, record: TaskRecord): boolean {
  return !state.policy.isolated && state.policy.policy.explorationRate > 0 && state.explorationTokens >= 1 &&
    record.task.service === undefined && !record.task.urgent
}

function describeWait (choice: Choice): string {
  if (choice.rejections.size === 0) return 'waits: no worker is registered'
  const reasons = [...choice.rejections].sort((one, other) => other[1] - one[1] || one[0].localeCompare(other[0])).map(([rejection]) => rejection)
  return `waits: ${reasons.slice(0, 3).join('; ')}`
}

function describeSize (estimate: SizeEstimate, now: number): Figure[] {
  const ageMs = estimate.source === 'learned' ? now - estimate.updatedAt : 0
  return [
    createFigure(`${estimate.source} cores with margin`, estimate.size.cores, 'cores', ageMs),
    createFigure(`${estimate.source} memory with margin`, estimate.size.memoryBytes / 1e9, 'GB', ageMs),
    createFigure('margin', estimate.margin, 'ratio'),
    createFigure('tasks measured', estimate.evidence, 'tasks', ageMs)
  ]
}
