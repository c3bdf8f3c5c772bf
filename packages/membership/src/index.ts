/** Which nodes live, and which of them owns a piece of shared state. */

export type {Member, MemberStatus, MemberUpdate} from './member.js';
export {parseMemberUpdates} from './member.js';
export type {MembershipListener, SelfDescription} from './membership.js';
export {Membership} from './membership.js';
export {NodeRegistry} from './node_registry.js';
export type {
  OwnerClientOptions,
  OwnerRequest,
  OwnerReply,
} from './owner_client.js';
export {OwnerClient, PeerUnreachableError} from './owner_client.js';
