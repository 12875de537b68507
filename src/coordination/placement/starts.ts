import type { Resources } from '../../state/schemas.js'
import { chooseWorker, type Choice } from './candidates.js'
import { getHead, type WaitingGroup } from './queue.js'
import { createFigure, createReason, recordWait, type Figure } from './reasons.js'
import { addResources, computeDominantShare, findImpossibleDimension, isWithin } from './resources.js'
import { updateTotals, type MemberRecord, type TaskRecord, type WorkerRecord } from './records.js'
import type { SizeEstimate } from './sizes.js'
import { getMember, type PlacementState } from './state.js'
import type { Decision } from './types.js'

/** A task that has waited this long has precedence over those of members below their quota. */
const AGEING_MS = 120_000

interface MemberQueue {
  member: MemberRecord
  groups: WaitingGroup[]
  next: number
}

/** Starts what fits: urgent tasks, then members in order of quota, fair share and waiting time. */
export function planStarts (state: PlacementState, now: number): Decision[] {
  const queues = state.queue.listMembers()
    .map((id) => ({ member: getMember(state, id), groups: state.queue.list(id) }))
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
    const group = queue.groups[queue.next]
    const head = group === undefined ? undefined : getHead(group)
    if (head === undefined) {
      queue.next += 1
      if (queue.next >= queue.groups.length) waiting.delete(queue)
      continue
    }
    const decision = planTask(state, head, now)
    if (decision === undefined) queue.next += 1
    else decisions.push(decision)
    if (queue.next >= queue.groups.length) waiting.delete(queue)
  }
  return decisions
}

function findNextQueue (state: PlacementState, queues: Set<MemberQueue>, now: number): MemberQueue {
  let best: MemberQueue | undefined
  let bestKey = Infinity
  for (const queue of queues) {
    const group = queue.groups[queue.next]
    const head = group === undefined ? undefined : getHead(group)
    const aged = head !== undefined && now - head.queuedAt > AGEING_MS
    const precedence = aged || !isAboveQuota(queue.member) ? 0 : 1e6
    const key = precedence + computeDominantShare(queue.member.usage, state.totalCapacity) / queue.member.weight
    if (best === undefined || key < bestKey) {
      best = queue
      bestKey = key
    }
  }
  return best as MemberQueue
}

export function isAboveQuota (member: MemberRecord): boolean {
  return member.quota !== undefined && !isWithin(member.usage, member.quota)
}

function planTask (state: PlacementState, record: TaskRecord, now: number): Decision | undefined {
  const refusal = planRefusal(state, record)
  if (refusal !== undefined) return refusal
  const estimate = estimateSize(state, record)
  const choice = chooseWorker(state, record, estimate.size, now)
  if (choice.worker === undefined) {
    recordWait(state, record.task.id, record.task.job, createReason(state, describeWait(choice), describeSize(estimate, now), choice.alternatives), now)
    return undefined
  }
  const reason = createReason(state, `lowest cost of the workers with room; size ${estimate.source}`,
    [...describeSize(estimate, now), createFigure('cost', choice.score, '')], choice.alternatives)
  recordAssignment(state, record, choice.worker, estimate.size, now)
  return { kind: 'start', task: record.task.id, worker: choice.worker.id, size: { ...estimate.size }, reason }
}

function planRefusal (state: PlacementState, record: TaskRecord): Decision | undefined {
  if (state.sizes.canOverrule(record.task)) return undefined
  const dimension = findImpossibleDimension(record.task.size, [...state.capacities.values()])
  if (dimension === undefined) return undefined
  const largest = Math.max(...[...state.capacities.values()].map((capacity) => capacity[dimension]))
  const reason = createReason(state, `no worker has that much ${dimension}`, [
    createFigure(`declared ${dimension}`, record.task.size[dimension], getUnit(dimension)),
    createFigure(`largest ${dimension} of a worker`, largest, getUnit(dimension))
  ])
  state.queue.remove(record)
  return { kind: 'refuse', task: record.task.id, dimension, reason }
}

/** The margin never turns a task that fits a worker into one that does not. */
function estimateSize (state: PlacementState, record: TaskRecord): SizeEstimate {
  const estimate = state.sizes.estimate(record.task, state.policy.policy.safetyMargin)
  const capacities = [...state.capacities.values()]
  if (capacities.some((capacity) => isWithin(estimate.size, capacity))) return estimate
  const host = capacities.find((capacity) => isWithin(record.task.size, capacity))
  return host === undefined ? estimate : { ...estimate, size: computeSmaller(estimate.size, host) }
}

function computeSmaller (one: Resources, other: Resources): Resources {
  return {
    cores: Math.min(one.cores, other.cores),
    memoryBytes: Math.min(one.memoryBytes, other.memoryBytes),
    accelerators: Math.min(one.accelerators, other.accelerators)
  }
}

export function recordAssignment (state: PlacementState, record: TaskRecord, worker: WorkerRecord, promise: Resources, now: number): void {
  state.queue.remove(record)
  record.state = 'starting'
  record.worker = worker
  record.promise = promise
  record.startedAt = now
  worker.tasks.add(record)
  if (record.task.service !== undefined) worker.replicas.push(record)
  addResources(getMember(state, record.task.member).usage, promise)
  updateTotals(worker)
}

function describeWait (choice: Choice): string {
  if (choice.rejections.size === 0) return 'waits: no worker is registered'
  const counts = [...choice.rejections].sort((one, other) => other[1] - one[1] || one[0].localeCompare(other[0]))
  return `waits: ${counts.map(([rejection, count]) => `${rejection} (${count})`).join(', ')}`
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

function getUnit (dimension: keyof Resources): string {
  return { cores: 'cores', memoryBytes: 'bytes', accelerators: 'accelerators' }[dimension]
}
