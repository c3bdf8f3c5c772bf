/** Endpoints, as registered in the platform's endpoint list. */

export type {
  EndpointDescription,
  Incarnation,
  LoadedModel,
  SoftwareVersion,
  WeightCopies,
} from './endpoint.js';
export type {EndpointChange, EndpointTableChange} from './endpoint_table.js';
export {
  EndpointTable,
  REREGISTRATION_GRACE_MILLISECONDS,
} from './endpoint_table.js';
