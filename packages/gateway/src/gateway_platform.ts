/** Port to the platform that a gateway runs on; each platform provides an adapter. */

import type {HttpAgent} from '@siskinmux/adapters';
import type {EndpointDescription} from '@siskinmux/endpoints';
import type {EndpointProtocol} from '@siskinmux/forwarding';
import type {Clock} from '@siskinmux/kernel';
import type {EngineOrderClient} from '@siskinmux/placement';
import type {
  EraObserver,
  MetadataObject,
  MetadataStore,
} from '@siskinmux/ports';
import type {RouteConfiguration} from '@siskinmux/routes';

/** Options for connecting to the platform's store. */
export interface StoreConnectionOptions {
  readonly address: string;
  readonly agent: HttpAgent;
  readonly clock: Clock;
  /** Called for each stored object that can't be decoded. */
  readonly onUnreadable: (kind: string, name: string) => void;
  /** Called when responses name another era of the store. */
  readonly eraObserver: EraObserver;
}

/** What a platform's adapter implements. */
export interface GatewayPlatform {
  readonly protocol: EndpointProtocol;
  openStore(options: StoreConnectionOptions): MetadataStore;
  openOrders(options: {agent: HttpAgent; clock: Clock}): EngineOrderClient;
  /** Stored object with the operators' configuration; `decode` throws `StoredObjectInvalidError`. */
  readonly configuration: {
    readonly kind: string;
    readonly name: string;
    decode(content: unknown): RouteConfiguration;
  };
  /** Kind of stored object with which endpoints register; `decode` returns undefined if invalid. */
  readonly endpoints: {
    readonly kind: string;
    decode(object: MetadataObject): EndpointDescription | undefined;
  };
}
