import { command, flag, boolean, number, oneOf, option, optional, positional, string, subcommands } from 'cmd-ts'
import { by, connectionOptions, createIdArgument, createReadCommand, createResources, json, requestId, runCall, runChange, runRead, sizeOptions, type ConnectionFlags } from './shared.js'

export const serviceCommands = subcommands({
  name: 'service',
  cmds: {
    list: createReadCommand('list services', '/v1/services'),
    put: command({
      name: 'put',
      args: {
        id: createIdArgument('service'),
        latencyMs: option({ type: number, long: 'latency-ms', description: 'latency objective in ms' }),
        quantile: option({ type: number, long: 'quantile', defaultValue: () => 0.99 }),
        target: option({ type: number, long: 'target', defaultValue: () => 0.99, description: 'part of requests within the objective' }),
        replicas: option({ type: number, long: 'replicas-per-zone', defaultValue: () => 0 }),
        weight: option({ type: number, long: 'weight', defaultValue: () => 1 }),
        ...sizeOptions,
        requestId,
        ...connectionOptions
      },
      handler: async (args) => await runChange(args, {
        method: 'PUT',
        path: `/v1/services/${args.id}`,
        body: {
          objective: { latencyMs: args.latencyMs, quantile: args.quantile, target: args.target },
          replicasPerZone: args.replicas,
          weight: args.weight,
          size: createResources(args)
        }
      })
    }),
    remove: command({
      name: 'remove',
      args: { id: createIdArgument('service'), ...connectionOptions },
      handler: async (args) => await runChange(args, { method: 'DELETE', path: `/v1/services/${args.id}` })
    }),
    call: command({
      name: 'call',
      description: 'send one request to a service and print its answer',
      args: {
        id: createIdArgument('service'),
        path: createIdArgument('path'),
        body: option({ type: optional(string), long: 'body', description: 'body; makes the method POST' }),
        idempotent: flag({ type: boolean, long: 'idempotent', description: 'the request may run more than once' }),
        key: option({ type: optional(string), long: 'key', description: 'idempotency key of an earlier try' }),
        deadlineMs: option({ type: number, long: 'deadline-ms', defaultValue: () => 5_000 }),
        ...connectionOptions
      },
      handler: runServiceCall
    })
  }
})

export const jobCommands = subcommands({
  name: 'job',
  cmds: {
    create: command({
      name: 'create',
      args: {
        id: createIdArgument('job'),
        jobClass: option({ type: string, long: 'class', description: 'tasks of one class are expected to behave alike' }),
        tasks: option({ type: number, long: 'tasks', defaultValue: () => 1 }),
        expectedRunMs: option({ type: number, long: 'expected-run-ms', defaultValue: () => 10_000 }),
        urgent: flag({ type: boolean, long: 'urgent' }),
        nonIdempotent: flag({ type: boolean, long: 'non-idempotent', description: 'never start a task again after an unclear end' }),
        command: option({ type: string, long: 'command', defaultValue: () => '' }),
        ...sizeOptions,
        requestId,
        ...connectionOptions
      },
      handler: async (args) => await runChange(args, {
        method: 'POST',
        path: '/v1/jobs',
        body: {
          id: args.id,
          jobClass: args.jobClass,
          tasks: args.tasks,
          expectedRunMs: args.expectedRunMs,
          urgent: args.urgent,
          idempotent: !args.nonIdempotent,
          command: args.command,
          size: createResources(args)
        }
      })
    }),
    list: createReadCommand('list jobs', '/v1/jobs'),
    show: command({
      name: 'show',
      args: { id: createIdArgument('job'), json, ...connectionOptions },
      handler: async (args) => await runRead(args, args.json, `/v1/jobs/${args.id}`)
    }),
    cancel: command({
      name: 'cancel',
      args: { id: createIdArgument('job'), requestId, ...connectionOptions },
      handler: async (args) => await runChange(args, { method: 'POST', path: `/v1/jobs/${args.id}/cancel`, body: {} })
    })
  }
})

export const taskCommands = subcommands({
  name: 'task',
  cmds: {
    list: command({
      name: 'list',
      args: { job: option({ type: optional(string), long: 'job' }), json, ...connectionOptions },
      handler: async (args) => await runRead(args, args.json, args.job === undefined ? '/v1/tasks' : `/v1/tasks?job=${encodeURIComponent(args.job)}`)
    }),
    resolve: command({
      name: 'resolve',
      description: 'decide the outcome of a task whose end is unknown',
      args: {
        job: createIdArgument('job'),
        task: positional({ type: number, displayName: 'task number' }),
        outcome: option({ type: oneOf(['succeeded', 'failed', 'cancelled'] as const), long: 'outcome' }),
        by,
        requestId,
        ...connectionOptions
      },
      handler: async (args) => await runChange(args, {
        method: 'POST',
        path: `/v1/jobs/${args.job}/tasks/${args.task}/resolve`,
        body: { outcome: args.outcome, setBy: args.by }
      })
    })
  }
})

interface ServiceCallArguments extends ConnectionFlags {
  id: string
  path: string
  body: string | undefined
  idempotent: boolean
  key: string | undefined
  deadlineMs: number
}

// For a request that is not idempotent, an idempotency key is requested first, so that a retry at the next entry host cannot run it twice.
async function runServiceCall (args: ServiceCallArguments): Promise<void> {
  const idempotent = args.idempotent || args.body === undefined
  const key = args.key ?? (idempotent ? undefined : await createKey(args))
  if (!idempotent && key === undefined) return
  const path = args.path.startsWith('/') ? args.path : `/${args.path}`
  const answer = await runCall(args, {
    method: args.body === undefined ? 'GET' : 'POST',
    path: `/v1/services/${args.id}/requests${path}`,
    headers: {
      'sequoiadrift-idempotent': String(idempotent),
      'sequoiadrift-deadline-ms': String(args.deadlineMs),
      ...(key === undefined ? {} : { 'idempotency-key': key })
    },
    ...(args.body === undefined ? {} : { rawBody: args.body })
  })
  if (key !== undefined) console.error(`idempotency-key: ${key}`)
  if (answer !== undefined) console.log(answer.text)
}

async function createKey (flags: ConnectionFlags): Promise<string | undefined> {
  const answer = await runCall(flags, { method: 'POST', path: '/v1/request-keys', body: {} })
  return answer === undefined ? undefined : (JSON.parse(answer.text) as { key: string }).key
}
