/** The numbered configuration: its storage, its patches and the active state of a node. */

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
