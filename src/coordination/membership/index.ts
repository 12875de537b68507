export { chooseVoterChange, createVoterManager, type VoterChange, type VoterManager as VoterKeeper } from './voterManager.js'
