import { listUnfinishedTasks, type ReplicatedState, type Job, type Resources } from '../../state/index.js'

export interface ZoneShare { availabilityZone: string, tasks: number }

/**
 * Splits the tasks of a job among the zones in proportion to the spare cores of their workers. Only zones with a worker that
 * is large enough for a task take part. A job of one task goes to the zone with the most spare cores; `ownZone` wins a tie.
 */
export function computeZoneShares (state: ReplicatedState, job: Job, ownZone: string): ZoneShare[] {
  const spareCores = computeSpareCores(state)
  const zones = Object.keys(spareCores).filter((zone) => hasFittingWorker(state, zone, job.size))
  // If no zone has a worker of this size, the job is assigned to this zone, where placement explains why its tasks cannot start.
  if (zones.length === 0) return [{ availabilityZone: ownZone, tasks: job.tasks }]
  const weights = zones.map((zone) => Math.max(0.001, spareCores[zone] ?? 0))
  const counts = splitByWeights(job.tasks, weights, zones.indexOf(ownZone))
  return zones
    .map((availabilityZone, index) => ({ availabilityZone, tasks: counts[index] ?? 0 }))
    .filter((share) => share.tasks > 0)
}

/** Splits `total` into integer shares in proportion to the weights, by the largest remainder method; `preferredIndex` wins a tie. */
export function splitByWeights (total: number, weights: number[], preferredIndex: number): number[] {
  const totalWeight = weights.reduce((all, weight) => all + weight, 0)
  const exactShares = weights.map((weight) => total * weight / totalWeight)
  const shares = exactShares.map(Math.floor)
  const left = total - shares.reduce((all, share) => all + share, 0)
  const byRemainder = exactShares
    .map((share, index) => ({ index, remainder: share - Math.floor(share) }))
    .sort((a, b) => b.remainder - a.remainder || Number(b.index === preferredIndex) - Number(a.index === preferredIndex) || a.index - b.index)
  byRemainder.slice(0, left).forEach(({ index }) => { shares[index] = (shares[index] ?? 0) + 1 })
  return shares
}

function computeSpareCores (state: ReplicatedState): Record<string, number> {
  const spareCores: Record<string, number> = {}
  Object.values(state.workers).forEach((worker) => {
    if (state.zones[worker.availabilityZone]?.retired === true) return
    spareCores[worker.availabilityZone] = (spareCores[worker.availabilityZone] ?? 0) + worker.capacity.cores
  })
  Object.values(state.jobs)
    .filter((record) => !record.cancelled && Object.keys(record.outcomes).length < record.job.tasks)
    .forEach((record) => Object.keys(spareCores).forEach((zone) => {
      spareCores[zone] = (spareCores[zone] ?? 0) - listUnfinishedTasks(record, zone).length * record.job.size.cores
    }))
  return spareCores
}

function hasFittingWorker (state: ReplicatedState, availabilityZone: string, size: Resources): boolean {
  return Object.values(state.workers).some((worker) =>
    worker.availabilityZone === availabilityZone &&
    worker.capacity.cores >= size.cores &&
    worker.capacity.memoryBytes >= size.memoryBytes &&
    worker.capacity.accelerators >= size.accelerators)
}
