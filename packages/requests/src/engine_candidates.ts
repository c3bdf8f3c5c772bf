/** The engines among which the dispatcher chooses for a model target. */

import type {EndpointId, Instant} from '@siskinmux/kernel';
import type {ModelTarget} from '@siskinmux/declarations';
import type {GenerationInput} from '@siskinmux/ports';
import {ownerOf} from '@siskinmux/routing';
import type {DispatchCandidate} from './dispatcher.js';
import type {EndpointPool} from './endpoint_pool.js';
import type {ReplicaExchange} from './replica_exchange.js';
import type {KnownReplica, ReplicaTable} from './replica_table.js';

/** Leading characters of the input that select the engine which caches its prefix. */
const PREFIX_CHARACTERS = 64;

/** Call class of text generation in the endpoint pool. */
const TEXT_CALL_CLASS = 'text';

/** Upper bound of an engine's concurrency limit, as a multiple of its slots. */
const MAXIMUM_CONCURRENCY_FACTOR = 2;

/** Dependencies of {@link engineCandidates}. */
export interface EngineCandidatesOptions {
  readonly pool: EndpointPool;
  readonly replicas: ReplicaTable;
  readonly exchange: ReplicaExchange;
}

/** Engines that are ready to serve the target and accepted by `canRunOn`. */
export function engineCandidates(
  options: EngineCandidatesOptions,
  target: ModelTarget,
  input: GenerationInput,
  canRunOn: (engine: EndpointId) => boolean,
): DispatchCandidate[] {
  const {pool} = options;
  const ready = replicasOf(options, target).filter(isReady);
  const usable = new Set(pool.usableEndpoints(ready.map(({engine}) => engine)));
  const allowed = ready.filter(
    ({engine}) => usable.has(engine) && canRunOn(engine),
  );
  const prefixOwner = prefixOwnerOf(input, allowed);
  return allowed.map(replica => toCandidate(pool, replica, prefixOwner));
}

/** Whether any replica of the target is ready. */
export function hasReadyReplica(
  options: EngineCandidatesOptions,
  target: ModelTarget,
): boolean {
  return replicasOf(options, target).some(isReady);
}

/** When the first loading replica is expected to be ready; undefined if none is loading. */
export function earliestReadyAt(
  options: EngineCandidatesOptions,
  target: ModelTarget,
): Instant | undefined {
  return replicasOf(options, target)
    .filter(replica => !isReady(replica))
    .map(({readyAt}) => readyAt)
    .sort((left, right) => left - right)[0];
}

/** Replicas of the target; with an adapter, only those on engines that have it ready. */
function replicasOf(
  options: EngineCandidatesOptions,
  target: ModelTarget,
): KnownReplica[] {
  const {replicas, exchange} = options;
  const {model, version, adapter} = target;
  const domains = exchange.rankedDomains(model);
  const modelReplicas = replicas.replicas(domains, model, version);
  if (adapter === undefined) return modelReplicas;
  const engines = replicas.enginesWithAdapter(domains, model, adapter);
  return modelReplicas.filter(({engine}) => engines.has(engine));
}

function isReady(replica: KnownReplica): boolean {
  return replica.state === 'ready';
}

function prefixOwnerOf(
  input: GenerationInput,
  replicas: readonly KnownReplica[],
): EndpointId | undefined {
  const text =
    input.kind === 'prompt' ? input.prompt : (input.messages[0]?.content ?? '');
  const engines = replicas.map(({engine}) => engine);
  return ownerOf(text.slice(0, PREFIX_CHARACTERS), engines);
}

function toCandidate(
  pool: EndpointPool,
  replica: KnownReplica,
  prefixOwner: EndpointId | undefined,
): DispatchCandidate {
  const {engine, slots} = replica;
  const concurrency = pool.concurrencyLimit(engine, TEXT_CALL_CLASS, {
    initial: slots,
    minimum: 1,
    maximum: slots * MAXIMUM_CONCURRENCY_FACTOR,
  });
  return {
    endpoint: engine,
    failureDomain: replica.failureDomain,
    inFlight: concurrency.inFlight,
    limit: concurrency.value,
    reportedLoad: replica.running + replica.queued,
    reportedAt: replica.reportedAt,
    slots,
    hasAdapter: true,
    isPrefixOwner: engine === prefixOwner,
    concurrency,
  };
}
