/** Sections of the settings file that a gateway reads. */

import {addressSchema, portSchema, settingsSection} from '@siskinmux/runtime';
import {z} from 'zod';

/** An IPv4 address and a port, as `IP:PORT`. */
const socketAddressSchema = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'expected IP:PORT');

/** Addresses on which callers, the load balancer's readiness probe and other nodes connect. */
export const listenSection = settingsSection(
  'listen',
  z.strictObject({
    callers: socketAddressSchema,
    readiness: socketAddressSchema,
    /** Address and first port for traffic between nodes. */
    peers: z.strictObject({address: addressSchema, port: portSchema}),
    /** Address and port for requests that other nodes relay; by default the next one of `peers`. */
    relays: z
      .strictObject({address: addressSchema, port: portSchema})
      .optional(),
    /** Most open connections of callers, and of other nodes; by default four for each megabyte. */
    connections: z.number().int().positive().optional(),
    /** Most of them from one address; by default three quarters. */
    connections_per_address: z.number().int().positive().optional(),
  }),
);

/** The platform's metadata store. */
export const storeSection = settingsSection(
  'store',
  z.strictObject({
    address: socketAddressSchema,
  }),
);

/** Resources of this node; one with few resources lets others take the lease first. */
export const capacitySection = settingsSection(
  'capacity',
  z.strictObject({
    /** Processor time, in cores. */
    processor_share: z.number().positive().default(1),
    /** Network bandwidth, in megabits per second. */
    link_megabits: z.number().positive().default(1_000),
    /** Memory that the process may take, in megabytes. */
    memory_megabytes: z.number().positive().default(512),
  }),
);

/** Rules that the platform sets for all nodes. */
export const rulesSection = settingsSection(
  'rules',
  z.strictObject({
    /** Seconds from SIGTERM to SIGKILL. */
    stop_seconds: z.number().positive().default(8),
    /** Time from the last renewal of a lease to its expiry. */
    lease_milliseconds: z.number().positive().default(3_000),
    /** Whether engines reject orders with an outdated fencing number. */
    engines_check_fencing: z.boolean().default(false),
    /** Retries allowed over all nodes: a share of the requests, plus a fixed number. */
    repeat_share: z.number().nonnegative().default(0.2),
    repeat_allowance: z.number().nonnegative().default(54),
    /** Window in which the retries are counted. */
    repeat_window_seconds: z.number().positive().default(10),
    /** Window in which what teams send is compared with their quotas. */
    quota_window_seconds: z.number().positive().default(8),
    /** Part of a team's quota of a window that all nodes together may admit beyond it. */
    quota_overage: z.number().nonnegative().default(0.1),
    /** Tokens that they may admit beyond that. */
    quota_tolerance: z.number().nonnegative().default(7_400),
    /** Window in which model loads from the weight store count towards their rate limit. */
    load_window_seconds: z.number().positive().default(5),
    /** Time from the acknowledgement that an endpoint leaves to the last request that reaches it. */
    drain_milliseconds: z.number().positive().default(2_000),
    /** Time from the acknowledgement of a configuration until all nodes follow it. */
    configuration_milliseconds: z.number().positive().default(2_000),
    /** Interval at which endpoints renew their entries in the store. */
    endpoint_heartbeat_milliseconds: z.number().positive().default(1_200),
  }),
);

/** An address and a port to listen on. */
export interface ListenAddress {
  readonly address: string;
  readonly port: number;
}

/** Where a node takes the requests that other nodes relay. */
export function relayAddress({
  peers,
  relays,
}: {
  readonly peers: ListenAddress;
  readonly relays?: ListenAddress | undefined;
}): ListenAddress {
  return relays ?? {address: peers.address, port: peers.port + 1};
}

/** Splits an address of the form `IP:PORT`. */
export function parseSocketAddress(address: string): {
  host: string;
  port: number;
} {
  const [host = '', port = ''] = address.split(':');
  return {host, port: Number(port)};
}
