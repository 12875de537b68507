import type { Resources } from '../../state/schemas.js'
import { createFigure, createReason } from './reasons.js'
import type { TaskRecord } from './records.js'
import { findInfeasibleDimension, isWithin } from './resources.js'
import type { SizeEstimate } from './sizes.js'
import type { PlacementState } from './state.js'
import type { Decision } from './types.js'

const UNITS: Record<keyof Resources, string> = { cores: 'cores', memoryBytes: 'bytes', accelerators: 'accelerators' }

/** Refuses a task whose declared size fits no registered worker, unless the measured size of its class fits one. */
export function findRefusal (state: PlacementState, record: TaskRecord): Decision | undefined {
  const capacities = [...state.capacities.values()]
  const dimension = findInfeasibleDimension(record.task.size, capacities)
  if (dimension === undefined) return undefined
  const learned = state.sizes.estimate(record.task, state.policy.policy.safetyMargin)
  if (state.sizes.canOverruleDeclaration(record.task) && findInfeasibleDimension(learned.size, capacities) === undefined) return undefined
  const largest = Math.max(...capacities.map((capacity) => capacity[dimension]))
  const reason = createReason(state, `no worker has that much ${dimension}`, [
    createFigure(`declared ${dimension}`, record.task.size[dimension], UNITS[dimension]),
    createFigure(`largest ${dimension} of a worker`, largest, UNITS[dimension])
  ])
  state.queue.remove(record)
  return { kind: 'refuse', task: record.task.id, dimension, reason }
}

/**
 * The estimated size with margin. Where it exceeds every worker (for a batch task, the batch share of every worker) but
 * the declared size does not, it is limited to such a worker, so that the margin never keeps a task from starting.
 */
export function estimateSize (state: PlacementState, record: TaskRecord): SizeEstimate {
  const estimate = state.sizes.estimate(record.task, state.policy.policy.safetyMargin)
  const capacities = [...state.capacities.values()]
  const isBatchTask = record.task.service === undefined && !record.task.urgent
  const limits = isBatchTask ? capacities.map((capacity) => ({ ...capacity, cores: capacity.cores * state.policy.policy.batchShare })) : capacities
  if (limits.some((limit) => isWithin(estimate.size, limit))) return estimate
  const fittingLimit = limits.find((limit) => isWithin(record.task.size, limit)) ?? capacities.find((capacity) => isWithin(record.task.size, capacity))
  return fittingLimit === undefined ? estimate : { ...estimate, size: computeMinimum(estimate.size, fittingLimit) }
}

function computeMinimum (one: Resources, other: Resources): Resources {
  return {
    cores: Math.min(one.cores, other.cores),
    memoryBytes: Math.min(one.memoryBytes, other.memoryBytes),
    accelerators: Math.min(one.accelerators, other.accelerators)
  }
}
