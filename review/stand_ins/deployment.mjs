/** Configurations of a small deployment: two plain services, and engines with models. */

export const HOST = 'offers.example';

/** More models than the engines of a small deployment hold. */
export const MODELS = Array.from({length: 12}, (_, index) => `m${index}`);

/** The operator's configuration; `issueService` runs the unsafe requests. */
export function configuration(version, {issueService = 'till'} = {}) {
  const route = fields => ({
    host: HOST,
    priority: 1,
    maxAttempts: 1,
    sticky: false,
    resumable: false,
    targetGapMs: 200,
    targetLatencyMs: 200,
    ...fields,
  });
  const plain = name => ({
    name,
    healthPath: '/health',
    maxConnections: 100,
    protocol: 'h1',
    tls: false,
  });
  return {
    version,
    routes: [
      route({
        name: 'issue',
        pathPrefix: '/issue/',
        kind: 'unsafe',
        timeoutMs: 5_000,
        service: issueService,
      }),
      route({
        name: 'text',
        pathPrefix: '/text/',
        kind: 'streaming',
        timeoutMs: 12_000,
        targetLatencyMs: 4_000,
        service: 'wordsmith',
        maxAttempts: 2,
        sticky: true,
        resumable: true,
      }),
    ],
    services: [
      plain('till'),
      plain('till-two'),
      {
        ...plain('wordsmith'),
        engine: {
          slots: 16,
          kvCapacityTokens: 100_000,
          weightsMb: 230_000,
          maxAdapters: 8,
          loadsPerS: 2.6,
          models: MODELS.map(name => ({
            name,
            weightsMb: 72_700,
            loadTimeS: 1,
            diskS: 0.3,
            warmS: 0.2,
            adapters: 0,
            adapterSizeMb: 66,
          })),
        },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 10_000,
    },
  };
}

/** The lease of the machine that gives orders, as the store has it. */
export function leaseOf(store) {
  return store.get('siskinmux-leases', 'allocator')?.spec;
}

/** The name under which a machine holds the lease. */
export function holderOf(store) {
  return leaseOf(store)?.holder ?? undefined;
}
