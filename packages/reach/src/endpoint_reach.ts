/**
 * What a node knows about its own links to the endpoints of each service. One endpoint that
 * fails says little; if no endpoint of a service can be reached any more, the node's links are
 * the likely cause, and other nodes may still serve its requests.
 */

import type {EndpointDescription, EndpointTable} from '@siskinmux/endpoints';
import type {ResponseProbeResult} from '@siskinmux/forwarding';
import type {
  Clock,
  EmitEvent,
  Instant,
  Milliseconds,
  Random,
  ServiceName,
} from '@siskinmux/kernel';
import {after, later, until} from '@siskinmux/kernel';
import {LINKS_LOST, LINKS_REGAINED, SERVICE_SILENT} from './reach_events.js';
import {sampleEndpoints} from './sample_endpoints.js';

/** Endpoints that are probed in one round. */
const PROBED_ENDPOINTS = 3;

/** Rounds with the same result that change the belief; a lost packet fails one probe. */
const DECISIVE_ROUNDS = 2;

/** A send without a response for this long is suspicious if its service sent nothing else either. */
const SILENCE_MILLISECONDS: Milliseconds = 400;

/** Pause between checks for silence: a slow service is silent for long, and each check costs probes. */
const SILENCE_PAUSE_MILLISECONDS: Milliseconds = 1_000;

/** Pause after a check that found the links of a service sound. */
const CHECK_PAUSE_MILLISECONDS: Milliseconds = 250;

/** Interval of the probes while the links are lost. */
const RECHECK_MILLISECONDS: Milliseconds = 500;

/** Interval at which outstanding sends are examined; see {@link EndpointReach.examineSends}. */
export const EXAMINATION_INTERVAL_MILLISECONDS: Milliseconds = 100;

/** Dependencies of {@link EndpointReach}. */
export interface EndpointReachOptions {
  readonly table: EndpointTable;
  readonly clock: Clock;
  readonly random: Random;
  readonly emit: EmitEvent;
  /** Sends a request to an endpoint that any endpoint responds to. */
  readonly probe: (
    endpoint: EndpointDescription,
  ) => Promise<ResponseProbeResult>;
  /** Whether another node's endpoints of the service respond; false if none can tell. */
  readonly askPeer: (service: ServiceName) => Promise<boolean>;
  /** Called when the links to a service are lost or regained. */
  readonly onChange: () => void;
}

/** Follows one send to an endpoint. */
export interface TrackedSend {
  /** Bytes have arrived from the endpoint. */
  recordContact(): void;
  /** No connection could be opened; resolves when it is known whether the links are lost. */
  recordNoConnection(): Promise<void>;
  /** The send has ended in any way. */
  end(): void;
}

interface OutstandingSend {
  readonly sentAt: Instant;
  readonly onSilence: () => void;
  contactAt: Instant | undefined;
}

/**
 * `silent`: some endpoints accept connections and none responds, because of the links or because
 * they are overloaded.
 */
type RoundResult = 'sound' | 'lost' | 'silent';

interface ServiceLinks {
  isCut: boolean;
  contactAt: Instant | undefined;
  /** No check begins before then. */
  checkedUntil: Instant | undefined;
  /** No check for silence begins before then. */
  silenceCheckedUntil: Instant | undefined;
  check: Promise<void> | undefined;
  readonly sends: Set<OutstandingSend>;
}

/** One node's belief about its links, by service. */
export class EndpointReach {
  private readonly links = new Map<ServiceName, ServiceLinks>();

  private constructor(private readonly options: EndpointReachOptions) {}

  static create(options: EndpointReachOptions): EndpointReach {
    return new EndpointReach(options);
  }

  /** Whether this node gets no response from any endpoint of the service, as others do. */
  isCutFrom(service: ServiceName): boolean {
    return this.links.get(service)?.isCut ?? false;
  }

  /** The services that this node is cut from. */
  get cutServices(): ServiceName[] {
    return [...this.links].flatMap(([service, {isCut}]) =>
      isCut ? [service] : [],
    );
  }

  /**
   * Tracks a send. `onSilence` is called if the links turn out to be lost while the send has
   * had no response for a while.
   */
  track({service}: EndpointDescription, onSilence: () => void): TrackedSend {
    const {clock} = this.options;
    const links = this.linksOf(service);
    const send: OutstandingSend = {
      sentAt: clock.now(),
      onSilence,
      contactAt: undefined,
    };
    links.sends.add(send);
    return {
      recordContact: () => {
        send.contactAt = clock.now();
        links.contactAt = send.contactAt;
      },
      recordNoConnection: () => this.check(service),
      end: () => links.sends.delete(send),
    };
  }

  /**
   * Whether endpoints of the service respond to this node; asked by a node to which none does.
   * What they sent before the question says nothing: they may have paused since.
   */
  async testify(service: ServiceName): Promise<boolean> {
    const links = this.linksOf(service);
    if (links.isCut || this.endpointsOf(service).length === 0) return false;
    const askedAt = this.options.clock.now();
    if ((await this.probe(service)) === 'sound') return true;
    return links.contactAt !== undefined && links.contactAt >= askedAt;
  }

