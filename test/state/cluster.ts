import { createManualClock } from '../../src/common/index.js'
import { createFakeCluster, type FakeCluster, type FakeClusterOptions, type FakeHost } from '../../src/fakes/fakeCluster.js'
import type { Entry, LogStatus } from '../../src/state/index.js'

export async function startCluster (options: Partial<FakeClusterOptions> = {}) {
  const clock = createManualClock()
  const cluster = createFakeCluster({ clock, seed: 3, voters: ['a', 'b', 'c'], spares: ['d'], ...options })
  cluster.hosts.forEach((host) => host.start())
  await clock.advance(4000)
  const run = async <T>(promise: Promise<T>, ms = 3000): Promise<T> => {
    await clock.advance(ms)
    return promise
  }
  const proposeOn = (host: FakeHost, entry: Entry, ms = 2500) => host.replica()!.propose(entry, host.process().clock.now() + ms)
  return { clock, cluster, run, proposeOn, deadlineOf: (host: FakeHost, ms = 2500) => host.process().clock.now() + ms }
}

export const getStatus = (host: FakeHost): LogStatus => host.replica()!.status()
export const listMembers = (host: FakeHost): string[] => Object.keys(host.replica()!.state().members)
export const listFollowers = (cluster: FakeCluster): FakeHost[] =>
  cluster.listRunning().filter((host) => getStatus(host).role === 'follower')
