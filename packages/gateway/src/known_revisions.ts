/** The revision of each object of a kind that a node has read. */

import type {ObjectVersion} from '@siskinmux/kernel';
import type {MetadataChange, MetadataListing} from '@siskinmux/ports';

/** Tells changes that are news from those that an earlier or parallel read has brought. */
export class KnownRevisions {
  private byName = new Map<string, ObjectVersion>();

  private constructor() {}

  static create(): KnownRevisions {
    return new KnownRevisions();
  }

  /** Records a change; returns whether it is not older than what is known. */
  record({object, isRemoved}: MetadataChange): boolean {
    const known = this.byName.get(object.name);
    if (known !== undefined && object.revision < known) return false;
    if (isRemoved) {
      this.byName.delete(object.name);
      return true;
    }
    this.byName.set(object.name, object.revision);
    return object.revision !== known;
  }

  /** Records a complete list; returns its differences to what was known. */
  replaceAll({objects, revision}: MetadataListing): MetadataChange[] {
    const listed = new Set(objects.map(({name}) => name));
    const removed = [...this.byName.keys()]
      .filter(name => !listed.has(name))
      .map(name => ({
        object: {name, revision, content: null},
        isRemoved: true,
      }));
    const changed = objects
      .filter(object => this.byName.get(object.name) !== object.revision)
      .map(object => ({object, isRemoved: false}));
    this.byName = new Map(
      objects.map(object => [object.name, object.revision]),
    );
    return [...removed, ...changed];
  }
}
