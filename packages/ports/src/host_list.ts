/** Port to the platform's list of hosts. The list lags behind the truth. */

import type {FailureDomain, HostId} from '@siskinmux/kernel';

/** Whether a host takes work. */
export type HostState = 'live' | 'leaving';

/** One row of the host list. */
export interface ListedHost {
  readonly id: HostId;
  readonly state: HostState;
  readonly failureDomain: FailureDomain;
}

/** The host list as the system uses it. */
export interface HostList {
  /** All hosts that the platform knows. Throws `PlatformUnavailableError`. */
  hosts(): Promise<readonly ListedHost[]>;
}
