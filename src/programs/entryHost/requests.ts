import { Err, Ok, type Result } from '../../common/index.js'
import type { NextStep, RequestOutcome, Router } from '../../coordination/routing/index.js'
import { createFailure, type ApiFailure, type EntryHost, type RequestAnswer, type RequestInput } from '../../protocol/index.js'
import type { ReplicatedLog } from '../../state/index.js'

const KEY_LIFETIME_MS = 24 * 60 * 60 * 1000

const NEXT_STEPS: Record<NextStep, string> = {
  'ask-again': 'resend with the same idempotency key to learn the outcome; it never runs a second time',
  resend: 'the request is idempotent and may be sent again',
  'check-by-other-means': 'the system cannot learn the outcome any more; check with the service'
}

type OutcomeOf<K extends RequestOutcome['kind']> = Extract<RequestOutcome, { kind: K }>
type OutcomeReplies = { [K in RequestOutcome['kind']]: (outcome: OutcomeOf<K>) => Result<RequestAnswer, ApiFailure> }

const outcomeReplies: OutcomeReplies = {
  answered: ({ status, headers, body, key }) => Ok({ status, headers, body: Buffer.from(body), ...(key === undefined ? {} : { key }) }),
  'not-run': ({ reason, message, key }) => Err(createFailure('not-run', message, { reason, key })),
  unknown: ({ reason, message, next, key }) => Err(createFailure('unknown', `${message}; ${NEXT_STEPS[next]}`, { reason, next, key })),
  refused: ({ failure, key }) => Err(createFailure('invalid', failure.message, { reason: failure.kind, key }))
}

/** Creates the operations by which members send requests to the executors of their services. */
export function createRequestOperations (router: Router, log: ReplicatedLog): Pick<EntryHost, 'routeRequest' | 'issueKey'> {
  return {
    routeRequest: async (input) => {
      const service = log.state().services[input.service]
      // A service of another member is reported as non-existent, so that its existence is not disclosed.
      if (service === undefined || service.member !== input.member) {
        return Err(createFailure('not-found', `service "${input.service}" does not exist`))
      }
      const outcome = await router.routeRequest(createRequest(input))
      const describe = outcomeReplies[outcome.kind] as (outcome: RequestOutcome) => Result<RequestAnswer, ApiFailure>
      return describe(outcome)
    },
    issueKey: async (member) => Ok({ key: router.issueKey(member), expiresInMs: KEY_LIFETIME_MS })
  }
}

function createRequest (input: RequestInput): Parameters<Router['routeRequest']>[0] {
  const { key, ...request } = input
  return key === undefined ? request : { ...request, key }
}
