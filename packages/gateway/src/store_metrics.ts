/** Metrics of returns of the store from an older copy. */

import type {Registry} from 'prom-client';
import {Counter, Gauge} from 'prom-client';
import type {EmitEvent, StoreEra} from '@siskinmux/kernel';
import {UNKNOWN_ERA} from '@siskinmux/kernel';
import {
  LEASE_RESTORED,
  STORE_ERA_CHANGED,
  STORE_ERA_UNUSABLE,
  STORE_RELISTED,
} from './gateway_events.js';

/** Registers the metrics; returns `emit`, with the events of the store counted. */
export function countStoreReturns(
  registry: Registry,
  era: () => StoreEra,
  emit: EmitEvent,
): EmitEvent {
  const registers = [registry];
  new Gauge({
    name: 'siskinmux_store_era',
    help: 'Latest era that a response of the store has named; 0 for none',
    registers,
    collect() {
      this.set(era());
    },
  });
  const counter = (name: string, help: string): Counter =>
    new Counter({name, help, registers});
  const returnsTotal = counter(
    'siskinmux_store_returns_total',
    'Returns of the store from an older copy that this node has met',
  );
  const restoredTotal = counter(
    'siskinmux_restored_leases_total',
    'Leases that this node wrote again after a return of the store',
  );
  const unusableTotal = counter(
    'siskinmux_unusable_eras_total',
    'Changes to an era that is missing, unreadable or lower than before',
  );
  const missingTotal = new Counter({
    name: 'siskinmux_store_missing_objects_total',
    help: 'Known objects that the store lacked after a return, by kind',
    labelNames: ['kind'],
    registers,
  });
  return (event, fields) => {
    emit(event, fields);
    if (event === STORE_ERA_CHANGED && fields?.['before'] !== UNKNOWN_ERA)
      returnsTotal.inc();
    if (event === STORE_ERA_UNUSABLE) unusableTotal.inc();
    if (event === LEASE_RESTORED) restoredTotal.inc();
    if (event === STORE_RELISTED)
      missingTotal.inc(
        {kind: String(fields?.['kind'])},
        Number(fields?.['missing']),
      );
  };
}
