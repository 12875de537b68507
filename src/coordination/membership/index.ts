export { chooseVoterChange, createVoterKeeper, type VoterChange, type VoterKeeper } from './keeper.js'
