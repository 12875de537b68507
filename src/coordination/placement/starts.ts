import { recordAssignment } from './allocations.js'
import { chooseWorker, type WorkerChoice } from './workerSelection.js'
import { planQuotaPreemption, planUrgentPreemption } from './preemption.js'
import { findClassBackoff, recordTrial } from './health.js'
import { getHead, type WaitingGroup } from './queue.js'
import { scoreMember } from './quotas.js'
import { createFigure, createReason, recordWait, type Figure } from './reasons.js'
import { pruneReservations, planReservation } from './reservations.js'
import type { MemberRecord, TaskRecord, WorkerRecord } from './records.js'
import { estimateSize, findRefusal } from './feasibility.js'
import type { SizeEstimate } from './sizes.js'
import { getMember, type PlacementState } from './state.js'
import type { Decision } from './types.js'

const MAX_EXPLORATION_TOKENS = 2

/** Waiting tasks of a member in the present round; `next` is the index of the group to examine next. */
interface MemberQueue {
  member: MemberRecord
  groups: WaitingGroup[]
  next: number
}

/** Decisions for one task. `leftQueue` is false when the task goes on waiting, and with it the rest of its group. */
interface TaskPlan { decisions: Decision[], leftQueue: boolean }

/** Starts the waiting tasks that fit: all urgent ones, then the others. Within both, the next task is of the member with the lowest `scoreMember`: by quota, fair share and waiting time. */
export function planStarts (state: PlacementState, now: number): Decision[] {
  pruneReservations(state, now)
  if (state.queue.size === 0) return []
  const queues = state.queue.listMembers().map((id) => ({ member: getMember(state, id), groups: state.queue.list(id) }))
  const selectGroups = (urgent: boolean): MemberQueue[] => queues
    .map(({ member, groups }) => ({ member, groups: groups.filter((group) => group.urgent === urgent), next: 0 }))
    .filter(({ groups }) => groups.length > 0)
  return [...planQueues(state, selectGroups(true), now), ...planQueues(state, selectGroups(false), now)]
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
    if (!plan.leftQueue) queue.next += 1
  }
  return decisions
}

/** The next task of a member; skips groups without tasks left. */
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
  if (refusal !== undefined) return { decisions: [refusal], leftQueue: true }
  // An urgent task starts even if its class is in backoff, because a wait costs more than a failure.
  const backoff = record.task.urgent ? undefined : findClassBackoff(state, record, now)
  if (backoff !== undefined) return recordWaiting(state, record, `waits: ${backoff}`, [], [], now)
  const estimate = estimateSize(state, record)
  const explore = canExplore(state, record)
  const choice = chooseWorker(state, record, estimate.size, explore, now)
  if (choice.worker === undefined) return planWithoutWorker(state, record, estimate, choice, now)
  if (explore) state.explorationTokens -= 1
  recordTrial(state, record, now)
  const summary = explore ? 'explores a pair of uncertain interference' : 'lowest cost of the workers with room'
  return { decisions: [startTask(state, record, choice.worker, estimate, choice, summary, now)], leftQueue: true }
}

/** For a task that every worker rejects: preempts other tasks, or reserves a worker, or lets it wait. */
function planWithoutWorker (state: PlacementState, record: TaskRecord, estimate: SizeEstimate, choice: WorkerChoice, now: number): TaskPlan {
  const decisions: Decision[] = []
  if (record.task.urgent) {
    const preemption = planUrgentPreemption(state, record, estimate.size, now)
    if (preemption.worker !== undefined) {
      return { decisions: [...preemption.decisions, startTask(state, record, preemption.worker, estimate, choice, 'urgent: room was made by throttling', now)], leftQueue: true }
    }
    decisions.push(...preemption.decisions)
  } else {
    decisions.push(...planQuotaPreemption(state, record, estimate.size, now))
    planReservation(state, record, estimate.size, now)
  }
  const waiting = recordWaiting(state, record, describeWait(choice), describeSize(estimate, now), choice.alternatives, now)
  return { ...waiting, decisions }
}

function recordWaiting (state: PlacementState, record: TaskRecord, summary: string, figures: Figure[], alternatives: WorkerChoice['alternatives'], now: number): TaskPlan {
  recordWait(state, record.task.id, record.task.job, createReason(state, summary, figures, alternatives), now)
  return { decisions: [], leftQueue: false }
}

function startTask (state: PlacementState, record: TaskRecord, worker: WorkerRecord, estimate: SizeEstimate, choice: WorkerChoice, summary: string, now: number): Decision {
  const { policy } = state.policy
  state.explorationTokens = Math.min(MAX_EXPLORATION_TOKENS, state.explorationTokens + policy.explorationRate)
  recordAssignment(state, record, worker, estimate.size, now)
  const figures = [
    ...describeSize(estimate, now),
    createFigure('waited', now - record.queuedAt, 'ms'),
    ...choice.worker === undefined ? [] : [createFigure('cost', choice.score, ''), createFigure('expected change of ln p99', choice.added, '')]
  ]
  const reason = createReason(state, `${summary}; size ${estimate.source}`, figures, choice.alternatives)
  return { kind: 'start', task: record.task.id, worker: worker.id, size: { ...estimate.size }, reason }
}

/** Explorations start a batch task where its interference is uncertain; tokens limit them to the policy's `explorationRate` of all starts. */
function canExplore (state: PlacementState, record: TaskRecord): boolean {
  return !state.policy.isolated && state.policy.policy.explorationRate > 0 && state.explorationTokens >= 1 &&
    record.task.service === undefined && !record.task.urgent
}

function describeWait (choice: WorkerChoice): string {
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
    createFigure('tasks measured', estimate.measuredTasks, 'tasks', ageMs)
  ]
}
