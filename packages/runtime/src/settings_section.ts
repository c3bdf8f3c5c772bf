/** Builds settings sections from schemas, and the shapes that several sections share. */

import type {SettingsSection} from '@siskinmux/kernel';
import {SettingsError} from '@siskinmux/kernel';
import {z} from 'zod';

/** A section whose table is checked by a schema. */
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

/** An IP number; names are not looked up. */
export const addressSchema = z.union([z.ipv4(), z.ipv6()], {
  error: 'expected an IP number such as "127.0.0.1"',
});

/** A TCP port; 0 takes any free one. */
export const portSchema = z.number().int().min(0).max(65_535);

/** Base URL of something that this node calls. */
export const urlSchema = z
  .string()
  .regex(/^https?:\/\/[^/\s]+$/, 'expected http://address:port');

/** Files of this host's key pair. */
export const tlsSchema = z.strictObject({
  certificate_file: z.string().min(1),
  key_file: z.string().min(1),
  /** Certificates that the other side's must be signed by. */
  authority_file: z.string().min(1),
});

/** Settings of one listening socket that is not for everyone. */
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

/** Whether an address is reached from this machine only. */
export function isLoopback(address: string): boolean {
  return address.startsWith('127.') || address === '::1';
}
