/** Endpoints, as registered in the platform's endpoint list. */

export type {
  EndpointDescription,
  Incarnation,
  LoadedModel,
  SoftwareVersion,
  WeightCopies,
} from './endpoint.js';
export type {EndpointChange, EndpointTableChange} from './endpoint_table.js';
export type {VersionRequirement} from './version_requirement.js';
export {ANY_VERSION, meetsVersion} from './version_requirement.js';
export {
  EndpointTable,
  REREGISTRATION_GRACE_MILLISECONDS,
} from './endpoint_table.js';
