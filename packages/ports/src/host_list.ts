/** Port to the platform's host list, which may be out of date. */

import type {FailureDomain, HostId} from '@siskinmux/kernel';

/** Whether a host stays available or is about to be removed. */
export type HostState = 'live' | 'leaving';

/** One entry of the host list. */
export interface ListedHost {
  readonly id: HostId;
  readonly state: HostState;
  readonly failureDomain: FailureDomain;
}

/** Client of the host list. */
export interface HostList {
  /** Lists all hosts. Throws `PlatformUnavailableError`. */
  hosts(): Promise<readonly ListedHost[]>;
}
