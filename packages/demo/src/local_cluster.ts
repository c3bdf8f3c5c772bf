/** A whole deployment in one process: stand-ins and nodes on loopback. */

import type {Clock, Random, RawSettings} from '@siskinmux/kernel';
import type {Declarations} from '@siskinmux/declarations';
import type {WriteLine} from '@siskinmux/node';
import {SiskinmuxNode} from '@siskinmux/node';
import type {SpanProcessor} from '@opentelemetry/sdk-trace-base';
import type {EndpointProfile} from './local_endpoints.js';
import {DEFAULT_PROFILE, LocalStandIns} from './local_endpoints.js';

/** What a cluster is made from. */
export interface LocalClusterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly declarations: Declarations;
  /** Failure domain of each node. */
  readonly nodes: readonly string[];
  readonly profile?: EndpointProfile;
  readonly writeLog?: WriteLine;
  readonly spanProcessors?: readonly SpanProcessor[];
}

/** Nodes and their outside. */
export class LocalCluster {
  readonly nodes: SiskinmuxNode[] = [];

  private constructor(
    private readonly options: LocalClusterOptions,
    readonly standIns: LocalStandIns,
    /** The declarations, with the addresses of the stand-ins. */
    readonly declarations: Declarations,
  ) {}

  /** Starts the stand-ins, then the nodes. */
  static async start(options: LocalClusterOptions): Promise<LocalCluster> {
    const outside = LocalStandIns.create({
      ...options,
      profile: options.profile ?? DEFAULT_PROFILE,
    });
    await outside.startPlatform({platform: 0, weightStore: 0});
    const declarations = await outside.startEndpoints(
      options.declarations,
      false,
    );
    const cluster = new LocalCluster(options, outside, declarations);
    for (const domain of options.nodes) await cluster.addNode(domain);
    return cluster;
  }

  /** Starts one more node. */
  async addNode(failureDomain: string): Promise<SiskinmuxNode> {
    const {clock, random, writeLog, spanProcessors} = this.options;
    const node = SiskinmuxNode.create({
      settings: this.settingsFor(failureDomain),
      clock,
      random,
      writeLog: writeLog ?? (() => {}),
      spanProcessors,
    });
    this.nodes.push(node);
    await node.start();
    return node;
  }

  /** A node by its place in the order of starts. */
  node(index: number): SiskinmuxNode {
    const node = this.nodes[index];
    if (node === undefined) throw new RangeError(`no node ${index}`);
    return node;
  }

  /** Ends everything at once. */
  async stop(): Promise<void> {
    await Promise.all(this.nodes.map(node => node.abandon()));
    await this.standIns.stop();
  }

  private settingsFor(failureDomain: string): RawSettings {
    const loopback = {address: '127.0.0.1', port: 0};
    return {
      node: {
        host: `entry-${this.nodes.length + 1}`,
        failure_domain: failureDomain,
      },
      caller: loopback,
      operator: loopback,
      peer: loopback,
      metrics: loopback,
      platform: {
        object_service: this.standIns.platformUrl,
        host_list: this.standIns.platformUrl,
        weight_store: this.standIns.weightStoreUrl,
      },
      shutdown: {notice_milliseconds: 500, finish_milliseconds: 30_000},
      log: {level: this.options.writeLog === undefined ? 'off' : 'info'},
    };
  }
}
