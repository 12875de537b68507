import type { Resources } from '../../state/schemas.js'
import { createFigure, createReason } from './reasons.js'
import type { TaskRecord } from './records.js'
import { findImpossibleDimension, isWithin } from './resources.js'
import type { SizeEstimate } from './sizes.js'
import type { PlacementState } from './state.js'
import type { Decision } from './types.js'

const UNITS: Record<keyof Resources, string> = { cores: 'cores', memoryBytes: 'bytes', accelerators: 'accelerators' }

/** Refuses a task that fits no registered worker, unless measurements of its class show that it does. */
export function findRefusal (state: PlacementState, record: TaskRecord): Decision | undefined {
  const capacities = [...state.capacities.values()]
  const dimension = findImpossibleDimension(record.task.size, capacities)
  if (dimension === undefined) return undefined
  const learned = state.sizes.estimate(record.task, state.policy.policy.safetyMargin)
  if (state.sizes.canOverrule(record.task) && findImpossibleDimension(learned.size, capacities) === undefined) return undefined
  const largest = Math.max(...capacities.map((capacity) => capacity[dimension]))
  const reason = createReason(state, `no worker has that much ${dimension}`, [
    createFigure(`declared ${dimension}`, record.task.size[dimension], UNITS[dimension]),
    createFigure(`largest ${dimension} of a worker`, largest, UNITS[dimension])
  ])
  state.queue.remove(record)
  return { kind: 'refuse', task: record.task.id, dimension, reason }
}

/** The margin never turns a task that fits a worker into one that does not, nor a batch task into one above the batch share. */
export function estimateSize (state: PlacementState, record: TaskRecord): SizeEstimate {
  const estimate = state.sizes.estimate(record.task, state.policy.policy.safetyMargin)
  const capacities = [...state.capacities.values()]
  const batch = record.task.service === undefined && !record.task.urgent
  const limits = batch ? capacities.map((capacity) => ({ ...capacity, cores: capacity.cores * state.policy.policy.batchShare })) : capacities
  if (limits.some((limit) => isWithin(estimate.size, limit))) return estimate
  const host = limits.find((limit) => isWithin(record.task.size, limit)) ?? capacities.find((capacity) => isWithin(record.task.size, capacity))
  return host === undefined ? estimate : { ...estimate, size: computeSmaller(estimate.size, host) }
}

function computeSmaller (one: Resources, other: Resources): Resources {
  return {
    cores: Math.min(one.cores, other.cores),
    memoryBytes: Math.min(one.memoryBytes, other.memoryBytes),
    accelerators: Math.min(one.accelerators, other.accelerators)
  }
}
