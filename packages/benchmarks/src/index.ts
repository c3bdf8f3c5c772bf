/** Benchmarks with bounds. */

export type {BoundedFigure} from './bound.js';
export {judgeFigures, percentile} from './bound.js';
