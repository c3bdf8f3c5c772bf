/** Who this process is, from its settings. */

import {randomBytes} from 'node:crypto';
import type {FailureDomain, HostId, NodeId, Plugin} from '@siskinmux/kernel';
import {as, injectionKey} from '@siskinmux/kernel';
import {z} from 'zod';
import {settingsSection} from './settings_section.js';

/** This process among all others. */
export interface NodeIdentity {
  /** New for every start, so that an old process is never mistaken for this one. */
  readonly id: NodeId;
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
}

/** Key of the identity. */
export const NODE_IDENTITY = injectionKey<NodeIdentity>('node identity');

const section = settingsSection(
  'node',
  z.strictObject({
    host: z.string().min(1).max(63),
    failure_domain: z.string().min(1).max(63),
  }),
);

/** Provides {@link NODE_IDENTITY}. */
export const nodeIdentityPlugin: Plugin = {
  name: 'node identity',
  install(kernel) {
    const settings = kernel.settings(section);
    const suffix = randomBytes(4).toString('hex');
    kernel.provide(NODE_IDENTITY, {
      id: as<NodeId>(`${settings.host}-${suffix}`),
      host: as<HostId>(settings.host),
      failureDomain: as<FailureDomain>(settings.failure_domain),
    });
  },
};
