/** Membership of the nodes, and requests to the owners of shared state. */

export type {Member, MemberStatus, MemberUpdate} from './member.js';
export {parseMemberUpdates} from './member.js';
export type {MembershipListener, SelfDescription} from './membership.js';
export {Membership} from './membership.js';
export {NodeRegistry} from './node_registry.js';
export type {
  OwnerClientOptions,
  OwnerReply,
  OwnerRequest,
} from './owner_client.js';
export {OwnerClient, PeerUnreachableError} from './owner_client.js';
