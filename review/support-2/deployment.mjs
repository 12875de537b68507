// Starts the programs of the deploy file as separate processes on loopback addresses, with settings as DEPLOY.md shows them.
import { spawn } from 'node:child_process'
import { closeSync, existsSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { now, wait } from './record.mjs'

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '..', '..')
const RESTART_MS = 500

/** The `run` line of a role in the deploy file. */
function readCommand (role) {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8')
  const section = text.split(`[roles.${role}]`)[1] ?? ''
  const run = /^run = "([^"]+)"/m.exec(section)?.[1]
  if (run === undefined) throw new Error(`the deploy file has no role ${role}`)
  return run.split(' ')
}

const canListen = (host, port) => new Promise((resolve) => {
  const server = createServer().once('error', () => resolve(false))
  server.listen(port, host, () => server.close(() => resolve(true)))
})

/** A loopback network `127.a.b.*` on which the ports of the deployment are free. */
async function findNetwork () {
  for (let tries = 0; tries < 50; tries += 1) {
    const network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`
    const free = await Promise.all([1, 2, 3, 4, 5].map((host) => canListen(`${network}.${host}`, 9464)))
    if (free.every(Boolean)) return network
  }
  throw new Error('no free loopback network')
}

const BOUNDS = `[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
recoveryS = 12
maxHoldMs = 10000
stopTimeoutMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 3
checkpointS = 0.5
restoreMs = 250
noticeMs = 4500
migrateS = 1.5
maintenanceS = 2
fencingEnforced = true
leaseMs = 3000
thawMs = 300
pacingMs = 100
interferenceMs = 4000
`

/**
 * A deployment of three voters and some entry hosts, one zone for each voter. `peerAddress(from, to)` may name another address
 * under which a host sees another one; absent, they see each other directly.
 */
export async function openDeployment ({ record, entries = 2, bounds = {} }) {
  const network = await findNetwork()
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const createHost = (role, number, slot) => ({ name: `${role}-${number}`, role, slot, ip: `${network}.${slot + 1}`, zone: ['a', 'b', 'c'][slot % 3], child: undefined, lives: 0, exits: 0, isDown: true })
  const voters = [0, 1, 2].map((number) => createHost('voter', number, number))
  const list = [...voters, ...Array.from({ length: entries }, (_, number) => createHost('entry', number, 3 + number))]
  let isClosing = false

  const writeSettings = (host) => {
    const isVoter = host.role === 'voter'
    const dataDir = join(folder, `${host.name}.data`)
    if (isVoter) mkdirSync(dataDir, { recursive: true })
    const text = `nodeName = "${host.name}"
role = "${host.role}"
machineClass = "${isVoter ? 'core' : 'edge'}"
serves = ["${isVoter ? 'control' : 'edge'}"]
ip = "${host.ip}"
zone = "${host.zone}"
region = "r"
internalPorts = [7720, 7735]
seeds = [${voters.map(({ ip }) => `"${ip}:8166"`).join(', ')}]
bootstrap = ${host.lives === 0}
faultCounted = ${isVoter}
discovery = "registry"
entry = "vip"
heartbeatMs = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "sharing"]
config_mode = "highest"
controlMode = "invoke"
advice = ""
${isVoter ? `dataDir = "${dataDir}"\n` : ''}[zones]
a = "r"
b = "r"
c = "r"
[listenAddrs]
${isVoter ? `control = "${host.ip}:8166"` : `frontend = "${host.ip}:8161"\nreadiness = "${host.ip}:8167"`}
[limits]
cpuShare = 1.0
cores = 1
memoryMb = 350
maxFds = 4096
linkMbps = 1000.0
diskMb = ${isVoter ? 128 : 0}
[faultTolerance]
machines = 1
zones = 1
regions = 0
${Object.entries(bounds).reduce((lines, [name, value]) => lines.replace(new RegExp(`^${name} = .*$`, 'm'), `${name} = ${value}`), BOUNDS)}`
    const path = join(folder, `${host.name}.toml`)
    writeFileSync(path, text)
    return path
  }

  const start = (host) => {
    const settings = writeSettings(host)
    const [program, ...args] = readCommand(host.role)
    const log = openSync(join(folder, `${host.name}.log`), 'a')
    const child = spawn(program, args, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, SEQUOIADRIFT_SETTINGS: settings }, stdio: ['ignore', log, log] })
    closeSync(log)
    Object.assign(host, { child, lives: host.lives + 1, isDown: false, startedAt: now() })
    record('process-start', { host: host.name, life: host.lives })
    child.once('exit', (code, signal) => {
      if (host.child === child) host.child = undefined
      const isOwn = !host.isDown
      if (isOwn) host.exits += 1
      record('process-exit', { host: host.name, code: String(code), signal: String(signal), byItself: isOwn })
      // The platform starts a process that has ended again after a short delay.
      if (isOwn && !isClosing) setTimeout(() => { if (!isClosing && host.child === undefined && !host.isDown) start(host) }, RESTART_MS)
    })
  }

  const waitForExit = async (host) => { while (host.child !== undefined) await wait(10) }

  const kill = async (host) => {
    host.isDown = true
    host.child?.kill('SIGCONT')
    host.child?.kill('SIGKILL')
    await waitForExit(host)
  }

  return {
    folder,
    network,
    voters,
    entries: list.slice(3),
    list,
    start,
    kill,
    signal: (host, signal) => {
      record('signal', { host: host.name, signal })
      host.child?.kill(signal)
    },
    /** SIGTERM, then SIGKILL after `graceS`. */
    terminate: async (host, graceMs = 6000) => {
      host.isDown = true
      record('signal', { host: host.name, signal: 'SIGTERM' })
      host.child?.kill('SIGTERM')
      const deadline = now() + graceMs
      while (host.child !== undefined && now() < deadline) await wait(10)
      if (host.child !== undefined) await kill(host)
    },
    readLog: (host) => {
      const path = join(folder, `${host.name}.log`)
      return existsSync(path) ? readFileSync(path, 'utf8') : ''
    },
    close: async () => {
      isClosing = true
      await Promise.all(list.map(kill))
      if (process.env.KEEP === '1') console.log(folder)
      else rmSync(folder, { recursive: true, force: true })
    }
  }
}
