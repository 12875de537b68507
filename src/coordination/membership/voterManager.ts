import { runSupervised, type Clock, type Logger } from '../../common/index.js'
import type { LogStatus, Replica } from '../../state/index.js'

/** Interval at which the leader checks the voters, ms. */
const CHECK_INTERVAL_MS = 500
/** A voter that has sent nothing for this long is replaced if another host with a disk is on standby, ms. A process restart takes about 1 s. */
const VOTER_TIMEOUT_MS = 2500
/** A learner that has sent a message within this time counts as present, ms. This is several of its heartbeats. */
const PRESENCE_TIMEOUT_MS = 2500
const CHANGE_TIMEOUT_MS = 4000

export type VoterChange =
  | { kind: 'add', host: string }
  | { kind: 'replace', host: string, by: string }

type Progress = LogStatus['progress']

/**
 * Chooses the next change of the set of voters. In this order: replaces the voter of a host that has lost its disk by the
 * host's new incarnation, replaces an unreachable voter by a standby host, and adds a standby host while there are fewer
 * voters than the target.
 */
export function chooseVoterChange (progress: Progress, targetVoters: number): VoterChange | undefined {
  const voters = progress.filter(({ votes }) => votes)
  const present = progress.filter(({ votes, lastHeardAgoMs }) => !votes && lastHeardAgoMs < PRESENCE_TIMEOUT_MS)
  const returned = present.find(({ host }) => voters.some((voter) => voter.host === host && voter.lastHeardAgoMs >= PRESENCE_TIMEOUT_MS / 2))
  if (returned !== undefined) return { kind: 'replace', host: returned.host, by: returned.host }
  const standby = present.filter(({ host }) => !voters.some((voter) => voter.host === host))[0]
  if (standby === undefined) return undefined
  const unreachableVoter = voters.find(({ lastHeardAgoMs }) => lastHeardAgoMs >= VOTER_TIMEOUT_MS)
  if (unreachableVoter !== undefined) return { kind: 'replace', host: unreachableVoter.host, by: standby.host }
  return voters.length < targetVoters ? { kind: 'add', host: standby.host } : undefined
}

export interface VoterManager { stop (): Promise<void> }

/** Changes the voters as `chooseVoterChange` says, without an operator, while this host is the leader. */
export function createVoterManager ({ clock, logger, log, targetVoters }: { clock: Clock, logger: Logger, log: Replica, targetVoters: number }): VoterManager {
  const stopping = new AbortController()

  const runChecks = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const status = log.status()
      const change = status.role === 'leader' ? chooseVoterChange(status.progress, targetVoters) : undefined
      if (change !== undefined) {
        const deadline = clock.now() + CHANGE_TIMEOUT_MS
        const result = change.kind === 'add' ? await log.addVoter(change.host, deadline) : await log.replaceVoter(change.host, change.by, deadline)
        const by = change.kind === 'replace' ? change.by : undefined
        logger.info('voters.change', { change: change.kind, host: change.host, by, outcome: result.ok ? 'changed' : result.val.kind })
      }
      await clock.sleep(CHECK_INTERVAL_MS, stopping.signal)
    }
  }

  const loop = runSupervised({ clock, logger, event: 'voters.failed', isStopped: () => stopping.signal.aborted }, runChecks)
  return {
    stop: async () => {
      stopping.abort()
      await loop
    }
  }
}
