/** The engines that can serve a target, as the dispatcher chooses among them. */

import type {EndpointId, Instant} from '@siskinmux/kernel';
import type {ModelTarget} from '@siskinmux/declarations';
import type {GenerationInput} from '@siskinmux/ports';
import {ownerOf} from '@siskinmux/routing';
import type {Option} from './dispatcher.js';
import type {EndpointPool} from './endpoint_pool.js';
import type {ReplicaExchange} from './replica_exchange.js';
import type {KnownReplica, ReplicaTable} from './replica_table.js';

/** Characters of the input that decide which engine has its prefix cached. */
const PREFIX_CHARACTERS = 64;

/** Class of call under which engines' limits are kept. */
const TEXT_CLASS = 'text';

/** Highest limit of an engine, as a multiple of its slots. */
const MOST_CONCURRENCY_FACTOR = 2;

/** What the choice needs from its surroundings. */
export interface EngineOptionsSource {
  readonly pool: EndpointPool;
  readonly replicas: ReplicaTable;
  readonly exchange: ReplicaExchange;
}

/** Options for one request; `mayRunAt` leaves out engines that it has to avoid. */
export function engineOptions(
  source: EngineOptionsSource,
  target: ModelTarget,
  input: GenerationInput,
  mayRunAt: (engine: EndpointId) => boolean,
): Option[] {
  const {pool} = source;
  const ready = knownReplicas(source, target).filter(isReady);
  const usable = new Set(pool.usable(ready.map(({engine}) => engine)));
  const allowed = ready.filter(
    ({engine}) => usable.has(engine) && mayRunAt(engine),
  );
  const home = prefixHome(input, allowed);
  return allowed.map(replica => toOption(pool, replica, home));
}

/** Whether some replica can serve the target now. */
export function hasReadyReplica(
  source: EngineOptionsSource,
  target: ModelTarget,
): boolean {
  return knownReplicas(source, target).some(isReady);
}

/** When the first replica that is being loaded is expected to be ready. */
export function firstReadyAt(
  source: EngineOptionsSource,
  target: ModelTarget,
): Instant | undefined {
  return knownReplicas(source, target)
    .filter(replica => !isReady(replica))
    .map(({readyAt}) => readyAt)
    .sort((left, right) => left - right)[0];
}

/** Replicas of the target; with an adapter, only those that hold it. */
function knownReplicas(
  source: EngineOptionsSource,
  target: ModelTarget,
): KnownReplica[] {
  const {replicas, exchange} = source;
  const {model, version, adapter} = target;
  const domains = exchange.allDomains(model);
  const known = replicas.replicas(domains, model, version);
  if (adapter === undefined) return known;
  const holders = replicas.adapterEngines(domains, model, adapter);
  return known.filter(({engine}) => holders.has(engine));
}

function isReady(replica: KnownReplica): boolean {
  return replica.state === 'ready';
}

function prefixHome(
  input: GenerationInput,
  replicas: readonly KnownReplica[],
): EndpointId | undefined {
  const text =
    input.kind === 'prompt' ? input.prompt : (input.messages[0]?.content ?? '');
  const engines = replicas.map(({engine}) => engine);
  return ownerOf(text.slice(0, PREFIX_CHARACTERS), engines);
}

function toOption(
  pool: EndpointPool,
  replica: KnownReplica,
  home: EndpointId | undefined,
): Option {
  const {engine, slots} = replica;
  const concurrency = pool.concurrencyLimit(engine, TEXT_CLASS, {
    initial: slots,
    minimum: 1,
    maximum: slots * MOST_CONCURRENCY_FACTOR,
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
    isPrefixHome: engine === home,
    concurrency,
  };
}
