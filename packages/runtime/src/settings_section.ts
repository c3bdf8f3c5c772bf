/** Creates settings sections from schemas, and defines schemas that several sections share. */

import type {SettingsSection} from '@siskinmux/kernel';
import {SettingsError} from '@siskinmux/kernel';
import {z} from 'zod';

/** Creates a section that validates its table with a schema. */
export function settingsSection<Shape>(
  name: string,
  schema: z.ZodType<Shape>,
): SettingsSection<Shape> {
  return {
    name,
    parse: value => {
      const parsed = schema.safeParse(value ?? {});
      if (parsed.success) return parsed.data;
      const [issue] = parsed.error.issues;
      const keys = [name, ...(issue?.path ?? []).map(String)];
      throw new SettingsError(keys.join('.'), issue?.message ?? 'not valid');
    },
  };
}

/** An IP address; host names are not accepted. */
export const addressSchema = z.union([z.ipv4(), z.ipv6()], {
  error: 'expected an IP address such as "127.0.0.1"',
});

/** A TCP port; 0 selects any free port. */
export const portSchema = z.number().int().min(0).max(65_535);

/** Base URL of a service, without a path. */
export const urlSchema = z
  .string()
  .regex(/^https?:\/\/[^/\s]+$/, 'expected http://address:port');

/** Files of the TLS key pair of this host. */
export const tlsSchema = z.strictObject({
  certificate_file: z.string().min(1),
  key_file: z.string().min(1),
  /** Certificate authorities, one of which must have signed the certificate of the other side. */
  authority_file: z.string().min(1),
});

/** Settings of a listener for nodes and operators; requires TLS except on loopback. */
export const privateListenerSchema = z
  .strictObject({
    address: addressSchema,
    port: portSchema,
    tls: tlsSchema.optional(),
  })
  .refine(
    listener => listener.tls !== undefined || isLoopback(listener.address),
    {
      path: ['tls'],
      error: 'missing; without TLS only a loopback address is accepted',
    },
  );

/** Whether an address is only reachable from this host. */
export function isLoopback(address: string): boolean {
  return address.startsWith('127.') || address === '::1';
}
