/** Endpoints that describe themselves in the platform's list. */

export type {
  EndpointDescription,
  LoadedModel,
  Incarnation,
  WeightCopies,
} from './endpoint.js';
export type {EndpointChange, TableChange} from './endpoint_table.js';
export {EndpointTable, REAPPEARANCE_MILLISECONDS} from './endpoint_table.js';
