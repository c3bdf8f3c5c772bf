/**
 * Registry of nodes in the object service, with one object for each failure domain.
 * It lets new nodes discover the others, and lets groups of nodes that have lost
 * contact find each other again.
 */

import type {NodeId} from '@siskinmux/kernel';
import type {ExpectedVersion, ObjectService} from '@siskinmux/ports';
import {
  StoredObjectInvalidError,
  VersionConflictError,
  WriteOutcomeUnknownError,
} from '@siskinmux/ports';
import {z} from 'zod';
import type {MemberUpdate} from './member.js';
import {memberUpdateSchema} from './member.js';
import type {SelfDescription} from './membership.js';

const REGISTRY_PREFIX = 'nodes/';

/**
 * Attempts to write one update. An attempt fails when another node writes at the same
 * time or the response is lost; after the last one, the next registration tries again.
 */
const MAXIMUM_WRITE_ATTEMPTS = 8;

const registrySchema = z.strictObject({nodes: z.array(memberUpdateSchema)});

/** Reads the registry and maintains the entry of this node. */
export class NodeRegistry {
  private constructor(
    private readonly objects: ObjectService,
    private readonly self: SelfDescription,
  ) {}

  static create(options: {
    objects: ObjectService;
    self: SelfDescription;
  }): NodeRegistry {
    return new NodeRegistry(options.objects, options.self);
  }

  /** All registered nodes. Throws `PlatformUnavailableError`. */
  async readAll(): Promise<MemberUpdate[]> {
    const listed = await this.objects.list(REGISTRY_PREFIX);
    const updates: MemberUpdate[] = [];
    for (const {key} of listed) updates.push(...(await this.read(key)).nodes);
    return updates;
  }

  /** Adds this node if it is missing and removes terminated nodes of its failure domain. */
  async register(isTerminated: (id: NodeId) => boolean): Promise<void> {
    const ownEntry: MemberUpdate = {
      ...this.self,
      incarnation: 0,
      status: 'alive',
    };
    await this.update(nodes => {
      const remaining = nodes.filter(
        node => node.id !== ownEntry.id && !isTerminated(node.id),
      );
      const isListed = nodes.some(node => node.id === ownEntry.id);
      const isUnchanged = isListed && remaining.length === nodes.length - 1;
      return isUnchanged ? nodes : [...remaining, ownEntry];
    });
  }

  /** Removes this node. */
  async deregister(): Promise<void> {
    await this.update(nodes => {
      const remaining = nodes.filter(node => node.id !== this.self.id);
      return remaining.length === nodes.length ? nodes : remaining;
    });
  }

  private async update(
    change: (nodes: MemberUpdate[]) => MemberUpdate[],
  ): Promise<void> {
    const key = `${REGISTRY_PREFIX}${this.self.failureDomain}`;
    for (let attempt = 1; ; attempt += 1) {
      const {nodes, version} = await this.read(key);
      const updated = change(nodes);
      if (updated === nodes) return;
      try {
        await this.objects.write(
          key,
          JSON.stringify({nodes: updated}),
          version,
        );
        return;
      } catch (failure) {
        const isRetryable =
          failure instanceof VersionConflictError ||
          failure instanceof WriteOutcomeUnknownError;
        if (!isRetryable || attempt >= MAXIMUM_WRITE_ATTEMPTS) throw failure;
      }
    }
  }

  private async read(
    key: string,
  ): Promise<{nodes: MemberUpdate[]; version: ExpectedVersion}> {
    const stored = await this.objects.read(key);
    if (stored === undefined) return {nodes: [], version: 'absent'};
    const parsed = registrySchema.safeParse(JSON.parse(stored.value));
    if (!parsed.success) {
      throw new StoredObjectInvalidError(key, parsed.error.message);
    }
    const nodes = parsed.data.nodes as MemberUpdate[];
    return {nodes, version: stored.version};
  }
}
