/** Relaying of requests between nodes: which peer serves a request, and what the two tell each other. */

export type {PeerChoiceOptions} from './peer_choice.js';
export {PeerChoice} from './peer_choice.js';
export {
  decodeOffer,
  decodePeers,
  encodeOffer,
  encodePeers,
  relayOfferSchema,
  relayPeersSchema,
} from './peer_messages.js';
export {PeerRegistry} from './peer_registry.js';
export type {RelayedProgress, RelayStatement} from './relay_header.js';
export {
  RELAY_HEADER,
  decodeProgress,
  decodeStatement,
  encodeStatement,
  relayedHeaders,
  withoutRelayHeader,
} from './relay_header.js';
export type {RelayPeer} from './relay_peer.js';
export {areSamePeers, reaches} from './relay_peer.js';
