/** Port to the weight store's own report; loads themselves go through the engines. */

/** How busy the weight store is. */
export interface WeightStoreReport {
  readonly loadsInTransit: number;
  readonly fullSpeedLoads: number;
  /** Share of its normal rate that the store now gives, above 0 and up to 1. */
  readonly rate: number;
}

/** The weight store as the system uses it. */
export interface WeightStore {
  report(signal: AbortSignal): Promise<WeightStoreReport>;
}
