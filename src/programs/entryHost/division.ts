import { listUnfinishedTasks, type ReplicatedState, type Job, type Resources } from '../../state/index.js'

export interface ZoneShare { availabilityZone: string, tasks: number }

/**
 * Divides the tasks of a job among the zones in proportion to the cores that their workers have left.
 * A job of one task goes to the zone with the most left; `ownZone` wins a tie.
 */
export function computeDivision (state: ReplicatedState, job: Job, ownZone: string): ZoneShare[] {
  const spare = computeSpareCores(state)
  const zones = Object.keys(spare).filter((zone) => canHold(state, zone, job.size))
  // Without a zone that can hold it the job stays here, where it is refused with the reason.
  if (zones.length === 0) return [{ availabilityZone: ownZone, tasks: job.tasks }]
  const weights = zones.map((zone) => Math.max(0.001, spare[zone] ?? 0))
  const counts = computeShares(job.tasks, weights, zones.indexOf(ownZone))
  return zones
    .map((availabilityZone, index) => ({ availabilityZone, tasks: counts[index] ?? 0 }))
    .filter((share) => share.tasks > 0)
}

/** Whole shares that add up to `total`; the largest remainders are rounded up. */
export function computeShares (total: number, weights: number[], preferred: number): number[] {
  const sum = weights.reduce((all, weight) => all + weight, 0)
  const exact = weights.map((weight) => total * weight / sum)
  const floors = exact.map(Math.floor)
  const left = total - floors.reduce((all, share) => all + share, 0)
  const order = exact
    .map((share, index) => ({ index, remainder: share - Math.floor(share) }))
    .sort((a, b) => b.remainder - a.remainder || Number(b.index === preferred) - Number(a.index === preferred) || a.index - b.index)
  order.slice(0, left).forEach(({ index }) => { floors[index] = (floors[index] ?? 0) + 1 })
  return floors
}

function computeSpareCores (state: ReplicatedState): Record<string, number> {
  const spare: Record<string, number> = {}
  Object.values(state.workers).forEach((worker) => {
    if (state.zones[worker.availabilityZone]?.retired === true) return
    spare[worker.availabilityZone] = (spare[worker.availabilityZone] ?? 0) + worker.capacity.cores
  })
  Object.values(state.jobs)
    .filter((record) => !record.cancelled && Object.keys(record.outcomes).length < record.job.tasks)
    .forEach((record) => Object.keys(spare).forEach((zone) => {
      spare[zone] = (spare[zone] ?? 0) - listUnfinishedTasks(record, zone).length * record.job.size.cores
    }))
  return spare
}

function canHold (state: ReplicatedState, availabilityZone: string, size: Resources): boolean {
  return Object.values(state.workers).some((worker) =>
    worker.availabilityZone === availabilityZone &&
    worker.capacity.cores >= size.cores &&
    worker.capacity.memoryBytes >= size.memoryBytes &&
    worker.capacity.accelerators >= size.accelerators)
}
