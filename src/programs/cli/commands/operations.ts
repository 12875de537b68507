import { boolean, command, flag, number, oneOf, option, optional, positional, string, subcommands } from 'cmd-ts'
import { describeSettingsFailure, loadSettings } from '../../settings/index.js'
import { createRequestId } from '../client.js'
import { EXIT_CODES, renderExplanations, renderHosts } from '../output.js'
import { by, connectionOptions, createIdArgument, createReadCommand, createResources, json, requestId, runChange, runRead, runReport, sizeOptions } from './shared.js'

export const presetCommands = subcommands({
  name: 'preset',
  cmds: {
    show: createReadCommand('which preset is in force, and why', '/v1/preset'),
    set: command({
      name: 'set',
      args: {
        preset: createIdArgument('preset'),
        reason: option({ type: string, long: 'reason' }),
        baseRevision: option({ type: optional(number), long: 'base-revision', description: 'the revision that the change is based on' }),
        by,
        requestId,
        ...connectionOptions
      },
      handler: async (args) => await runChange(args, {
        method: 'POST',
        path: '/v1/preset',
        body: { preset: args.preset, reason: args.reason, setBy: args.by, baseRevision: args.baseRevision }
      })
    })
  }
})

export const workerCommands = subcommands({
  name: 'worker',
  cmds: {
    list: createReadCommand('list workers', '/v1/workers'),
    drain: command({
      name: 'drain',
      args: { id: createIdArgument('worker'), ...connectionOptions },
      handler: async (args) => await runChange(args, { method: 'POST', path: `/v1/workers/${args.id}/drain` })
    })
  }
})

export const targetCommands = subcommands({ name: 'target', cmds: { list: createReadCommand('list executors and workers', '/v1/targets') } })

export const memberCommands = subcommands({
  name: 'member',
  cmds: {
    list: createReadCommand('list members', '/v1/members'),
    put: command({
      name: 'put',
      args: {
        id: createIdArgument('member'),
        memberToken: option({ type: string, long: 'member-token', description: 'at least 16 characters; only its hash is stored' }),
        weight: option({ type: number, long: 'weight', defaultValue: () => 1 }),
        ...sizeOptions,
        requestId,
        ...connectionOptions
      },
      handler: async (args) => await runChange(args, {
        method: 'PUT',
        path: `/v1/members/${args.id}`,
        body: { token: args.memberToken, weight: args.weight, quota: createResources(args) }
      })
    })
  }
})

export const hostCommands = subcommands({
  name: 'host',
  cmds: {
    list: createReadCommand('list entry hosts, voters and how many losses are survivable', '/v1/hosts', renderHosts),
    add: command({
      name: 'add',
      args: {
        id: createIdArgument('host'),
        region: option({ type: string, long: 'region' }),
        availabilityZone: option({ type: string, long: 'availability-zone' }),
        peer: option({ type: string, long: 'peer', description: 'ip:port between entry hosts' }),
        http: option({ type: string, long: 'http', description: 'ip:port for HTTP' }),
        disk: flag({ type: boolean, long: 'disk' }),
        voter: flag({ type: boolean, long: 'voter' }),
        replaces: option({ type: optional(string), long: 'replaces', description: 'a voter that leaves in the same change' }),
        requestId,
        ...connectionOptions
      },
      handler: async (args) => await runChange(args, {
        method: 'POST',
        path: '/v1/hosts',
        body: {
          id: args.id,
          region: args.region,
          availabilityZone: args.availabilityZone,
          peerAddress: args.peer,
          httpAddress: args.http,
          hasDisk: args.disk,
          voter: args.voter,
          replaces: args.replaces
        }
      })
    }),
    remove: command({
      name: 'remove',
      args: { id: createIdArgument('host'), requestId, ...connectionOptions },
      handler: async (args) => await runChange(args, { method: 'DELETE', path: `/v1/hosts/${args.id}?requestId=${args.requestId ?? createRequestId()}` })
    }),
    drain: command({
      name: 'drain',
      description: 'stop the entry host of --endpoint gracefully',
      args: connectionOptions,
      handler: async (args) => await runChange(args, { method: 'POST', path: '/v1/drain' })
    })
  }
})

export const zoneCommands = subcommands({
  name: 'zone',
  cmds: {
    retire: command({
      name: 'retire',
      description: 'end the ownership of a lost availability zone',
      args: { id: createIdArgument('zone'), confirmStopped: flag({ type: boolean, long: 'confirm-stopped', description: 'all its hosts and workers are known to have stopped' }), by, ...connectionOptions },
      handler: async (args) => await runChange(args, { method: 'POST', path: `/v1/zones/${args.id}/retire`, body: { confirmedStopped: args.confirmStopped, setBy: args.by } })
    })
  }
})

export const explainCommands = command({
  name: 'explain',
  description: 'the decisions about a task, a job, a worker or a preset, in order',
  args: { kind: positional({ type: oneOf(['task', 'job', 'worker', 'preset'] as const), displayName: 'kind' }), id: createIdArgument('id'), json, ...connectionOptions },
  handler: async (args) => await runRead(args, args.json, `/v1/explain/${args.kind}/${encodeURIComponent(args.id)}`, renderExplanations)
})

export const reportCommands = subcommands({
  name: 'report',
  cmds: {
    burn: command({
      name: 'burn',
      description: 'service-level burn, evictions and batch throughput',
      args: { html: flag({ type: boolean, long: 'html', description: 'one self-contained page' }), json, ...connectionOptions },
      handler: async (args) => await runReport(args, args.json ? 'json' : args.html ? 'html' : 'text')
    })
  }
})

export const configCommands = subcommands({
  name: 'config',
  cmds: {
    check: command({ name: 'check', description: 'check the settings of a daemon before it starts', args: { file: createIdArgument('file') }, handler: runConfigCheck })
  }
})

async function runConfigCheck ({ file }: { file: string }): Promise<void> {
  const settings = await loadSettings(file)
  if (settings.ok) {
    console.log(`${file}: valid; deployment ${settings.val.deployment.name} with ${settings.val.hosts.length} entry hosts`)
    return
  }
  console.error(describeSettingsFailure(settings.val))
  process.exitCode = EXIT_CODES.usage
}
