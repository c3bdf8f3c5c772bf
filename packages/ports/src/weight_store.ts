/** Port to the weight store's status. The engines load the weights themselves. */

/** Current load of the weight store. */
export interface WeightStoreReport {
  /** Loads in progress, over all engines. */
  readonly loadsInTransit: number;
  /** Number of concurrent loads above which each takes longer. */
  readonly fullSpeedLoads: number;
  /** Current throughput as a share of the normal one, above 0 and up to 1. */
  readonly rate: number;
}

/** Client of the weight store. */
export interface WeightStore {
  /** Reads the current load. Throws `PlatformUnavailableError`. */
  report(signal: AbortSignal): Promise<WeightStoreReport>;
}
