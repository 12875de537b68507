import { request } from 'undici'
import { createSystemClock, type Clock } from '../../common/index.js'
import type { RunPlan } from '../../fakes/worker.js'
import { openHttpExecutor, type HttpExecutor } from '../../fakes/httpExecutor.js'
import { openHttpWorker, type HttpWorker } from '../../fakes/httpWorker.js'

const ANNOUNCE_RETRY_MS = 300
const ANNOUNCE_TIMEOUT_MS = 2_000

export interface TargetPlan {
  service: string
  executors: number
  workers: number
  workersPerRack: number
  cores: number
  memoryBytes: number
  serviceMs: number
  taskMs: number
  /** Prefix of the target ids, which must be unique in a deployment. */
  prefix?: string
}

/** Base URLs of the entry hosts, by zone. */
export type ZoneHosts = Record<string, string[]>

export interface FakeTargets {
  executors: HttpExecutor[]
  workers: HttpWorker[]
  /** Stops the announcements, then closes all targets. */
  close (): Promise<void>
}

/** Opens fake executors and workers on loopback addresses, distributes them over the zones and announces them to the entry hosts. */
export async function openFakeTargets (plan: TargetPlan, zoneHosts: ZoneHosts, token: string): Promise<FakeTargets> {
  const clock = createSystemClock()
  const zones = Object.keys(zoneHosts)
  const prefix = plan.prefix === undefined ? '' : `${plan.prefix}-`
  const stopping = new AbortController()
  const chooseZone = (index: number): string => zones[index % zones.length] as string
  const executors = await Promise.all(Array.from({ length: plan.executors }, (_, index) => openHttpExecutor({
    clock, id: `${prefix}executor-${index + 1}`, service: plan.service, availabilityZone: chooseZone(index), serviceMs: plan.serviceMs
  })))
  const workers = await Promise.all(Array.from({ length: plan.workers }, (_, index) => openHttpWorker({
    clock, id: `${prefix}worker-${index + 1}`, plan: ({ command }): RunPlan => ({ runMs: parseRunMs(command) ?? plan.taskMs, result: 'succeeded' })
  })))
  const announce = createAnnouncer(clock, token, stopping.signal)
  const loops = [
    ...executors.map(({ executor }, index) => announceExecutor(executor, zoneHosts[chooseZone(index)] ?? [], announce)),
    ...workers.map((worker, index) => announceWorker(worker, index, plan, chooseZone(index), zoneHosts[chooseZone(index)] ?? [], announce))
  ]
  return {
    executors,
    workers,
    close: async () => {
      stopping.abort()
      await Promise.all(loops)
      await Promise.all([...executors, ...workers].map((target) => target.close()))
    }
  }
}

/** Returns the run time that a task requests by the command `run MS`. */
function parseRunMs (command: string): number | undefined {
  const match = /^run (\d{1,9})$/.exec(command)
  return match === null ? undefined : Number(match[1])
}

interface Reply { announceWithinMs: number, echo?: string }
type Announce = (hosts: string[], createBody: (home: string) => unknown, onReply: (home: string, reply: Reply) => void) => Promise<void>

// Announces to the same entry host while it answers and to the next one after a failure.
function createAnnouncer (clock: Clock, token: string, signal: AbortSignal): Announce {
  return async (hosts, createBody, onReply) => {
    let index = Math.floor(Math.random() * hosts.length)
    while (!signal.aborted) {
      const home = hosts[index % hosts.length] as string
      const reply = await sendAnnouncement(home, token, createBody(home))
      if (reply === undefined) index += 1
      else onReply(home, reply)
      await clock.sleep(reply?.announceWithinMs ?? ANNOUNCE_RETRY_MS, signal)
    }
  }
}

async function sendAnnouncement (home: string, token: string, body: unknown): Promise<Reply | undefined> {
  try {
    const answer = await request(`${home}/v1/targets/announce`, {
      method: 'POST',
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      body: JSON.stringify(body),
      headersTimeout: ANNOUNCE_TIMEOUT_MS,
      bodyTimeout: ANNOUNCE_TIMEOUT_MS
    })
    const reply = await answer.body.json() as Reply
    return answer.statusCode === 200 ? reply : undefined
  } catch {
    return undefined
  }
}

async function announceExecutor (executor: HttpExecutor['executor'], hosts: string[], announce: Announce): Promise<void> {
  const state = { home: undefined as string | undefined, homeSequence: 0, echo: undefined as string | undefined }
  executor.useAnnouncer(state)
  const createBody = (home: string): unknown => {
    if (state.home !== home) Object.assign(state, { home, homeSequence: state.homeSequence + 1, echo: undefined })
    return executor.createAnnouncement()
  }
  await announce(hosts, createBody, (_home, reply) => { state.echo = reply.echo })
}

async function announceWorker (worker: HttpWorker, index: number, plan: TargetPlan, availabilityZone: string, hosts: string[], announce: Announce): Promise<void> {
  const body = {
    kind: 'worker',
    id: worker.core.id,
    availabilityZone,
    rack: `rack-${Math.floor(index / plan.workersPerRack) + 1}`,
    url: worker.url,
    capacity: { cores: plan.cores, memoryBytes: plan.memoryBytes, accelerators: 0 }
  }
  await announce(hosts, () => body, () => {})
}
