import type { Step } from '../../state/index.js'
import type { Candidate, PlacementNeeds } from './placing.js'

/** What is known of work that waits: its step and how many tasks of it. */
export interface WaitingStep { step: Step, indexes: readonly number[] }

interface Demand { cores: number, largest: number }

/**
 * Tells which workers waiting images need most: an image that few workers bear should find room there, and images
 * that others bear as well should leave it. The load is many images of batch work, each disturbing other services.
 * The value of a worker for an image is the part of the image's waiting cores that falls on each core that bears it.
 */
export function createScarcity (waiting: readonly WaitingStep[], workers: readonly Candidate[], estimateRisk: PlacementNeeds['estimateRisk']): PlacementNeeds['getScarcity'] {
  const demands = listDemands(waiting)
  const needs = new Map<string, Array<[image: string, need: number]>>()
  demands.forEach(({ cores, largest }, image) => {
    const bearing = workers.filter((worker) => worker.spareCores > 0 && isBearable(worker, image, largest, estimateRisk))
    const room = bearing.reduce((sum, { spareCores }) => sum + spareCores, 0)
    const need = Math.min(1, cores / room)
    bearing.forEach(({ id }) => {
      const known = needs.get(id)
      if (known === undefined) needs.set(id, [[image, need]])
      else known.push([image, need])
    })
  })
  const others = Math.max(1, demands.size - 1)
  // Asked for each worker of each sample.
  return (worker, image) => {
    let sum = 0
    for (const [other, need] of needs.get(worker) ?? []) if (other !== image) sum += need
    return sum / others
  }
}

function listDemands (waiting: readonly WaitingStep[]): Map<string, Demand> {
  const demands = new Map<string, Demand>()
  waiting.filter(({ step }) => step.fills).forEach(({ step, indexes }) => {
    const image = step.image ?? ''
    const known = demands.get(image)
    demands.set(image, { cores: (known?.cores ?? 0) + step.cores * indexes.length, largest: Math.max(known?.largest ?? 0, step.cores) })
  })
  return demands
}

function isBearable ({ serving, cores }: Candidate, image: string, taskCores: number, estimateRisk: PlacementNeeds['estimateRisk']): boolean {
  return serving.length === 0 || estimateRisk(serving, [{ image, part: taskCores / Math.max(1, cores) }]) <= 0
}
