import type { RequestOutcome, RoutedRequest } from '../../src/coordination/routing/index.js'
import type { Step } from '../fuzz/routing.fuzz.test.js'
import { countRuns, createRequest, getText, type Cluster, type TestHost } from './cluster.js'

/** A caller gets an outcome at most this long after the deadline; looking for a copy of an idempotency record at the peers takes 300 ms. */
const REPLY_LIMIT_MS = 450
const LEAVE_LIMIT_MS = 3000

interface Sent {
  work: string
  request: RoutedRequest
  host: TestHost
  at: number
  outcome?: RequestOutcome
  /** The host was frozen, crashed or drained while the request was open, so its outcome may be late or lost. */
  disturbed: boolean
  endedAt?: number
  change: string
}

export interface Oracle {
  apply (step: Step): Promise<void>
  /** Repairs all faults, checks that each host answers requests again, and checks the invariants over the whole run. */
  finish (): Promise<void>
}

export function createOracle (cluster: Cluster): Oracle {
  const { clock, network, hosts, executors } = cluster
  const sent: Sent[] = []
  const leftAt = new Map<string, number>()
  const repairs: Array<{ at: number, run: () => void }> = []
  const drained = new Set<TestHost>()
  let sequence = 0

  const fail = (message: string): never => { throw new Error(message) }

  const send = (hostId: string, request: RoutedRequest, work: string, change: string): void => {
    const host = hosts.get(hostId) as TestHost
    if (host.gate.isCrashed()) return
    const item: Sent = { work, request, host, at: clock.now(), disturbed: isFrozen.has(hostId), change }
    sent.push(item)
    host.gate.wait().then(() => host.router.routeRequest(request)).then((outcome) => {
      item.outcome = outcome
      item.endedAt = clock.now()
      if (!item.disturbed && item.endedAt > request.deadline + REPLY_LIMIT_MS) fail(`${work} ended ${item.endedAt - request.deadline} ms after its deadline`)
      checkOutcome(item)
    }).catch((error) => { failures.push(error as Error) })
  }
  const failures: Error[] = []
  const isFrozen = new Set<string>()

  const checkOutcome = ({ work, outcome, change, request }: Sent): void => {
    if (outcome?.kind === 'answered' && outcome.status === 200 && getText(outcome) !== `${work} body of ${work}`) fail(`${work} got "${getText(outcome)}"`)
    if (change !== 'none' && change !== 'body' && outcome?.kind !== 'refused') fail(`a resend with another ${change} was not refused: ${JSON.stringify(outcome)}`)
    if (change === 'body' && outcome?.kind === 'answered') fail(`a resend with another body was answered: ${work}`)
    if (!request.idempotent && outcome?.key === undefined) fail(`${work} has no key`)
  }

  const schedule = (ms: number, run: () => void): void => { repairs.push({ at: clock.now() + ms, run }) }

  const advance = async (ms: number): Promise<void> => {
    const end = clock.now() + ms
    while (clock.now() < end) {
      await clock.advance(Math.min(end - clock.now(), 20))
      const due = repairs.filter((item) => item.at <= clock.now())
      due.forEach((item) => {
        repairs.splice(repairs.indexOf(item), 1)
        item.run()
      })
      checkCapacity()
    }
  }

  const checkCapacity = (): void => executors.forEach((executor) => {
    const { slots = 0, connections = 0 } = executor.createAnnouncement()
    if (executor.record.maxRunning > slots) fail(`${executor.id} ran ${executor.record.maxRunning} of ${slots}`)
    if (executor.record.maxConnections > connections) fail(`${executor.id} had ${executor.record.maxConnections} connections of ${connections}`)
  })

  const disturb = (host: TestHost): void => sent.filter((item) => item.host === host && item.outcome === undefined).forEach((item) => { item.disturbed = true })

  const resend = (hostId: string, pick: number, change: string): void => {
    const known = sent.filter((item) => item.change === 'none' && item.outcome?.key !== undefined)
    const item = known[pick % Math.max(1, known.length)]
    if (item === undefined) return
    const key = item.outcome?.key as string
    const request = { ...item.request, headers: item.request.headers, deadline: clock.now() + 300, key }
    if (change === 'body') request.body = Buffer.from('another body')
    if (change === 'member') request.member = 'rival'
    if (change === 'key') request.key = `${key.slice(0, -1)}${key.endsWith('A') ? 'E' : 'A'}`
    send(hostId, request, item.work, change)
  }

  const handlers: { [K in Step['kind']]: (step: Extract<Step, { kind: K }>) => void | Promise<void> } = {
    request: ({ host, idempotent, timeoutMs, count }) => {
      for (let n = 0; n < count; n++) {
        const work = `w${sequence++}`
        const member = n % 2 === 0 ? 'misterios' : 'rum'
        const key = n % 3 === 0 ? { key: cluster.router(host).issueKey(member) } : {}
        send(host, createRequest(cluster, work, { idempotent, member, ...key }, timeoutMs), work, 'none')
      }
    },
    resend: ({ host, pick, change }) => resend(host, pick, change),
    advance: ({ ms }) => advance(ms),
    mode: ({ executor, mode, lateMs, serviceMs }) => {
      Object.assign(executors.get(executor)?.behaviour ?? {}, { mode, lateMs, serviceMs: () => serviceMs })
    },
    silence: ({ executor }) => executors.get(executor)?.silenceConnections(),
    'executor-crash': ({ executor, downMs }) => {
      executors.get(executor)?.crash()
      schedule(downMs, () => {
        leftAt.delete(executor)
        executors.get(executor)?.restart()
      })
    },
    leave: ({ executor }) => {
      if (executors.get(executor)?.isUp() !== true) return
      executors.get(executor)?.setLeaving(true)
      if (!leftAt.has(executor)) leftAt.set(executor, clock.now())
    },
    'host-crash': ({ host, downMs }) => {
      const process = hosts.get(host) as TestHost
      if (process.gate.isCrashed()) return
      disturb(process)
      cluster.crashHost(host)
      schedule(downMs, () => { cluster.startHost(host, process.availabilityZone) })
    },
    freeze: ({ host, ms }) => {
      const process = hosts.get(host) as TestHost
      disturb(process)
      isFrozen.add(host)
      process.gate.setFrozen(true)
      schedule(ms, () => {
        isFrozen.delete(host)
        process.gate.setFrozen(false)
      })
    },
    cut: ({ a, b, cut, ms }) => {
      if (a === b) return
      network.setCut(a, b, cut)
      schedule(ms, () => network.setCut(a, b, undefined))
    },
    'executor-cut': ({ host, executor, ms }) => {
      const name = `${host} ${executors.get(executor)?.url ?? ''}`
      cluster.cutExecutors.add(name)
      schedule(ms, () => { cluster.cutExecutors.delete(name) })
    },
    drain: ({ host }) => {
      const process = hosts.get(host) as TestHost
      if (process.gate.isCrashed() || isFrozen.has(host) || drained.has(process)) return
      drained.add(process)
      process.router.drain().then(() => {
        if (process.gate.isCrashed()) return
        disturb(process)
        cluster.crashHost(host)
        cluster.startHost(host, process.availabilityZone)
      })
    }
  }

  const checkRuns = (): void => {
    for (const { work, outcome, request } of sent) {
      const runs = countRuns(cluster, work)
      if (!request.idempotent && runs > 1) fail(`${work} is not idempotent and ran ${runs} times`)
      if (outcome?.kind === 'not-run' && runs > 0) fail(`${work} was refused with "not-run" (${outcome.reason}) and ran ${runs} times`)
    }
    for (const [id, at] of leftAt) {
      const late = executors.get(id)?.record.runs.find((run) => run.at > at + LEAVE_LIMIT_MS)
      if (late !== undefined) fail(`${id} was given ${late.work} ${late.at - at} ms after it announced that it leaves`)
    }
  }

  const checkService = async (): Promise<void> => {
    for (const host of hosts.values()) {
      const work = `final-${host.id}`
      const request = createRequest(cluster, work, {}, 2000)
      const state: { outcome?: RequestOutcome } = {}
      host.router.routeRequest(request).then((outcome) => { state.outcome = outcome })
      await advance(2500)
      if (state.outcome?.kind !== 'answered') fail(`${host.id} does not serve after the repair: ${JSON.stringify(state.outcome)} ${JSON.stringify(host.router.listTargets())}`)
    }
  }

  const finish = async (): Promise<void> => {
    await advance(3500)
    executors.forEach((executor, id) => {
      Object.assign(executor.behaviour, { mode: 'normal', lateMs: 0, serviceMs: () => 5 })
      if (!executor.isUp() || leftAt.delete(id)) executor.restart()
    })
    await advance(6000)
    await checkService()
    checkRuns()
    const open = sent.find((item) => item.outcome === undefined && !item.disturbed)
    if (open !== undefined) fail(`${open.work} has no outcome`)
    if (failures[0] !== undefined) throw failures[0]
    await cluster.stop()
  }

  return {
    apply: async (step) => {
      await (handlers[step.kind] as (item: Step) => void | Promise<void>)(step)
      await advance(1)
      if (failures[0] !== undefined) throw failures[0]
      if (!step.kind.startsWith('executor-crash')) checkRuns()
    },
    finish
  }
}
