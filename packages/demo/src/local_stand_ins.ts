/** Stand-ins of the platform and of all declared endpoints, on loopback. */

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

/** Speed and capacity of the stand-ins. */
export interface StandInProfile {
  readonly slots: number;
  readonly queueLimit: number;
  readonly firstTokenMilliseconds: number;
  readonly tokenMilliseconds: number;
  readonly remoteLoadMilliseconds: number;
  readonly reportLagMilliseconds: number;
  readonly hostListLagMilliseconds: number;
}

/** Delays similar to those of the smaller of the two example deployments. */
export const DEFAULT_STAND_IN_PROFILE: StandInProfile = {
  slots: 8,
  queueLimit: 32,
  firstTokenMilliseconds: 40,
  tokenMilliseconds: 5,
  remoteLoadMilliseconds: 1_200,
  reportLagMilliseconds: 250,
  hostListLagMilliseconds: 500,
};

interface StandInServer {
  close(): Promise<unknown>;
  readonly server: {address(): unknown};
}

const BYTES_PER_GIBIBYTE = 1024 ** 3;

/** Stand-ins of everything that nodes call; tests inject faults through the members. */
export class LocalStandIns {
  readonly engines = new Map<string, EngineStandIn>();
  readonly services = new Map<string, PlainServiceStandIn>();
  readonly serviceRecords = new Map<string, ServiceRecords>();
  private readonly servers: StandInServer[] = [];
  private platformAddress = '';
  private weightStoreAddress = '';

  private constructor(
    private readonly clock: Clock,
    private readonly profile: StandInProfile,
    readonly objectService: ObjectServiceStandIn,
    readonly hostList: HostListStandIn,
    readonly weightStore: WeightStoreStandIn,
  ) {}

  static create(options: {
    clock: Clock;
    random: Random;
    profile: StandInProfile;
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

  /** Starts the platform; port 0 selects a free port. */
  async startPlatform(ports: {
    platform: number;
    weightStore: number;
  }): Promise<void> {
    const {objectService, hostList, weightStore} = this;
    const platform = await serveObjectService({
      objects: objectService,
      hosts: hostList,
      port: ports.platform,
    });
    const store = await serveWeightStore({
      weightStore,
      port: ports.weightStore,
    });
    this.platformAddress = this.registerServer(platform);
    this.weightStoreAddress = this.registerServer(store);
  }

  /**
   * Starts a stand-in for each declared endpoint, on its declared port or a free one.
   * Returns the declarations with the addresses on which the stand-ins listen.
   */
  async startEndpoints(
    declarations: Declarations,
    usesDeclaredPorts: boolean,
  ): Promise<Declarations> {
    const endpoints: Record<string, EndpointDeclaration> = {};
    for (const [name, endpoint] of Object.entries(declarations.endpoints)) {
      const port = usesDeclaredPorts ? Number(new URL(endpoint.url).port) : 0;
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

  /** Stops all stand-ins. */
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
    return this.registerServer(await serveEngine({engine, port}));
  }

  private async startService(
    name: string,
    serviceName: string,
    port: number,
  ): Promise<string> {
    const records =
      this.serviceRecords.get(serviceName) ?? ServiceRecords.create();
    this.serviceRecords.set(serviceName, records);
    const service = PlainServiceStandIn.create({clock: this.clock, records});
    this.services.set(name, service);
    return this.registerServer(
      await servePlainService({service, records, port}),
    );
  }

  private registerServer(server: StandInServer): string {
    this.servers.push(server);
    const {port} = server.server.address() as {port: number};
    return `http://127.0.0.1:${port}`;
  }
}
