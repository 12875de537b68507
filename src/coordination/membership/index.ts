export { chooseVoterChange, createVoterKeeper, type VoterChange, type VoterManager as VoterKeeper } from './keeper.js'
