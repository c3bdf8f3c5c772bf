/**
 * The configuration that a node has in force. It only moves forward: whatever
 * arrives late, from a stale read or from a peer that is behind, is ignored.
 */

import type {ConfigurationNumber} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {Declarations} from '@siskinmux/declarations';
import {applyChanges, emptyDeclarations} from '@siskinmux/declarations';
import type {AcceptedPatch} from './stored_configuration.js';

/** Accepted patches kept in memory for peers that are behind. */
const RECENT_PATCHES = 512;

/** A numbered configuration. */
export interface NumberedConfiguration {
  readonly number: ConfigurationNumber;
  readonly declarations: Declarations;
}

/** What a node sends to a peer that is behind. */
export type ConfigurationUpdate =
  | {readonly kind: 'current'}
  | {readonly kind: 'patches'; readonly patches: readonly AcceptedPatch[]}
  | {
      readonly kind: 'whole';
      readonly number: ConfigurationNumber;
      readonly declarations: Declarations;
    };

/** Called after a newer configuration came into force. */
export type ConfigurationListener = (
  configuration: NumberedConfiguration,
) => void;

/** A node's configuration in force, with its recent past. */
export class ConfigurationState {
  private inForce: NumberedConfiguration = {
    number: as<ConfigurationNumber>(0),
    declarations: emptyDeclarations(),
  };
  private recent: AcceptedPatch[] = [];
  private readonly listeners = new Set<ConfigurationListener>();

  private constructor() {}

  static create(): ConfigurationState {
    return new ConfigurationState();
  }

  /** The configuration in force; number 0 until one is known. */
  get current(): NumberedConfiguration {
    return this.inForce;
  }

  /** Calls `listener` after each advance; returns the way to stop that. */
  onAdvance(listener: ConfigurationListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Takes a whole configuration if it is newer; true when it came into force. */
  applySnapshot(configuration: NumberedConfiguration): boolean {
    if (configuration.number <= this.inForce.number) return false;
    this.recent = [];
    this.advance(configuration);
    return true;
  }

  /**
   * Takes the patches that continue the number in force and ignores older ones;
   * true when the last one is in force now. False means that some are missing.
   */
  applyPatches(patches: readonly AcceptedPatch[]): boolean {
    let {number, declarations} = this.inForce;
    const taken: AcceptedPatch[] = [];
    for (const patch of patches) {
      if (patch.number <= number) continue;
      if (patch.number !== number + 1) break;
      declarations = applyChanges(declarations, patch.changes);
      number = as<ConfigurationNumber>(patch.number);
      taken.push(patch);
    }
    if (taken.length > 0) {
      this.recent = [...this.recent, ...taken].slice(-RECENT_PATCHES);
      this.advance({number, declarations});
    }
    const last = patches.at(-1);
    return last === undefined || last.number <= number;
  }

  /** What a peer at `number` lacks. */
  updateSince(number: ConfigurationNumber): ConfigurationUpdate {
    if (number >= this.inForce.number) return {kind: 'current'};
    const first = this.recent[0];
    if (first !== undefined && first.number <= number + 1) {
      return {
        kind: 'patches',
        patches: this.recent.filter(patch => patch.number > number),
      };
    }
    return {kind: 'whole', ...this.inForce};
  }

  private advance(configuration: NumberedConfiguration): void {
    this.inForce = configuration;
    for (const listener of this.listeners) listener(configuration);
  }
}
