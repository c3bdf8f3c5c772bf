/**
 * The list of nodes in the object service, one object for each failure domain. It
 * lets a new node find the others and joins parts of the fleet that lost each other.
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

/** Races lost in a row before an update of the registry is put off. */
const WRITE_ATTEMPTS = 8;

const registrySchema = z.strictObject({nodes: z.array(memberUpdateSchema)});

/** Reads and writes the registry. */
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

  /** Enters this node, unless it is there, and removes `ended` ones of its domain. */
  async register(ended: (id: NodeId) => boolean): Promise<void> {
    const mine: MemberUpdate = {...this.self, incarnation: 0, status: 'alive'};
    await this.update(nodes => {
      const kept = nodes.filter(node => node.id !== mine.id && !ended(node.id));
      const isListed = nodes.some(node => node.id === mine.id);
      const isUnchanged = isListed && kept.length === nodes.length - 1;
      return isUnchanged ? nodes : [...kept, mine];
    });
  }

  /** Removes this node. */
  async deregister(): Promise<void> {
    await this.update(nodes => {
      const kept = nodes.filter(node => node.id !== this.self.id);
      return kept.length === nodes.length ? nodes : kept;
    });
  }

  private async update(
    change: (nodes: MemberUpdate[]) => MemberUpdate[],
  ): Promise<void> {
    const key = `${REGISTRY_PREFIX}${this.self.failureDomain}`;
    for (let attempt = 1; ; attempt += 1) {
      const {nodes, version} = await this.read(key);
      const changed = change(nodes);
      if (changed === nodes) return;
      try {
        await this.objects.write(
          key,
          JSON.stringify({nodes: changed}),
          version,
        );
        return;
      } catch (failure) {
        const isRace =
          failure instanceof VersionConflictError ||
          failure instanceof WriteOutcomeUnknownError;
        if (!isRace || attempt >= WRITE_ATTEMPTS) throw failure;
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
