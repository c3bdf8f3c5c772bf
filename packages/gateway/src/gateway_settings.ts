/** The tables of the settings file that a gateway reads. */

import {portSchema, addressSchema, settingsSection} from '@siskinmux/runtime';
import {z} from 'zod';

/** IP number and port in one text. */
const socketSchema = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'expected IP:PORT');

/** Where callers, the balancer's readiness check and other nodes reach this one. */
export const listenSection = settingsSection(
  'listen',
  z.strictObject({
    callers: socketSchema,
    readiness: socketSchema,
    /** Address and first port for traffic between nodes. */
    peers: z.strictObject({address: addressSchema, port: portSchema}),
  }),
);

/** The platform's metadata store. */
export const storeSection = settingsSection(
  'store',
  z.strictObject({
    address: socketSchema,
  }),
);

/** What this node has to work with; a weak one lets others allocate. */
export const capacitySection = settingsSection(
  'capacity',
  z.strictObject({
    /** Cores' worth of processor time. */
    processor_share: z.number().positive().default(1),
    link_megabits: z.number().positive().default(1_000),
  }),
);

/** Rules that the platform sets for the whole system. */
export const rulesSection = settingsSection(
  'rules',
  z.strictObject({
    /** Seconds from SIGTERM to SIGKILL. */
    stop_seconds: z.number().positive().default(8),
    /** A holder of the right to order is gone this long after its last sign of life. */
    lease_milliseconds: z.number().positive().default(3_000),
    /** Whether engines refuse orders with an old fencing number. */
    engines_check_fencing: z.boolean().default(false),
    /** Repeated sends over all nodes: a share of the requests, plus a fixed number. */
    repeat_share: z.number().nonnegative().default(0.2),
    repeat_allowance: z.number().nonnegative().default(54),
    /** Window in which loads from the weight store are counted against their rate. */
    load_window_seconds: z.number().positive().default(5),
  }),
);

/** Host name and port of a socket's text. */
export function parseSocketAddress(socket: string): {host: string; port: number} {
  const [host = '', port = ''] = socket.split(':');
  return {host, port: Number(port)};
}
