/** The numbered configuration: how it is stored, accepted and kept in force. */

export type {
  ConfigurationListener,
  ConfigurationUpdate,
  NumberedConfiguration,
} from './configuration_state.js';
export {ConfigurationState} from './configuration_state.js';
export type {VersionedHead} from './configuration_store.js';
export {
  ConfigurationConflictError,
  ConfigurationStore,
} from './configuration_store.js';
export type {AcceptedPatch, ConfigurationHead} from './stored_configuration.js';
export {HEAD_KEY, parsePatches, parseSnapshot} from './stored_configuration.js';
