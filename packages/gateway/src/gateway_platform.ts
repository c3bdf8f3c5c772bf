/** Port to a platform: everything that a gateway can't know about where it runs. */

import type {Clock} from '@siskinmux/kernel';
import type {EndpointDescription} from '@siskinmux/endpoints';
import type {EndpointProtocol} from '@siskinmux/forwarding';
import type {EngineOrderClient} from '@siskinmux/placement';
import type {ObjectStore, StoreObject} from '@siskinmux/ports';
import type {RouteConfiguration} from '@siskinmux/routes';
import type {Dispatcher} from 'undici';

/** How to reach the platform's store. */
export interface StoreConnection {
  readonly address: string;
  readonly agent: Dispatcher;
  readonly clock: Clock;
  readonly onUnreadable: (kind: string, name: string) => void;
}

/** A platform. */
export interface GatewayPlatform {
  readonly protocol: EndpointProtocol;
  openStore(connection: StoreConnection): ObjectStore;
  openOrders(options: {agent: Dispatcher; clock: Clock}): EngineOrderClient;
  /** Where the operators' configuration lies; `decode` throws `StoredObjectInvalidError`. */
  readonly configuration: {
    readonly kind: string;
    readonly name: string;
    decode(content: unknown): RouteConfiguration;
  };
  /** Where endpoints register; `decode` gives undefined for what names no endpoint. */
  readonly endpoints: {
    readonly kind: string;
    decode(object: StoreObject): EndpointDescription | undefined;
  };
}
