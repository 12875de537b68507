import { createManualClock, createNoopMetrics, createRandom, createSilentLogger, type ManualClock, type Random } from '../../src/common/index.js'
import {
  createConfiguration, type ChangeOutcome, type ConfigurationModule, type PresetChange
} from '../../src/coordination/configuration/index.js'
import { createSimulatedNetwork, type SimulatedNetwork } from '../../src/fakes/simulatedNetwork.js'
import { createElectedLogs, type ElectedLogs } from '../../src/fakes/electedLog.js'
import { createSimulatedProcess, type SimulatedProcess } from '../../src/fakes/simulatedProcess.js'

const STEP_MS = 20

interface ClusterHost { process: SimulatedProcess, configuration: ConfigurationModule, lastRevision: number }

export interface ClusterOptions { hosts?: number, seed?: number, rates?: number[], maxDelayMs?: number }

/** Several simulated hosts on one manual clock. Checks all claims whenever a claim or the activated revision changes. */
export interface ConfigurationCluster {
  readonly clock: ManualClock
  readonly network: SimulatedNetwork
  readonly logs: ElectedLogs
  readonly random: Random
  /** Activated presets, indexed by revision. */
  readonly activated: string[]
  readonly violations: string[]
  /** Revision by request id, from the committed entries. */
  readonly accepted: Map<string, number>
  names (): string[]
  host (name: string): ClusterHost
  advance (ms: number): Promise<void>
  restart (name: string): void
  isolate (name: string): void
  change (name: string, change: Partial<PresetChange>, timeoutMs?: number): Promise<ChangeOutcome>
  /** Names of running hosts whose claim is the highest activated revision. */
  listClaimants (): string[]
}

export function createCluster ({ hosts = 5, seed = 1, rates = [], maxDelayMs = 3 }: ClusterOptions = {}): ConfigurationCluster {
  const clock = createManualClock()
  const random = createRandom(seed)
  const network = createSimulatedNetwork(clock, random, maxDelayMs)
  const names = Array.from({ length: hosts }, (_, index) => `h${index + 1}`)
  const logs = createElectedLogs({ base: clock, random, network, voters: names.slice(0, 5) })
  const activated = ['ordinary']
  const violations: string[] = []
  const accepted = new Map<string, number>()
  const members = new Map<string, ClusterHost>()
  let requests = 0

  // Between two events a claim can only end, so checks at the events cover all times.
  const checkClaims = (when: string): void => members.forEach((host, name) => {
    if (host.process.isCrashed()) return
    const view = host.configuration.getConfiguration()
    const highest = activated.length - 1
    const fault = (text: string): void => { violations.push(`${Math.round(clock.now())} ${when}: ${name} ${text}`) }
    if (view.claim === 'in-force' && view.revision !== highest) fault(`claims revision ${view.revision} while ${highest} is activated`)
    if (view.claim === 'in-force' && view.preset !== activated[view.revision]) fault(`claims ${view.preset} as revision ${view.revision}`)
    if (view.claim !== 'in-force' && view.preset !== undefined) fault('names a preset without a claim')
    if (view.revision < host.lastRevision) fault(`went back from revision ${host.lastRevision} to ${view.revision}`)
    host.lastRevision = Math.max(host.lastRevision, view.revision)
  })

  logs.onCommit((entry, outcome) => {
    if (entry.kind === 'config.propose' && outcome.accepted) accepted.set(entry.requestId!, outcome.value.revision!)
    if (entry.kind !== 'config.activate' || !outcome.accepted) return
    activated.push(logs.committedState().configuration.preset)
    if (activated.length - 1 !== entry.revision) violations.push(`revision ${entry.revision} activated out of order`)
    checkClaims('activation')
  })

  const start = (name: string): void => {
    const rate = rates[names.indexOf(name)] ?? 1
    const process = createSimulatedProcess(name, clock, rate, random.below(1e6))
    const configuration = createConfiguration({
      self: name,
      clock: process.clock,
      network: network.createEndpoint(process),
      log: logs.createLog(process),
      logger: createSilentLogger(),
      metrics: createNoopMetrics()
    })
    configuration.subscribe(() => checkClaims('claim'))
    members.set(name, { process, configuration, lastRevision: 0 })
  }
  names.forEach(start)

  const host = (name: string): ClusterHost => members.get(name)!

  return {
    clock,
    network,
    logs,
    random,
    activated,
    violations,
    accepted,
    names: () => names,
    host,
    advance: async (ms) => {
      const end = clock.now() + ms
      while (clock.now() < end) {
        await clock.advance(Math.min(STEP_MS, end - clock.now()))
        checkClaims('step')
      }
    },
    restart: (name) => {
      host(name).process.crash()
      start(name)
    },
    isolate: (name) => names.forEach((other) => {
      network.setLink(name, other, false)
      network.setLink(other, name, false)
    }),
    change: (name, change, timeoutMs = 3000) => {
      const { process, configuration } = host(name)
      const request = { requestId: `request-${requests++}`, baseRevision: logs.committedState().configuration.revision, preset: 'peak', setBy: name, reason: 'test', ...change }
      return configuration.changePreset(request, process.clock.now() + timeoutMs)
    },
    listClaimants: () => names.filter((name) => {
      const { process, configuration } = host(name)
      const view = configuration.getConfiguration()
      return process.isRunning() && view.claim === 'in-force' && view.revision === activated.length - 1
    })
  }
}
