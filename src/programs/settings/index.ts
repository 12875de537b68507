export {
  chooseHost, createHost, createMembers, createPresets, describeSettingsFailure, loadSettings, parseSettings,
  type HostSettings, type SettingsFailure, type SettingsIssue
} from './load.js'
export { settingsSchema, type Settings } from './schema.js'