  /** Checks the services whose oldest send is suspiciously silent; to be called periodically. */
  examineSends(): void {
    const now = this.options.clock.now();
    for (const [service, links] of this.links) {
      if (links.isCut || (links.silenceCheckedUntil ?? now) > now) continue;
      const isSilent = [...links.sends].some(send =>
        this.isSilent(send, links, now),
      );
      if (isSilent) void this.check(service);
    }
  }

  /** Whether neither the endpoint of a send nor another one of its service has sent anything. */
  private isSilent(
    {sentAt, contactAt}: OutstandingSend,
    links: ServiceLinks,
    now: Instant,
  ): boolean {
    const waitingSince = later(
      contactAt ?? sentAt,
      later(links.contactAt ?? sentAt, sentAt),
    );
    return until(waitingSince, now) >= SILENCE_MILLISECONDS;
  }

  private linksOf(service: ServiceName): ServiceLinks {
    const known = this.links.get(service);
    if (known !== undefined) return known;
    const links: ServiceLinks = {
      isCut: false,
      contactAt: undefined,
      checkedUntil: undefined,
      silenceCheckedUntil: undefined,
      check: undefined,
      sends: new Set(),
    };
    this.links.set(service, links);
    return links;
  }

  /** Checks the links of a service, unless that is going on. */
  private check(service: ServiceName): Promise<void> {
    const links = this.linksOf(service);
    const isChecked =
      links.checkedUntil !== undefined &&
      links.checkedUntil > this.options.clock.now();
    if (links.isCut || isChecked) return Promise.resolve();
    links.check ??= this.probeUntilDecided(service, links).finally(() => {
      links.check = undefined;
    });
    return links.check;
  }

  private async probeUntilDecided(
    service: ServiceName,
    links: ServiceLinks,
  ): Promise<void> {
    let last: RoundResult = 'sound';
    for (let round = 0; round < DECISIVE_ROUNDS; round += 1) {
      last = await this.probe(service);
      if (last === 'sound') break;
    }
    if (
      last === 'lost' ||
      (last === 'silent' && (await this.isOnlyHere(service)))
    )
      this.recordLoss(service, links);
    else this.pauseChecks(links);
  }

  private pauseChecks(links: ServiceLinks): void {
    const now = this.options.clock.now();
    links.checkedUntil = after(now, CHECK_PAUSE_MILLISECONDS);
    links.silenceCheckedUntil = after(now, SILENCE_PAUSE_MILLISECONDS);
  }

  /**
   * Whether a service that is silent here responds to another node, and still not here: it may
   * have gone on meanwhile.
   */
  private async isOnlyHere(service: ServiceName): Promise<boolean> {
    const {askPeer, emit} = this.options;
    const respondsToPeer = await askPeer(service);
    emit(SERVICE_SILENT, {service, respondsToPeer});
    return respondsToPeer && (await this.probe(service)) !== 'sound';
  }

  private recordLoss(service: ServiceName, links: ServiceLinks): void {
    const {clock, emit, onChange, table} = this.options;
    const now = clock.now();
    links.isCut = true;
    emit(LINKS_LOST, {
      service,
      sends: links.sends.size,
      silentFor: links.contactAt && Math.round(until(links.contactAt, now)),
    });
    onChange();
    this.scheduleRecheck(service, links, 0);
    for (const send of [...links.sends])
      if (this.isSilent(send, links, now)) send.onSilence();
    // What cuts one service off often cuts off the others, too.
    const services = new Set(table.running.map(endpoint => endpoint.service));
    for (const other of services) {
      if (other !== service) void this.check(other);
    }
  }

  private scheduleRecheck(
    service: ServiceName,
    links: ServiceLinks,
    soundRounds: number,
  ): void {
    const {clock} = this.options;
    clock.schedule(after(clock.now(), RECHECK_MILLISECONDS), () => {
      void this.recheck(service, links, soundRounds);
    });
  }

  private async recheck(
    service: ServiceName,
    links: ServiceLinks,
    soundRounds: number,
  ): Promise<void> {
    const isSound = (await this.probe(service)) === 'sound';
    const rounds = isSound ? soundRounds + 1 : 0;
    if (rounds < DECISIVE_ROUNDS) {
      this.scheduleRecheck(service, links, rounds);
      return;
    }
    links.isCut = false;
    this.options.emit(LINKS_REGAINED, {service});
    this.options.onChange();
  }

  private endpointsOf(service: ServiceName): EndpointDescription[] {
    return this.options.table.running.filter(
      endpoint => endpoint.service === service && !endpoint.isDraining,
    );
  }

  /** Probes some endpoints of a service; without any, its links count as sound. */
  private async probe(service: ServiceName): Promise<RoundResult> {
    const {probe, random} = this.options;
    const running = this.endpointsOf(service);
    const sample = sampleEndpoints(running, PROBED_ENDPOINTS, random);
    const results = await Promise.all(sample.map(endpoint => probe(endpoint)));
    if (sample.length === 0 || results.includes('responding')) return 'sound';
    return results.includes('silent') ? 'silent' : 'lost';
  }
}
