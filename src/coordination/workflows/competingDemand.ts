import type { Step } from '../../state/index.js'
import type { Candidate, PlacementNeeds } from './placement.js'

/** Waiting tasks of a step. */
export interface WaitingTasks { step: Step, indexes: readonly number[] }

interface Demand { cores: number, largest: number }

/**
 * Computes how much other waiting images need each worker. An image that only few workers tolerate should find capacity
 * there, so images that are tolerated elsewhere should avoid these workers. This matters for batch work of many images,
 * each of which disturbs other services. The demand of an image for a worker is the ratio of the cores that the image's
 * waiting tasks request to the spare cores of all workers that tolerate it, up to 1.
 */
export function createCompetingDemand (waiting: readonly WaitingTasks[], workers: readonly Candidate[], estimateExcessLoad: PlacementNeeds['estimateExcessLoad']): PlacementNeeds['getCompetingDemand'] {
  const demands = listDemands(waiting)
  const demandByWorker = new Map<string, Array<[image: string, demand: number]>>()
  demands.forEach(({ cores, largest }, image) => {
    const tolerant = workers.filter((worker) => worker.spareCores > 0 && isTolerated(worker, image, largest, estimateExcessLoad))
    const tolerantSpareCores = tolerant.reduce((sum, { spareCores }) => sum + spareCores, 0)
    const demandShare = Math.min(1, cores / tolerantSpareCores)
    tolerant.forEach(({ id }) => {
      const existing = demandByWorker.get(id)
      if (existing === undefined) demandByWorker.set(id, [[image, demandShare]])
      else existing.push([image, demandShare])
    })
  })
  const otherImageCount = Math.max(1, demands.size - 1)
  // On the hot path: called for each worker of each sample.
  return (worker, image) => {
    let sum = 0
    for (const [other, demandShare] of demandByWorker.get(worker) ?? []) if (other !== image) sum += demandShare
    return sum / otherImageCount
  }
}

function listDemands (waiting: readonly WaitingTasks[]): Map<string, Demand> {
  const demands = new Map<string, Demand>()
  waiting.filter(({ step }) => step.fills).forEach(({ step, indexes }) => {
    const image = step.image ?? ''
    const existing = demands.get(image)
    demands.set(image, { cores: (existing?.cores ?? 0) + step.cores * indexes.length, largest: Math.max(existing?.largest ?? 0, step.cores) })
  })
  return demands
}

function isTolerated ({ latencyCritical, cores }: Candidate, image: string, taskCores: number, estimateExcessLoad: PlacementNeeds['estimateExcessLoad']): boolean {
  return latencyCritical.length === 0 || estimateExcessLoad(latencyCritical, [{ image, coreShare: taskCores / Math.max(1, cores) }]) <= 0
}
