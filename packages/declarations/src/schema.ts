/**
 * Schemas of the operators' declarations. Keys contain their unit; unknown keys are
 * rejected.
 */

import {z} from 'zod';

/** Lower case only, since names appear in URLs, metrics and case-insensitive file systems. */
export const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

const name = z
  .string()
  .regex(NAME_PATTERN, 'expected lower-case letters, digits, ".", "_" or "-"');

/** Priority classes, most urgent first. */
export const PRIORITIES = ['urgent', 'normal', 'batch'] as const;

/** One of {@link PRIORITIES}. */
export type Priority = (typeof PRIORITIES)[number];

const priority = z.enum(PRIORITIES);
const milliseconds = z.number().int().positive().max(86_400_000);

/** A model that engines can load. */
export const modelSchema = z.strictObject({
  /** Versions that requests may name as `model@version`. */
  versions: z.array(name).min(1),
  /** Version for requests that name none. */
  current_version: name,
  memory_gib: z.number().positive(),
  /** Maximum number of loaded replicas in each failure domain. */
  replicas: z.record(name, z.number().int().nonnegative()),
  /** Time allowed for a request that states no deadline. */
  default_deadline_milliseconds: milliseconds.default(30_000),
  priority: priority.default('normal'),
  /** Maximum number of requests that wait on one node for the same version and adapter. */
  maximum_queue: z.number().int().positive().default(256),
  /**
   * Estimated duration of a load from the weight store. Loads that were observed do not
   * change it. It gives the time at which a loading replica is expected to be ready, and the
   * cost of a cold start from which the keep-alive time of an idle model follows.
   */
  expected_load_milliseconds: milliseconds.default(4_000),
});

/** An adapter of one model. */
export const adapterSchema = z.strictObject({
  model: name,
  memory_mib: z.number().positive(),
});

/** A kind of call to a plain service. */
export const serviceCallSchema = z.strictObject({
  methods: z.array(z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1),
  /** Path prefix below the service's root. */
  path: z.string().startsWith('/'),
  /** Whether a call may safely run more than once. */
  repeatable: z.boolean(),
  /** Time allowed for a call that states no deadline. */
  default_deadline_milliseconds: milliseconds.default(2_000),
  priority: priority.default('normal'),
});

/** A plain service. */
export const serviceSchema = z.strictObject({
  calls: z.record(name, serviceCallSchema),
  /** Maximum number of calls of one kind that wait on one node. */
  maximum_queue: z.number().int().positive().default(1_024),
  /**
   * `sealing` when instances report whether a call ran, and reject it from then on if it
   * did not; `none` when an unknown outcome can't be resolved.
   */
  outcome_query: z.enum(['none', 'sealing']).default('none'),
});

const commonEndpointFields = {
  url: z.string().regex(/^https?:\/\/[^/]+$/, 'expected http://address:port'),
  host: name,
  failure_domain: name,
  /** Initial value of the adaptive limit on concurrent calls. */
  concurrency: z.number().int().positive().default(16),
};

/** An endpoint: a model engine or an instance of a plain service. */
export const endpointSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('engine'),
    ...commonEndpointFields,
    memory_gib: z.number().positive(),
    accelerators: z.number().int().positive().default(1),
    /** Whether the engine rejects orders whose fencing number is outdated. */
    checks_fencing: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal('service'),
    ...commonEndpointFields,
    service: name,
  }),
]);

/** Characters of a SHA-256 digest in base64url, without padding. */
export const KEY_DIGEST_CHARACTERS = 43;

/** The last character holds the remaining 4 of the 256 bits, and 2 bits that are zero. */
const KEY_DIGEST_PATTERN = /^[A-Za-z0-9_-]{42}[AEIMQUYcgkosw048]$/;

/** Largest number of a team's priority, the least urgent. */
export const MAXIMUM_TEAM_PRIORITY = 1_000;

/** What a team may send over all nodes together: a token bucket. */
export const teamQuotaSchema = z.strictObject({
  /** What a request costs: 1, or its prompt tokens and maximum output tokens. */
  unit: z.enum(['requests', 'tokens']).default('requests'),
  per_second: z.number().positive(),
  /** Size of the bucket, in the same unit. */
  burst: z.number().positive(),
  /** Cost of a request that states no tokens, if they are the unit. */
  plain_tokens: z.number().nonnegative().default(0),
});

/** A team of callers. */
export const teamSchema = z.strictObject({
  /** Digests of the keys of its callers; a team without any has no access. */
  key_digests: z.array(
    z
      .string()
      .regex(
        KEY_DIGEST_PATTERN,
        `expected a SHA-256 digest in base64url, ${KEY_DIGEST_CHARACTERS} characters`,
      ),
  ),
  /** 0 is the most urgent. */
  priority: z
    .number()
    .int()
    .nonnegative()
    .max(MAXIMUM_TEAM_PRIORITY)
    .default(0),
  quota: teamQuotaSchema.optional(),
});

/** Weights and limits that apply to the whole system. */
export const policySchema = z.strictObject({
  /** Cost of each second that a request waits for a model to load. */
  cold_start_weight: z.number().positive().default(1),
  /** Cost of each hour that an accelerator keeps an idle model loaded. */
  idle_hour_weight: z.number().positive().default(1),
  /** Time for which a claimed idempotency key is kept. */
  claim_retention_milliseconds: milliseconds.default(3_600_000),
  /** Maximum size of a request body. */
  maximum_body_bytes: z.number().int().positive().default(1_000_000),
});

/** A full set of declarations. */
export const declarationsSchema = z.strictObject({
  models: z.record(name, modelSchema).default({}),
  adapters: z.record(name, adapterSchema).default({}),
  services: z.record(name, serviceSchema).default({}),
  endpoints: z.record(name, endpointSchema).default({}),
  policy: z.record(z.literal('default'), policySchema).default({
    default: policySchema.parse({}),
  }),
  teams: z.record(name, teamSchema).default({}),
});

/** A declared model. */
export type ModelDeclaration = z.infer<typeof modelSchema>;
/** A declared adapter. */
export type AdapterDeclaration = z.infer<typeof adapterSchema>;
/** A declared kind of call. */
export type ServiceCallDeclaration = z.infer<typeof serviceCallSchema>;
/** A declared plain service. */
export type ServiceDeclaration = z.infer<typeof serviceSchema>;
/** A declared endpoint. */
export type EndpointDeclaration = z.infer<typeof endpointSchema>;
/** A declared team. */
export type TeamDeclaration = z.infer<typeof teamSchema>;
/** The declared policy. */
export type PolicyDeclaration = z.infer<typeof policySchema>;
/** All declarations of one configuration number. */
export type Declarations = z.infer<typeof declarationsSchema>;

/** Names of the top-level TOML tables. */
export const SECTIONS = [
  'models',
  'adapters',
  'services',
  'endpoints',
  'policy',
  'teams',
] as const;

/** One of {@link SECTIONS}. */
export type Section = (typeof SECTIONS)[number];

/** Schema of an entry, by section. */
export const ENTRY_SCHEMAS = {
  models: modelSchema,
  adapters: adapterSchema,
  services: serviceSchema,
  endpoints: endpointSchema,
  policy: policySchema,
  teams: teamSchema,
} as const;

/** Declarations without entries, apart from the default policy. */
export function emptyDeclarations(): Declarations {
  return declarationsSchema.parse({});
}

/** The policy that applies to the whole system. */
export function policyOf(declarations: Declarations): PolicyDeclaration {
  return declarations.policy.default;
}
