#!/usr/bin/env node
import { setMaxListeners } from 'node:events'
import { boolean, command, flag, option, optional, string } from 'cmd-ts'
import { handleProcessFaults } from '../common/index.js'
import { startEntryHost } from './entryHost/index.js'
import { runProgram } from './runProgram.js'
import { chooseHost, describeSettingsFailure, loadSettings } from './settings/index.js'

const EXIT_USAGE = 2
const EXIT_START_FAILED = 3
const EXIT_STOPPED_BY_FAILURE = 4
/** Ended after an exception that no code handled. */
const EXIT_FAULT = 5

interface Flags { config: string, host: string | undefined, repair: boolean }

const daemon = command({
  name: 'sequoiadriftd',
  description: 'The daemon of an entry host',
  args: {
    config: option({ type: string, long: 'config', description: 'settings file (TOML)' }),
    host: option({ type: optional(string), long: 'host', description: 'id of the host in the settings that this daemon runs as' }),
    repair: flag({ type: boolean, long: 'repair', description: 'erase a corrupt store and catch up from the other hosts' })
  },
  handler: runDaemon
})

async function runDaemon ({ config, host, repair }: Flags): Promise<void> {
  const loaded = await loadSettings(config)
  const settings = loaded.ok ? chooseHost(config, loaded.val, host) : loaded
  if (!settings.ok) return reportFailure(describeSettingsFailure(settings.val), EXIT_USAGE)
  const started = await startEntryHost({ settings: settings.val, repair })
  if (!started.ok) return reportFailure(started.val.message, EXIT_START_FAILED)
  const running = started.val
  handleProcessFaults(process, {
    report: running.reportFault,
    stop: () => { process.exitCode = EXIT_FAULT; running.stop() }
  })
  process.on('SIGTERM', () => { running.stop() })
  process.on('SIGINT', () => { running.stop() })
  const failure = await running.waitUntilStopped()
  if (failure !== undefined) reportFailure(`the host stopped: ${JSON.stringify(failure)}`, EXIT_STOPPED_BY_FAILURE)
  // Idle keep-alive connections to targets would keep the process running.
  process.exit()
}

function reportFailure (message: string, exitCode: number): void {
  console.error(message)
  process.exitCode = exitCode
}

// The loops of all workers and peers listen to one AbortSignal, so many listeners are no sign of a leak.
setMaxListeners(0)

await runProgram(daemon)
