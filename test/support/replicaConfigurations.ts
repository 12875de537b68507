import { createManualClock, createNoopMetrics, createSilentLogger, type ManualClock } from '../../src/common/index.js'
import { createConfiguration, type ConfigurationModule } from '../../src/coordination/configuration/index.js'
import { createFakeCluster, type FakeCluster } from '../../src/fakes/fakeCluster.js'
import { applyEntry, createReplicatedState, type Entry, type Replica } from '../../src/state/index.js'

const STEP_MS = 20

interface Attached { replica: Replica, configuration: ConfigurationModule, lastRevision: number }

/** Configuration modules on real log replicas. Checks all claims at each activation, claim change and step. */
export interface ReplicaConfigurations {
  readonly clock: ManualClock
  readonly cluster: FakeCluster
  readonly violations: string[]
  /** Activated presets, indexed by revision. */
  readonly activated: string[]
  /** The module of the host; undefined while its process is down. */
  find (name: string): ConfigurationModule | undefined
  advance (ms: number): Promise<void>
  listClaimants (): string[]
}

export function createReplicaConfigurations (seed: number, voters: string[], learners: string[]): ReplicaConfigurations {
  const clock = createManualClock()
  const activated = ['ordinary']
  const violations: string[] = []
  const attached = new Map<string, Attached>()
  const truth = createReplicatedState()
  let truthIndex = 0

  const find = (name: string): Attached | undefined => {
    const host = attached.get(name)
    return host !== undefined && host.replica === cluster.getHost(name).replica() ? host : undefined
  }

  const checkClaims = (when: string): void => cluster.hosts.forEach(({ name }) => {
    const host = find(name)
    if (host === undefined) return
    const { claim, revision, preset } = host.configuration.getConfiguration()
    const highest = activated.length - 1
    if (claim === 'in-force' && (revision !== highest || preset !== activated[highest])) {
      violations.push(`${Math.round(clock.now())} ${when}: ${name} claims ${revision} ${preset}, activated is ${highest}`)
    }
    if (revision < host.lastRevision) violations.push(`${when}: ${name} went back from ${host.lastRevision} to ${revision}`)
    host.lastRevision = revision
  })

  // The first host that applies an entry defines the order. The fuzz test of the replica checks that all hosts apply the same entries.
  const recordApplied = (index: number, entry: Entry): void => {
    if (index <= truthIndex) return
    if (index !== truthIndex + 1) violations.push(`entry ${index} follows ${truthIndex}`)
    truthIndex = index
    applyEntry(truth, entry)
    if (truth.configuration.revision < activated.length) return
    activated.push(truth.configuration.preset)
    checkClaims('activation')
  }

  const cluster = createFakeCluster({ clock, seed, voters, learners, onApplied: (_, index, entry) => recordApplied(index, entry) })
  cluster.hosts.forEach((host) => host.start())

  const attachAll = (): void => cluster.hosts.forEach((host) => {
    const replica = host.replica()
    const network = host.endpoint()
    if (replica === undefined || network === undefined || find(host.name) !== undefined) return
    const configuration = createConfiguration({
      self: host.name, clock: host.process().clock, network, log: replica, logger: createSilentLogger(), metrics: createNoopMetrics()
    })
    configuration.subscribe(() => checkClaims('claim'))
    attached.set(host.name, { replica, configuration, lastRevision: 0 })
  })

  return {
    clock,
    cluster,
    violations,
    activated,
    find: (name) => find(name)?.configuration,
    advance: async (ms) => {
      const end = clock.now() + ms
      while (clock.now() < end) {
        await clock.advance(Math.min(STEP_MS, end - clock.now()))
        attachAll()
        checkClaims('step')
      }
    },
    listClaimants: () => [...cluster.hosts.keys()].filter((name) => {
      const view = find(name)?.configuration.getConfiguration()
      return view?.claim === 'in-force' && view.revision === activated.length - 1
    })
  }
}
