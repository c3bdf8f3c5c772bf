/** A complete deployment in one process: stand-ins and nodes on loopback. */

import type {Clock, Random, RawSettings} from '@siskinmux/kernel';
import type {Declarations} from '@siskinmux/declarations';
import type {WriteLine} from '@siskinmux/node';
import {SiskinmuxNode} from '@siskinmux/node';
import type {SpanProcessor} from '@opentelemetry/sdk-trace-base';
import type {StandInProfile} from './local_stand_ins.js';
import {DEFAULT_STAND_IN_PROFILE, LocalStandIns} from './local_stand_ins.js';

/** Options of {@link LocalCluster}. */
export interface LocalClusterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly declarations: Declarations;
  /** Failure domain of each node to start. */
  readonly nodes: readonly string[];
  readonly profile?: StandInProfile;
  readonly writeLog?: WriteLine;
  readonly spanProcessors?: readonly SpanProcessor[];
}

/** Nodes with stand-ins of the platform and of all endpoints. */
export class LocalCluster {
  readonly nodes: SiskinmuxNode[] = [];

  private constructor(
    private readonly options: LocalClusterOptions,
    readonly standIns: LocalStandIns,
    /** The given declarations with the addresses of the stand-ins. */
    readonly declarations: Declarations,
  ) {}

  /** Starts the stand-ins, then the nodes. */
  static async start(options: LocalClusterOptions): Promise<LocalCluster> {
    const standIns = LocalStandIns.create({
      ...options,
      profile: options.profile ?? DEFAULT_STAND_IN_PROFILE,
    });
    await standIns.startPlatform({platform: 0, weightStore: 0});
    const declarations = await standIns.startEndpoints(
      options.declarations,
      false,
    );
    const cluster = new LocalCluster(options, standIns, declarations);
    for (const domain of options.nodes) await cluster.addNode(domain);
    return cluster;
  }

  /** Starts one more node. */
  async addNode(failureDomain: string): Promise<SiskinmuxNode> {
    const {clock, random, writeLog, spanProcessors} = this.options;
    const node = SiskinmuxNode.create({
      settings: this.createSettings(failureDomain),
      clock,
      random,
      writeLog: writeLog ?? (() => {}),
      spanProcessors,
    });
    this.nodes.push(node);
    await node.start();
    return node;
  }

  /** Returns a node by its index in the order of starts. */
  node(index: number): SiskinmuxNode {
    const node = this.nodes[index];
    if (node === undefined) throw new RangeError(`no node ${index}`);
    return node;
  }

  /** Stops the nodes without a graceful shutdown, then the stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(this.nodes.map(node => node.abandon()));
    await this.standIns.stop();
  }

  private createSettings(failureDomain: string): RawSettings {
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
