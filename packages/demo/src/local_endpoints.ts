/** Stand-ins for everything that a folder of declarations names, on loopback. */

import type {Clock, FailureDomain, HostId, Random} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {Declarations, EndpointDeclaration} from '@siskinmux/declarations';
import {
  EngineStandIn,
  HostListStandIn,
  ObjectServiceStandIn,
  PlainServiceStandIn,
  ServiceRecords,
  WeightStoreStandIn,
  serveEngine,
  serveObjectService,
  servePlainService,
  serveWeightStore,
} from '@siskinmux/standins';

/** How fast and how large the stand-ins are. */
export interface EndpointProfile {
  readonly slots: number;
  readonly queueLimit: number;
  readonly firstTokenMilliseconds: number;
  readonly tokenMilliseconds: number;
  readonly remoteLoadMilliseconds: number;
  readonly reportLagMilliseconds: number;
  readonly hostListLagMilliseconds: number;
}

/** Times like those of the smaller deployment. */
export const DEFAULT_PROFILE: EndpointProfile = {
  slots: 8,
  queueLimit: 32,
  firstTokenMilliseconds: 40,
  tokenMilliseconds: 5,
  remoteLoadMilliseconds: 1_200,
  reportLagMilliseconds: 250,
  hostListLagMilliseconds: 500,
};

interface Closable {
  close(): Promise<unknown>;
  readonly server: {address(): unknown};
}

const BYTES_PER_GIBIBYTE = 1024 ** 3;

/** The outside of the system, with handles on its faults. */
export class LocalStandIns {
  readonly engines = new Map<string, EngineStandIn>();
  readonly services = new Map<string, PlainServiceStandIn>();
  readonly serviceRecords = new Map<string, ServiceRecords>();
  private readonly servers: Closable[] = [];
  private platformAddress = '';
  private weightStoreAddress = '';

  private constructor(
    private readonly clock: Clock,
    private readonly profile: EndpointProfile,
    readonly objectService: ObjectServiceStandIn,
    readonly hostList: HostListStandIn,
    readonly weightStore: WeightStoreStandIn,
  ) {}

  static create(options: {
    clock: Clock;
    random: Random;
    profile: EndpointProfile;
  }): LocalStandIns {
    const {clock, random, profile} = options;
    return new LocalStandIns(
      clock,
      profile,
      ObjectServiceStandIn.create({clock, random}),
      HostListStandIn.create({
        clock,
        lagMilliseconds: profile.hostListLagMilliseconds,
      }),
      WeightStoreStandIn.create({clock}),
    );
  }

  /** Address of the object service and the host list. */
  get platformUrl(): string {
    return this.platformAddress;
  }

  /** Address of the weight store. */
  get weightStoreUrl(): string {
    return this.weightStoreAddress;
  }

  /** Starts the platform; port 0 takes any. */
  async startPlatform(ports: {
    platform: number;
    weightStore: number;
  }): Promise<void> {
    const {objectService: objects, hostList: hosts, weightStore} = this;
    const platform = await serveObjectService({
      objects,
      hosts,
      port: ports.platform,
    });
    const store = await serveWeightStore({
      weightStore,
      port: ports.weightStore,
    });
    this.platformAddress = this.keep(platform);
    this.weightStoreAddress = this.keep(store);
  }

  /**
   * Starts a stand-in for each declared endpoint and returns the declarations with
   * the addresses that they listen on.
   */
  async startEndpoints(
    declarations: Declarations,
    isPortKept: boolean,
  ): Promise<Declarations> {
    const endpoints: Record<string, EndpointDeclaration> = {};
    for (const [name, endpoint] of Object.entries(declarations.endpoints)) {
      const port = isPortKept ? Number(new URL(endpoint.url).port) : 0;
      const url = await this.startEndpoint(name, endpoint, port);
      endpoints[name] = {...endpoint, url};
      this.hostList.set({
        id: as<HostId>(endpoint.host),
        state: 'live',
        failureDomain: as<FailureDomain>(endpoint.failure_domain),
      });
    }
    return {...declarations, endpoints};
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    await Promise.all(this.servers.map(server => server.close()));
  }

  private async startEndpoint(
    name: string,
    endpoint: EndpointDeclaration,
    port: number,
  ): Promise<string> {
    if (endpoint.kind === 'service') {
      return this.startService(name, endpoint.service, port);
    }
    const {clock, weightStore, profile} = this;
    const engine = EngineStandIn.create({
      ...profile,
      clock,
      weightStore,
      memoryBytes: endpoint.memory_gib * BYTES_PER_GIBIBYTE,
      checksFencing: endpoint.checks_fencing,
    });
    this.engines.set(name, engine);
    return this.keep(await serveEngine({engine, port}));
  }

  private async startService(
    name: string,
    serviceName: string,
    port: number,
  ): Promise<string> {
    const records = this.serviceRecords.get(serviceName) ?? ServiceRecords.create();
    this.serviceRecords.set(serviceName, records);
    const service = PlainServiceStandIn.create({clock: this.clock, records});
    this.services.set(name, service);
    return this.keep(await servePlainService({service, records, port}));
  }

  private keep(server: Closable): string {
    this.servers.push(server);
    const {port} = server.server.address() as {port: number};
    return `http://127.0.0.1:${port}`;
  }
}
