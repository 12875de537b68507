import { expect, test } from 'vitest'
import { chooseHost, describeSettingsFailure, loadSettings, parseSettings } from '../src/programs/settings/index.js'

const hash = 'a'.repeat(64)
const valid = `
[deployment]
name = "demo"
[host]
id = "a1"
data_folder = "data/a1"
[[hosts]]
id = "a1"
region = "r"
availability_zone = "a"
http = "127.0.0.1:8101"
peer = "127.0.0.1:9101"
has_disk = true
voter = true
[security]
cluster_secret = "0123456789012345678901234567890123456789"
operator_token_hash = "${hash}"
target_token_hash = "${hash}"
`

function describe (text: string): string {
  const parsed = parseSettings('host.toml', text)
  return parsed.ok ? 'valid' : describeSettingsFailure(parsed.val)
}

test('an invalid setting is refused with file, key, value and allowed values', () => {
  expect({
    valid: describe(valid),
    unknownKey: describe(valid.replace('[host]', '[host]\ncolour = "red"')),
    badAddress: describe(valid.replace('"127.0.0.1:8101"', '"localhost"')),
    missing: describe(valid.replace('name = "demo"', '')),
    noVoter: describe(valid.replace('voter = true', '')),
    voterWithoutDisk: describe(valid.replace('has_disk = true', '')),
    noFolder: describe(valid.replace('data_folder = "data/a1"', '')),
    unknownHost: describe(valid.replace('[host]\nid = "a1"', '[host]\nid = "b9"')),
    shortSecret: describe(valid.replace('0123456789012345678901234567890123456789', 'short')),
    syntax: describe('[deployment\n')
  }).toMatchSnapshot()
})

test('each example settings file is valid, and each of its hosts can be selected', async () => {
  const chosen = await Promise.all(['examples/taller-misterios.toml', 'examples/wadi-rum-consortium.toml', 'examples/single.toml'].map(async (file) => {
    const settings = (await loadSettings(file)).unwrap()
    return settings.hosts.map((host) => {
      const { self, dataFolder } = chooseHost(file, settings, host.id).unwrap()
      return `${self.id} ${self.availabilityZone} ${dataFolder ?? 'no disk'}`
    })
  }))
  expect(chosen).toMatchSnapshot()
})

test('a daemon without a host id, or with an id that is not listed, is refused', async () => {
  const settings = (await loadSettings('examples/taller-misterios.toml')).unwrap()
  const failures = [undefined, 'elsewhere'].map((id) => chooseHost('file.toml', settings, id))
  expect(failures.map((failure) => failure.ok ? 'accepted' : describeSettingsFailure(failure.val))).toMatchSnapshot()
})
