export {
  checkTable, chooseHost, createHost, createMembers, createPresets, describeSettingsFailure, loadSettings, parseSettings, parseToml,
  type HostSettings, type SettingsFailure, type SettingsIssue
} from './load.js'
export { settingsSchema, type Settings } from './schema.js'
