import { randomUUID } from 'node:crypto'
import { Err, Ok, type Clock, type Result } from '../../common/index.js'
import type { ChangeOutcome, ConfigurationModule } from '../../coordination/configuration/index.js'
import { createFailure, describeLogFailure, type ApiFailure, type EntryHost } from '../../protocol/index.js'
import type { ReplicatedState, LogFailure, MembershipFailure, Replica } from '../../state/index.js'
import { computeTokenHash } from './principals.js'
import type { QueryService } from './queries.js'
import { planRetirement } from './retirement.js'
import { proposeEntry } from './work.js'

const PRESET_TIMEOUT_MS = 4_500
const READ_TIMEOUT_MS = 2_000
const MEMBERSHIP_TIMEOUT_MS = 4_500

type Operations = Pick<EntryHost, 'getPreset' | 'setPreset' | 'putMember' | 'listMembers' | 'listHosts' | 'addHost' | 'removeHost' | 'retireZone'>

export interface OperationsOptions {
  clock: Clock
  log: Replica
  configuration: ConfigurationModule
  queries: QueryService
}

type ChangeOutcomeOf<K extends ChangeOutcome['kind']> = Extract<ChangeOutcome, { kind: K }>
type PresetChangeReplies = { [K in ChangeOutcome['kind']]: (outcome: ChangeOutcomeOf<K>, preset: string) => Result<object, ApiFailure> }

const presetChangeReplies: PresetChangeReplies = {
  'in-force': ({ revision, currentRevision }, preset) => Ok({ preset, revision, state: currentRevision > revision ? `superseded by revision ${currentRevision}` : 'in force' }),
  'accepted-pending': ({ revision }, preset) => Ok({ preset, revision, state: 'accepted; it takes effect within seconds' }),
  'lost-race': ({ winner, winnerPending }) => Err(createFailure('conflict',
    `revision ${winner.revision} (preset ${winner.preset}, set by ${winner.setBy}) was accepted first${winnerPending ? ' and is about to take effect' : ''}`, { winner, winnerPending })),
  'unknown-preset': ({ preset, known }) => Err(createFailure('invalid', `preset "${preset}" does not exist; known presets: ${known.join(', ')}`)),
  'invalid-change': ({ message }) => Err(createFailure('invalid', message)),
  'not-accepted': ({ message }) => Err(createFailure('not-recorded', message)),
  'outcome-unknown': ({ message, requestId }) => Err(createFailure('outcome-unknown', `${message}; resend with request id ${requestId}`, { requestId }))
}

type MembershipFailureTable = { [K in Exclude<MembershipFailure, LogFailure>['kind']]: (failure: Extract<MembershipFailure, { kind: K }>) => ApiFailure }

const membershipFailures: MembershipFailureTable = {
  'unknown-voter': ({ host }) => createFailure('not-found', `host "${host}" is not a voter`),
  'not-connected': ({ message }) => createFailure('conflict', `${message}; start its daemon, then repeat the command`),
  'no-disk': ({ host }) => createFailure('invalid', `host "${host}" has no disk, so it cannot vote`),
  'too-many-voters': ({ limit }) => createFailure('conflict', `there are already ${limit} voters`),
  'unsafe-change': (failure) => createFailure('conflict', failure.message, failure),
  'change-in-progress': ({ message }) => createFailure('conflict', message),
  'not-caught-up': (failure) => createFailure('conflict', `host "${failure.host}" holds the log up to ${failure.matchIndex} of ${failure.commitIndex}; repeat the command when it has caught up`, failure)
}

