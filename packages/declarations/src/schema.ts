/**
 * Shapes of the operators' declarations. Units are part of each key's name;
 * unknown keys are refused.
 */

import {z} from 'zod';

/** Names are lower case, so that they survive URLs, metrics and file systems. */
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
  /** Versions that may be asked for as `model@version`. */
  versions: z.array(name).min(1),
  /** Version behind the plain model name. */
  current_version: name,
  memory_gib: z.number().positive(),
  /** Most replicas that may be loaded, by failure domain. */
  replicas: z.record(name, z.number().int().nonnegative()),
  default_deadline_milliseconds: milliseconds.default(30_000),
  priority: priority.default('normal'),
  maximum_queue: z.number().int().positive().default(256),
  /** Expected time of a load from the weight store, until one was measured. */
  expected_load_milliseconds: milliseconds.default(4_000),
});

/** An adapter of one model. */
export const adapterSchema = z.strictObject({
  model: name,
  memory_mib: z.number().positive(),
});

/** One kind of call of a plain service. */
export const serviceCallSchema = z.strictObject({
  methods: z.array(z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1),
  /** Path prefix below the service's root. */
  path: z.string().startsWith('/'),
  /** Whether running a call twice is harmless. */
  repeatable: z.boolean(),
  default_deadline_milliseconds: milliseconds.default(2_000),
  priority: priority.default('normal'),
});

/** A plain service. */
export const serviceSchema = z.strictObject({
  calls: z.record(name, serviceCallSchema),
  maximum_queue: z.number().int().positive().default(1_024),
  /**
   * `sealing` when instances can say whether a call ran and will refuse it
   * afterwards if it did not; `none` when an unknown outcome stays unknown.
   */
  outcome_query: z.enum(['none', 'sealing']).default('none'),
});

const endpointCommon = {
  url: z.string().regex(/^https?:\/\/[^/]+$/, 'expected http://address:port'),
  host: name,
  failure_domain: name,
  /** Calls that may run at once before the measured limit takes over. */
  concurrency: z.number().int().positive().default(16),
};

/** An endpoint: a model engine or an instance of a plain service. */
export const endpointSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('engine'),
    ...endpointCommon,
    memory_gib: z.number().positive(),
    accelerators: z.number().int().positive().default(1),
    /** Whether the engine refuses orders with old fencing numbers. */
    checks_fencing: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal('service'),
    ...endpointCommon,
    service: name,
  }),
]);

/** Weights and limits that apply to the whole system. */
export const policySchema = z.strictObject({
  /** Cost of a second that a request waits for a load. */
  cold_start_weight: z.number().positive().default(1),
  /** Cost of an hour that an accelerator holds an unused model. */
  idle_hour_weight: z.number().positive().default(1),
  /** How long a claimed idempotency key is remembered. */
  claim_retention_milliseconds: milliseconds.default(3_600_000),
  /** Largest request body. */
  maximum_body_bytes: z.number().int().positive().default(1_000_000),
});

/** The whole of what operators decide. */
export const declarationsSchema = z.strictObject({
  models: z.record(name, modelSchema).default({}),
  adapters: z.record(name, adapterSchema).default({}),
  services: z.record(name, serviceSchema).default({}),
  endpoints: z.record(name, endpointSchema).default({}),
  policy: z.record(z.literal('default'), policySchema).default({
    default: policySchema.parse({}),
  }),
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
/** The declared policy. */
export type PolicyDeclaration = z.infer<typeof policySchema>;
/** All declarations of one configuration number. */
export type Declarations = z.infer<typeof declarationsSchema>;

/** The kinds of declaration, as the TOML tables are called. */
export const SECTIONS = [
  'models',
  'adapters',
  'services',
  'endpoints',
  'policy',
] as const;

/** One of {@link SECTIONS}. */
export type Section = (typeof SECTIONS)[number];

/** Schema of one entry of each section. */
export const ENTRY_SCHEMAS = {
  models: modelSchema,
  adapters: adapterSchema,
  services: serviceSchema,
  endpoints: endpointSchema,
  policy: policySchema,
} as const;

/** Declarations without any entry. */
export function emptyDeclarations(): Declarations {
  return declarationsSchema.parse({});
}

/** The policy in force. */
export function policyOf(declarations: Declarations): PolicyDeclaration {
  return declarations.policy.default;
}
