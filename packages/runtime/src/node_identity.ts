/** Identity of this process, derived from its settings. */

import {randomBytes} from 'node:crypto';
import type {FailureDomain, HostId, NodeId, Plugin} from '@siskinmux/kernel';
import {as, injectionKey} from '@siskinmux/kernel';
import {z} from 'zod';
import {settingsSection} from './settings_section.js';

/** ID and location of this process. */
export interface NodeIdentity {
  /** New at every start, so that this process is never confused with an earlier one. */
  readonly id: NodeId;
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
}

/** Injection key of the identity. */
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
