import { subcommands } from 'cmd-ts'
import {
  configCommands, explainCommands, hostCommands, memberCommands, presetCommands, reportCommands, targetCommands,
  workerCommands, zoneCommands
} from './operations.js'
import { jobCommands, serviceCommands, taskCommands } from './work.js'

export const program = subcommands({
  name: 'sequoiadrift',
  description: 'Command line of the sequoiadrift scheduler',
  cmds: {
    service: serviceCommands,
    job: jobCommands,
    task: taskCommands,
    preset: presetCommands,
    worker: workerCommands,
    target: targetCommands,
    member: memberCommands,
    host: hostCommands,
    zone: zoneCommands,
    explain: explainCommands,
    report: reportCommands,
    config: configCommands
  }
})
