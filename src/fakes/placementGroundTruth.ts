import { createRandom, type Random } from '../common/index.js'
import type { PlacementTask } from '../coordination/placement/index.js'
import type { Policy, Resources } from '../state/index.js'

const GB = 1e9

export interface ModelDeployment {
  name: string
  workers: number
  rackSize: number
  capacity: Resources
  services: number
  replicas: number
  classes: number
  /** Members with their quotas as a part of all resources. All of them submit work at the same time. */
  members: Array<{ id: string, quotaShare: number }>
  policy: Policy
}

export interface ServiceTruth {
  id: string
  member: string
  baseMs: number
  objectiveMs: number
  size: Resources
}

export interface ClassTruth {
  id: string
  size: Resources
  runMs: number
  /** Fails on every worker. */
  failing: boolean
}

/** Ground truth of the model: true sizes, latencies and interference, which a policy has to learn. */
export interface GroundTruth {
  services: ServiceTruth[]
  classes: ClassTruth[]
  /** Interference by [service][class], for a neighbour of the class that uses all cores of the worker; `computeP99` turns it into latency. */
  interference: number[][]
  /** Interference by [service][other service]. */
  serviceInterference: number[][]
}

export interface TaskTruth {
  task: PlacementTask
  classIndex: number
  serviceIndex: number
  size: Resources
  /** Run time at full speed. */
  workMs: number
}

export function createGroundTruth (deployment: ModelDeployment, seed: number): GroundTruth {
  const random = createRandom(seed)
  const scale = deployment.capacity.cores / 32
  const services = Array.from({ length: deployment.services }, (_, index) => {
    const baseMs = 8 + 20 * random.next()
    const member = deployment.members[index % deployment.members.length] as { id: string }
    return {
      id: `service-${index}`,
      member: member.id,
      baseMs,
      // Alone on a worker, a replica reaches 70 to 85% of this objective at the peak of a load wave.
      objectiveMs: baseMs * (2.1 + 0.5 * random.next()),
      size: { cores: (1 + random.next() * 1.5) * scale, memoryBytes: (2 + 4 * random.next()) * GB * scale, accelerators: 0 }
    }
  })
  const classes = Array.from({ length: deployment.classes }, (_, index) => ({
    id: `class-${index}`,
    size: { cores: (0.5 + 3 * random.next()) * scale, memoryBytes: (1 + 9 * random.next()) * GB * scale, accelerators: 0 },
    runMs: 40_000 + 160_000 * random.next(),
    failing: false
  }))
  // Every fourth class is a noisy neighbour, and services differ in their sensitivity to interference.
  const noise = classes.map((_, index) => index % 4 === 3 ? 3 + 3 * random.next() : 0.2 + 0.6 * random.next())
  const interference = services.map(() => {
    const sensitivity = 0.3 + random.next()
    return noise.map((level) => level * sensitivity * (0.5 + random.next()))
  })
  // Replicas use much memory bandwidth, so they are moderately noisy neighbours themselves.
  const serviceInterference = services.map(() => services.map(() => 1 + 1.5 * random.next()))
  return { services, classes, interference, serviceInterference }
}

/**
 * Computes the p99 of one replica. The formula differs on purpose from the model that the policy fits:
 * queueing delay grows with the load, and interference with the square of the load.
 */
export function computeP99 (service: ServiceTruth, load: number, interference: number, overload: number): number {
  const uncontended = 0.6 + 0.4 / (1 - Math.min(0.8 * load, 0.95))
  return service.baseMs * uncontended * (1 + interference * (0.3 + 1.4 * load * load)) * Math.max(1, overload) ** 2
}

export interface JobStream {
  /** Returns the tasks of the member's next job. */
  next (member: string): TaskTruth[]
  nextUrgent (member: string): TaskTruth
}

/**
 * Creates the jobs of all members; the same seed gives the same jobs to every policy. The part `misdeclaredShare` of the jobs
 * declares sizes that are 4 times too large or too small.
 */
export function createJobStream (truth: GroundTruth, seed: number, misdeclaredShare: number): JobStream {
  const streams = new Map<string, { random: Random, count: number }>()
  const getStream = (name: string): { random: Random, count: number } => {
    const stream = streams.get(name) ?? { random: createRandom(seed + 31 * [...name].reduce((sum, letter) => sum + letter.charCodeAt(0), 0)), count: 0 }
    streams.set(name, stream)
    return stream
  }
  const createTask = (member: string, job: string, index: number, classIndex: number, factor: number, random: Random, urgent: boolean): TaskTruth => {
    const known = truth.classes[classIndex] as ClassTruth
    const variation = 0.9 + 0.2 * random.next()
    const size = { cores: known.size.cores * variation, memoryBytes: known.size.memoryBytes * variation, accelerators: 0 }
    return {
      task: {
        id: `${job}-${index}`,
        job,
        member,
        jobClass: known.id,
        size: { cores: known.size.cores * factor, memoryBytes: known.size.memoryBytes * factor, accelerators: 0 },
        expectedRunMs: known.runMs,
        urgent,
        idempotent: true,
        resumed: false
      },
      classIndex,
      serviceIndex: -1,
      size,
      workMs: urgent ? 15_000 : known.runMs * variation
    }
  }
  return {
    next: (member) => {
      const stream = getStream(member)
      const { random } = stream
      const job = `${member}.${stream.count++}`
      const classIndex = random.below(truth.classes.length)
      const isMisdeclared = random.next() < misdeclaredShare
      const factor = isMisdeclared ? (random.next() < 0.5 ? 4 : 0.25) : 0.9 + 0.4 * random.next()
      return Array.from({ length: 8 + random.below(25) }, (_, index) => createTask(member, job, index, classIndex, factor, random, false))
    },
    nextUrgent: (member) => {
      const stream = getStream(`urgent.${member}`)
      const job = `urgent.${member}.${stream.count++}`
      return createTask(member, job, 0, stream.random.below(truth.classes.length), 1.1, stream.random, true)
    }
  }
}

/** Normal distribution by the polar method of Box and Muller. */
export function computeNormal (random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
}
