// Starts the project's own programs as separate processes on loopback addresses, with the commands of deploy/system.toml.
import { spawn } from 'node:child_process'
import { appendFileSync, closeSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..')
const ZONES = ['cerro-alegre', 'cerro-baron', 'almendral']
// The bounds of a small deployment: those of the site misterios-desk.
const BOUNDS = `seedLagS = 3
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
noticeMs = 4500
migrateS = 1.5
maintenanceS = 2
fencingEnforced = true
leaseMs = 3000
thawMs = 300
pacingMs = 100
interferenceMs = 4000`

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

/** Writes one line of JSON for each event to `record.txt` of a case. */
export function openRecord (folder) {
  const file = join(folder, 'record.txt')
  writeFileSync(file, '')
  const startedAt = performance.now()
  return (event, fields = {}) => appendFileSync(file, JSON.stringify({ ms: Math.round(performance.now() - startedAt), event, ...fields }) + '\n')
}

async function isFree (ip, port) {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, ip, () => server.close(() => resolve(true)))
  })
}

/** Finds a loopback network and a port range that nothing uses. */
export async function findNetwork () {
  for (let tries = 0; tries < 50; tries += 1) {
    const network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`
    const port = 20_000 + Math.floor(Math.random() * 9000)
    if (await isFree(`${network}.1`, port)) return { network, port }
  }
  throw new Error('no free loopback network was found')
}

function readCommands () {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const find = (role) => text.match(new RegExp(`\\[roles\\.${role}\\][^[]*?run = "([^"]+)"`))[1].split(' ')
  return { entry: find('entry'), voter: find('voter') }
}

/** Opens a deployment of voters and entry hosts. Each host has a loopback address of its own. */
export async function openDeployment ({ record, voters = 3, entries = 2, place, cloudApi, advice }) {
  const { network, port } = place ?? await findNetwork()
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const commands = readCommands()
  const ports = { peer: port, control: port + 100, frontend: port + 101, readiness: port + 102 }
  const hosts = []
  let isClosing = false
  const addHost = (role, number) => hosts.push({
    role, name: `${role}-${number}`, zone: ZONES[number % 3], ip: `${network}.${(role === 'voter' ? 10 : 40) + number}`, process: undefined, lives: 0
  })
  Array.from({ length: voters }, (_, number) => addHost('voter', number))
  Array.from({ length: entries }, (_, number) => addHost('entry', number))
  const voterHosts = hosts.filter(({ role }) => role === 'voter')
  const entryHosts = hosts.filter(({ role }) => role === 'entry')
  const seeds = voterHosts.slice(0, 3).map(({ ip }) => `"${ip}:${ports.control}"`).join(',')

  const writeSettings = (host) => {
    const isVoter = host.role === 'voter'
    writeFileSync(join(folder, `${host.name}.toml`), `nodeName = "${host.name}"
role = "${host.role}"
machineClass = "${isVoter ? 'core' : 'edge'}"
serves = ["${isVoter ? 'control' : 'edge'}"]
ip = "${host.ip}"
zone = "${host.zone}"
region = "valparaiso"
internalPorts = [${ports.peer},${ports.peer + 15}]
seeds = [${seeds}]
bootstrap = ${host.lives === 0}
faultCounted = ${isVoter}
discovery = "registry"
entry = "vip"
heartbeatMs = 1500
config_mode = "highest"
controlMode = "invoke"
${advice === undefined ? '' : `advice = "${advice}"\n`}${isVoter ? `dataDir = "${join(folder, host.name)}"\n` : ''}
[listenAddrs]
${isVoter ? `control = "${host.ip}:${ports.control}"` : `frontend = "${host.ip}:${ports.frontend}"\nreadiness = "${host.ip}:${ports.readiness}"`}

[limits]
cpuShare = ${isVoter ? 0.675 : 0.27}
memoryMb = ${isVoter ? 346 : 350}
maxFds = 4096

[faultTolerance]
machines = ${Math.floor((voters - 1) / 2)}
zones = 1
regions = 0

[bounds]
${BOUNDS}
${cloudApi === undefined ? '' : `\n[cloudApi]\naddress = "${cloudApi}"\nratePerS = 60.0\nduties = []\ndutyPerS = 60.0\n`}`)
  }

  const start = (host) => {
    writeSettings(host)
    if (host.role === 'voter') mkdirSync(join(folder, host.name), { recursive: true })
    const log = openSync(join(folder, `${host.name}.log`), 'a')
    const [program, ...args] = commands[host.role]
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, SEQUOIADRIFT_SETTINGS: join(folder, `${host.name}.toml`) }, stdio: ['ignore', log, log]
    })
    closeSync(log)
    host.process = child
    host.lives += 1
    record('process-start', { host: host.name, pid: child.pid })
    child.once('exit', (code, signal) => {
      record('process-exit', { host: host.name, code, signal, asked: host.process !== child || isClosing })
      if (host.process !== child || isClosing) return
      host.process = undefined
      host.ownEnds = (host.ownEnds ?? 0) + 1
      // The platform restarts a process that ends by itself after a short delay.
      setTimeout(() => { if (!isClosing && host.process === undefined) start(host) }, 500)
    })
  }

  const waitForExit = (child) => new Promise((resolve) => {
    if (child.exitCode !== null || child.signalCode !== null) resolve()
    else child.once('exit', resolve)
  })

  const kill = async (host, signal = 'SIGKILL') => {
    const child = host.process
    if (child === undefined) return
    host.process = undefined
    record('signal', { host: host.name, signal })
    child.kill(signal)
    if (signal === 'SIGTERM') setTimeout(() => child.kill('SIGKILL'), 6000).unref()
    await waitForExit(child)
  }

  // A case that ends early leaves no process behind.
  process.once('exit', () => hosts.forEach(({ process: child }) => child?.kill('SIGKILL')))
  hosts.forEach(start)
  return {
    folder,
    ports,
    network,
    voters: voterHosts,
    entries: entryHosts,
    controls: voterHosts.map(({ ip }) => `${ip}:${ports.control}`),
    frontends: entryHosts.map(({ ip }) => `${ip}:${ports.frontend}`),
    start,
    kill,
    pause: (host) => { record('signal', { host: host.name, signal: 'SIGSTOP' }); host.process.kill('SIGSTOP') },
    resume: (host) => { record('signal', { host: host.name, signal: 'SIGCONT' }); host.process.kill('SIGCONT') },
    readLog: (host) => readFileSync(join(folder, `${host.name}.log`), 'utf8'),
    isReady: async (host) => {
      try {
        return (await fetch(`http://${host.ip}:${ports.readiness}/readyz`, { signal: AbortSignal.timeout(900) })).status === 200
      } catch {
        return false
      }
    },
    close: async () => {
      isClosing = true
      const children = hosts.flatMap(({ process: child }) => child ?? [])
      children.forEach((child) => { child.kill('SIGCONT'); child.kill('SIGKILL') })
      await Promise.all(children.map(waitForExit))
      if (process.env.KEEP === undefined) rmSync(folder, { recursive: true, force: true })
      else console.log(folder)
    }
  }
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase (run, limitMs = 110_000) {
  process.once('SIGTERM', () => process.exit(2))
  process.once('SIGINT', () => process.exit(2))
  const timer = setTimeout(() => { console.error('the case did not end in time'); process.exit(2) }, limitMs)
  try {
    const broken = await run()
    clearTimeout(timer)
    process.exit(broken ? 1 : 0)
  } catch (error) {
    console.error(error)
    process.exit(2)
  }
}
