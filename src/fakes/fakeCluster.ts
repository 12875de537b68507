import { createRandom, createSilentLogger, type Logger, type ManualClock, type Network } from '../common/index.js'
import { createReplica, type Entry, type LogLimits, type Replica, type StoreFailure } from '../state/index.js'
import { createFakeDisk, type FakeDisk } from './fakeDisk.js'
import { createHostProcess, type HostProcess } from './hostProcess.js'
import { createMemoryNetwork, type MemoryNetwork } from './memoryNetwork.js'

export interface FakeClusterOptions {
  clock: ManualClock
  seed: number
  voters: string[]
  /** Hosts with a disk that are not voters initially. */
  spares?: string[]
  /** Hosts without a disk. */
  learners?: string[]
  logger?: Logger
  delayMs?: number
  syncMs?: number
  limits?: Partial<LogLimits>
  /** Called after a host has applied an entry. */
  onApplied?: (host: FakeHost, index: number, entry: Entry) => void
}

export interface FakeHost {
  readonly name: string
  readonly disk: FakeDisk | undefined
  /** Undefined while the host is down or has not opened its store. */
  replica (): Replica | undefined
  process (): HostProcess
  /** Network endpoint of the running process, for modules above the replica. */
  endpoint (): Network | undefined
  openFailure (): StoreFailure | undefined
  start (options?: { repair?: boolean }): void
  /** Ends the process. Its disk keeps what was written; unsynced data is still lost by a later `crash`. */
  kill (): void
  /** Ends the process as by a loss of power, which loses unsynced data. */
  crash (): void
}

export interface FakeCluster {
  readonly hosts: Map<string, FakeHost>
  readonly network: MemoryNetwork
  getHost (name: string): FakeHost
  listRunning (): FakeHost[]
  /** Returns the leader with the highest term; a deposed leader may still consider itself the leader. */
  findLeader (): FakeHost | undefined
  /** Drops all messages from one group of hosts to another, in this direction only; `none` ends it. */
  setCut (from: string[], to: string[], cut: 'silent' | 'none'): void
  /** Drops all messages to and from a host; no sender is told. */
  isolate (name: string): void
  rejoin (name: string): void
  /** Starts every host that is down or whose replica has failed. The host `repaired` may repair its store. */
  startStopped (repaired?: string): void
}

/** Creates replicas on a simulated network and simulated disks. The same seed gives the same run. */
export function createFakeCluster (options: FakeClusterOptions): FakeCluster {
  const { clock, seed, voters, spares = [], learners = [] } = options
  const names = [...voters, ...spares, ...learners]
  const network = createMemoryNetwork({ clock, random: createRandom(seed), delayMs: options.delayMs })
  const hosts = new Map(names.map((name, position) => {
    const hasDisk = !learners.includes(name)
    return [name, createFakeHost(name, position, hasDisk, network, names, options)]
  }))
  const getHost = (name: string): FakeHost => {
    const host = hosts.get(name)
    if (host === undefined) throw new Error(`no host ${name}`)
    return host
  }
  const listRunning = (): FakeHost[] => [...hosts.values()].filter((host) => host.replica() !== undefined)
  const setCut = (from: string[], to: string[], cut: 'silent' | 'none'): void => from.forEach((source) => {
    to.filter((target) => target !== source).forEach((target) => network.setFaults(source, target, { cut }))
  })
  const setIsolation = (name: string, cut: 'silent' | 'none'): void => {
    setCut([name], names, cut)
    setCut(names, [name], cut)
  }
  return {
    hosts,
    network,
    getHost,
    listRunning,
    findLeader: () => listRunning()
      .filter((host) => host.replica()?.status().role === 'leader')
      .sort((a, b) => (b.replica()?.status().term ?? 0) - (a.replica()?.status().term ?? 0))[0],
    setCut,
    isolate: (name) => setIsolation(name, 'silent'),
    rejoin: (name) => setIsolation(name, 'none'),
    startStopped: (repaired) => hosts.forEach((host) => {
      host.disk?.setStepListener(undefined)
      const replica = host.replica()
      if (replica !== undefined && replica.failure() === undefined) return
      host.kill()
      host.start({ repair: host.name === repaired })
    })
  }
}

/** Clock rates of the hosts, up to 1% fast or slow. */
const CLOCK_RATES = [1, 1.01, 0.99, 1.005, 0.995]

function createFakeHost (
  name: string, position: number, hasDisk: boolean, network: MemoryNetwork, names: string[], options: FakeClusterOptions
): FakeHost {
  const { clock, seed, voters, logger = createSilentLogger(), syncMs = 1 } = options
  const random = createRandom(seed * 1000 + position)
  const disk = hasDisk ? createFakeDisk({ clock, random, syncMs }) : undefined
  const rate = CLOCK_RATES[position % CLOCK_RATES.length]
  let process = createHostProcess(clock, rate)
  let replica: Replica | undefined
  let endpoint: Network | undefined
  let failure: StoreFailure | undefined
  let starts = 0
  let ids = 0

  const stopProcess = (): void => {
    process.kill()
    network.disconnect(name)
    replica = undefined
  }

  const host: FakeHost = {
    name,
    disk,
    replica: () => replica,
    process: () => process,
    endpoint: () => endpoint,
    openFailure: () => failure,
    start: ({ repair } = {}) => {
      starts += 1
      const own = createHostProcess(clock, rate)
      process = own
      failure = undefined
      endpoint = network.connect(name, own)
      createReplica({
        deployment: 'test',
        self: name,
        availabilityZone: `zone-${position % 3}`,
        clock: own.clock,
        random: createRandom(seed * 1000 + position + 100 * starts),
        network: endpoint,
        logger: logger.child({ host: name }),
        disk: disk?.open(),
        bootstrapVoters: voters,
        seeds: names,
        repair,
        limits: options.limits,
        createId: () => `${name}-${ids++}`
      }).then((result) => {
        if (!own.isAlive()) return
        if (result.err) {
          failure = result.val
          return
        }
        replica = result.val
        replica.subscribe((entry, index) => options.onApplied?.(host, index, entry))
      })
    },
    kill: () => {
      stopProcess()
      disk?.killProcess()
    },
    crash: () => {
      stopProcess()
      disk?.crash()
    }
  }
  return host
}
