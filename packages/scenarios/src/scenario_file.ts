/** Scenario files: TOML with a deployment, timed steps and expectations. */

import {declarationsSchema} from '@siskinmux/declarations';
import {parse} from 'smol-toml';
import {z} from 'zod';

const name = z.string().min(1);
const milliseconds = z.number().int().nonnegative();

/** Time of a step, counted from the end of the deployment. */
const at = {at: milliseconds};

const stepSchema = z.discriminatedUnion('do', [
  /** One text generation request. */
  z.strictObject({
    ...at,
    do: z.literal('text'),
    model: name,
    prompt: z.string().optional(),
    tokens: z.number().int().positive().default(8),
    node: name.optional(),
    timeout_milliseconds: milliseconds.optional(),
    resend: z.boolean().default(true),
  }),
  /** One call of a plain service. */
  z.strictObject({
    ...at,
    do: z.literal('call'),
    service: name,
    path: z.string().startsWith('/'),
    method: z.string().default('POST'),
    key: name.optional(),
    body: z.string().default('{}'),
    node: name.optional(),
    timeout_milliseconds: milliseconds.optional(),
    resend: z.boolean().default(true),
  }),
  /** Requests at random instants with a constant mean rate. */
  z.strictObject({
    ...at,
    do: z.literal('load'),
    until: milliseconds,
    per_second: z.number().positive(),
    model: name.optional(),
    service: name.optional(),
    path: z.string().startsWith('/').optional(),
    method: z.string().default('POST'),
    tokens: z.number().int().positive().default(8),
    timeout_milliseconds: milliseconds.optional(),
  }),
  z.strictObject({
    ...at,
    do: z.enum(['kill', 'pause', 'resume', 'stop']),
    node: name,
  }),
  /** Starts a node, as a new process if it ran before. */
  z.strictObject({
    ...at,
    do: z.literal('start'),
    node: name,
    failure_domain: name,
  }),
  /** Drops messages between the nodes of both lists; `platform` stands for the platform. */
  z.strictObject({
    ...at,
    do: z.literal('cut'),
    from: z.array(name),
    to: z.array(name),
  }),
  /** Restores all links that were cut. */
  z.strictObject({...at, do: z.literal('heal')}),
  /** Sets the faults of the platform; faults that are left out end. */
  z.strictObject({
    ...at,
    do: z.literal('platform'),
    is_down: z.boolean().default(false),
    delay_milliseconds: milliseconds.default(2),
    lost_answer_share: z.number().min(0).max(1).default(0),
    lost_write_share: z.number().min(0).max(1).default(0),
  }),
  /** Copies what the object service holds. */
  z.strictObject({...at, do: z.literal('platform_copy'), copy: name}),
  /**
   * The platform is up again, and its object service returns from a copy. The operator submits
   * again what it has lost.
   */
  z.strictObject({
    ...at,
    do: z.literal('platform_return'),
    copy: name,
    /** Whether versions go on where they were, instead of being given out again. */
    keeps_counting: z.boolean().default(false),
  }),
  /** `reclaim` crashes the engine and removes its host from the host list. */
  z.strictObject({
    ...at,
    do: z.literal('engine'),
    engine: name,
    action: z.enum(['die', 'restart', 'leave', 'reclaim']),
  }),
  /** Sets the faults of one service instance; faults that are left out end. */
  z.strictObject({
    ...at,
    do: z.literal('service'),
    endpoint: name,
    is_dead: z.boolean().default(false),
    delay_milliseconds: milliseconds.default(2),
    answers_to_lose: z.number().int().nonnegative().default(0),
  }),
  /** Changes the state of a host in the host list; `gone` removes it. */
  z.strictObject({
    ...at,
    do: z.literal('host'),
    host: name,
    state: z.enum(['live', 'leaving', 'gone']),
  }),
  /** Sets the transfer rate of the weight store as a share of its normal rate. */
  z.strictObject({
    ...at,
    do: z.literal('weight_store'),
    rate: z.number().positive(),
  }),
  /** An operator's patch of one entry. `is_stale` bases it on the preceding configuration. */
  z.strictObject({
    ...at,
    do: z.literal('patch'),
    section: z.enum(['models', 'adapters', 'services', 'endpoints', 'policy']),
    entry: name,
    set: z.record(z.string(), z.unknown()),
    node: name.optional(),
    is_stale: z.boolean().default(false),
    id: name.optional(),
  }),
]);

const expectSchema = z.strictObject({
  /** Minimum share of all requests that get a complete and correct response. */
  answered_share: z.number().min(0).max(1).default(0),
  unknown_at_most: z.number().int().nonnegative().default(0),
  refused_at_most: z.number().int().nonnegative().optional(),
  refused_at_least: z.number().int().nonnegative().default(0),
  /** Maximum number of requests whose connection broke and that were not sent again. */
  broken_at_most: z.number().int().nonnegative().default(0),
  patches_accepted: z.number().int().nonnegative().optional(),
  patches_refused: z.number().int().nonnegative().optional(),
  /** Maximum number of engines that requests may crash. */
  engines_crashed_at_most: z.number().int().nonnegative().default(0),
  /** Replicas of each model that are loaded at the end. */
  awake: z.record(z.string(), z.number().int()).optional(),
  /** Number of the configuration that is active on every running node at the end. */
  configuration: z.number().int().optional(),
  /** Maximum number of model loads over the whole scenario. */
  loads_at_most: z.number().int().optional(),
});

const nodeSchema = z.strictObject({name, failure_domain: name});

const scenarioSchema = z.strictObject({
  title: z.string().min(1),
  /** Requirements of the system that the scenario verifies. */
  proves: z.array(z.string()).min(1),
  seed: z.number().int().default(1),
  /** Duration of the scenario, counted from the end of the deployment. */
  end: milliseconds,
  nodes: z.array(nodeSchema).min(1),
  /** Number of requests that each engine runs concurrently. */
  slots: z.number().int().positive().default(4),
  /** Duration of a model load from the weight store at full speed. */
  load_milliseconds: milliseconds.default(1_000),
  declarations: declarationsSchema,
  steps: z.array(stepSchema).default([]),
  expect: expectSchema.default(expectSchema.parse({})),
});

/** One step of a scenario. */
export type Step = z.infer<typeof stepSchema>;
/** Conditions at the end of the scenario, in addition to the invariants. */
export type Expectations = z.infer<typeof expectSchema>;
/** A scenario with the tables of its deployment. */
export type Scenario = z.infer<typeof scenarioSchema>;

/** Returns the text of the deployment file that a scenario names. */
export type ReadDeployment = (name: string) => string;

/**
 * Parses a scenario file. Its `deployment` names a file that supplies the top-level keys
 * missing from the scenario. Throws `TomlError` or `ZodError`.
 */
export function parseScenario(
  text: string,
  readDeployment: ReadDeployment,
): Scenario {
  const {deployment, ...own} = parse(text);
  const shared =
    typeof deployment === 'string' ? parse(readDeployment(deployment)) : {};
  return validateScenario({...shared, ...own});
}

/** Validates a scenario built in code. Throws `ZodError`. */
export function validateScenario(value: unknown): Scenario {
  return scenarioSchema.parse(value);
}
