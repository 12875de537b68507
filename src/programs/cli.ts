#!/usr/bin/env node
import { program } from './cli/commands/index.js'
import { runProgram } from './runProgram.js'

await runProgram(program)
