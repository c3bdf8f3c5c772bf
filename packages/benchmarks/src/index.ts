/** Checks benchmark results against bounds. */

export type {BoundedMetric} from './bounds.js';
export {checkBounds, percentile} from './bounds.js';