/** Creates the operations on presets, members, hosts and zones. */
export function createOperations ({ clock, log, configuration, queries }: OperationsOptions): Operations {
  const changeVoters = async (change: ReturnType<Replica['addVoter']>): Promise<Result<object, ApiFailure>> => {
    const result = await change
    return result.ok ? Ok({ voters: result.val }) : Err(describeMembershipFailure(result.val))
  }

  return {
    getPreset: async () => {
      const { claim, preset, lastKnownPreset, revision, since, setBy, reason, certainty, policy } = configuration.getConfiguration()
      return Ok({
        claim,
        preset: preset ?? null,
        lastKnownPreset,
        revision,
        // The first configuration comes from the settings and has no time of change.
        since: since === 0 ? null : new Date(since).toISOString(),
        setBy,
        reason,
        certainty: certainty.kind,
        details: certainty,
        policy
      })
    },

    setPreset: async ({ baseRevision, requestId, ...body }) => {
      // A host that is behind would use an old revision as the base. The change would be rejected, and each resend with the
      // same request id would return that rejection.
      const barrier = baseRevision === undefined ? await log.readBarrier(clock.now() + READ_TIMEOUT_MS) : undefined
      if (barrier?.err) return Err(describeLogFailure(barrier.val))
      const outcome = await configuration.changePreset({
        ...body,
        baseRevision: baseRevision ?? log.state().configuration.revision,
        requestId: requestId ?? randomUUID()
      }, clock.now() + PRESET_TIMEOUT_MS)
      const describe = presetChangeReplies[outcome.kind] as (outcome: ChangeOutcome, preset: string) => Result<object, ApiFailure>
      return describe(outcome, body.preset)
    },

    putMember: async (id, { token, requestId, ...body }) => {
      const accepted = await proposeEntry(log, clock, { kind: 'member.put', requestId, member: { ...body, id, tokenHash: computeTokenHash(token) } })
      return accepted.ok ? Ok({ id, ...body }) : accepted
    },

    listMembers: async () => Ok(Object.values(log.state().members).map(({ id, quota, weight }) => ({ id, weight, ...quota }))),

    // Only the leader knows the replication progress of each host.
    listHosts: async () => {
      const { leader } = log.status()
      const answer = leader === undefined ? undefined : await queries.ask(leader, 'hosts', {})
      return answer?.ok === true ? Ok(answer.val) : Ok(describeHosts(log))
    },

    addHost: async ({ voter, replaces, requestId, ...host }) => {
      const accepted = await proposeEntry(log, clock, { kind: 'host.add', requestId, host })
      if (!accepted.ok) return accepted
      const deadline = clock.now() + MEMBERSHIP_TIMEOUT_MS
      if (replaces !== undefined) return await changeVoters(log.replaceVoter(replaces, host.id, deadline))
      return voter ? await changeVoters(log.addVoter(host.id, deadline)) : Ok({ added: host.id })
    },

    removeHost: async (id, requestId) => {
      if (log.status().voters.includes(id)) {
        const removed = await changeVoters(log.removeVoter(id, clock.now() + MEMBERSHIP_TIMEOUT_MS))
        if (!removed.ok) return removed
      }
      const accepted = await proposeEntry(log, clock, { kind: 'host.remove', requestId, host: id })
      return accepted.ok ? Ok({ removed: id }) : accepted
    },

    retireZone: async (availabilityZone, confirmedStopped, setBy) => {
      if (!confirmedStopped) {
        return Err(createFailure('invalid', 'retiring a zone whose hosts or workers still run would run tasks twice; confirm that all of them have stopped'))
      }
      const retired = await proposeEntry(log, clock, { kind: 'zone.retire', availabilityZone, confirmedStopped, setBy })
      if (!retired.ok) return retired
      return await moveTasks(log, clock, availabilityZone)
    }
  }
}

async function moveTasks (log: Replica, clock: Clock, from: string): Promise<Result<object, ApiFailure>> {
  const retirement = planRetirement(log.state(), from)
  for (const entry of retirement.entries) {
    const accepted = await proposeEntry(log, clock, entry)
    if (!accepted.ok) return accepted
  }
  return Ok({ retired: from, movedTasks: retirement.moved, unknownOutcomes: retirement.unknown })
}

function describeMembershipFailure (failure: MembershipFailure): ApiFailure {
  const describe = membershipFailures[failure.kind as keyof MembershipFailureTable] as ((failure: MembershipFailure) => ApiFailure) | undefined
  return describe === undefined ? describeLogFailure(failure as LogFailure) : describe(failure)
}

export function describeHosts (log: Replica): object {
  const { leader, voters, learners, progress, survivableLosses, term, commitIndex, role, appliedIndex } = log.status()
  const state: ReplicatedState = log.state()
  const hosts = Object.values(state.hosts).map((host) => {
    const known = progress.find((each) => each.host === host.id)
    return {
      id: host.id,
      availabilityZone: host.availabilityZone,
      http: host.httpAddress,
      votes: voters.includes(host.id) ? 'yes' : learners.includes(host.id) ? 'learner' : 'no',
      leader: host.id === leader ? 'yes' : '',
      logIndex: known?.matchIndex ?? null,
      lastHeardAgoMs: known === undefined ? null : Math.round(known.lastHeardAgoMs)
    }
  })
  return { leader: leader ?? null, term, commitIndex, appliedIndex, roleOfThisHost: role, survivableLosses, hosts }
}
