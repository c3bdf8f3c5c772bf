/**
 * Tells an endpoint whose process has ended from one that only this node can't reach. Both
 * refuse connections; other endpoints, and other nodes, show which of the two it is.
 */

import type {EndpointDescription, EndpointTable} from '@siskinmux/endpoints';
import type {ProbeResult} from '@siskinmux/forwarding';
import type {EmitEvent, EndpointId, Random} from '@siskinmux/kernel';
import {REFUSAL_JUDGED} from './reach_events.js';
import {sampleEndpoints} from './sample_endpoints.js';

/** Other endpoints that are probed; one that listens shows that the links of this node work. */
const OTHER_ENDPOINTS = 3;

/** Dependencies of {@link RefusalWitness}. */
export interface RefusalWitnessOptions {
  readonly table: EndpointTable;
  /** Connects to an address and closes the connection at once. */
  readonly probe: (address: string) => Promise<ProbeResult>;
  /** What another node sees of an endpoint; `unknown` if it can't tell or there is none. */
  readonly askPeer: (endpoint: EndpointId) => Promise<ProbeResult>;
  readonly random: Random;
  readonly emit: EmitEvent;
}

/** Judges refused connections, for this node and for others. */
export class RefusalWitness {
  private constructor(private readonly options: RefusalWitnessOptions) {}

  static create(options: RefusalWitnessOptions): RefusalWitness {
    return new RefusalWitness(options);
  }

  /** Whether the process of an endpoint that refuses this node's connections has ended. */
  async hasEnded(endpoint: EndpointDescription): Promise<boolean> {
    const {askPeer, emit} = this.options;
    const reaching = this.reachesOthers(endpoint);
    const peer = await askPeer(endpoint.id);
    const reachesOthers = peer === 'unknown' ? await reaching : undefined;
    const hasEnded = peer === 'refused' || reachesOthers === true;
    emit(REFUSAL_JUDGED, {
      endpoint: endpoint.id,
      life: endpoint.incarnation,
      peer,
      reachesOthers,
      outcome: hasEnded ? 'ended' : 'link',
    });
    return hasEnded;
  }

  /** What this node sees of an endpoint; a refusal counts only if its own links work. */
  async testify(id: EndpointId): Promise<ProbeResult> {
    const endpoint = this.options.table.get(id);
    if (endpoint === undefined) return 'unknown';
    const result = await this.options.probe(endpoint.address);
    if (result !== 'refused') return result;
    return (await this.reachesOthers(endpoint)) ? 'refused' : 'unknown';
  }

  /** Whether any other endpoint listens; also if there is none, as nothing speaks against it. */
  private async reachesOthers({
    address,
  }: EndpointDescription): Promise<boolean> {
    const {table, probe, random} = this.options;
    const others = sampleEndpoints(
      table.running.filter(other => other.address !== address),
      OTHER_ENDPOINTS,
      random,
    );
    const results = await Promise.all(
      others.map(other => probe(other.address)),
    );
    return results.length === 0 || results.includes('listening');
  }
}
