/**
 * Takes each instance's own report of its role as the truth. Sufficient where the platform replaces
 * primaries by itself and offers no promotion call.
 */
import type { InstanceEntry } from './contract.js';
import type { PrimaryView } from './promotion/contract.js';

export class AnnouncedPrimaryView implements PrimaryView {
  /** The reported roles apply immediately, so no primary record that a peer sends is newer. */
  readonly recordsRevision = Number.MAX_SAFE_INTEGER;
  readonly watchesPrimaries = false;
  onChange: (service: string) => void = () => {};
  #instances: ReadonlyMap<string, InstanceEntry> = new Map();

  setInstances(instances: ReadonlyMap<string, InstanceEntry>): void {
    this.#instances = instances;
  }

  primaryOf(service: string): InstanceEntry | undefined {
    for (const entry of this.#instances.values()) {
      if (entry.service === service && entry.role === 'primary') return entry;
    }
    return undefined;
  }

  mayTrustPrimary(): boolean {
    return true;
  }

  async confirmPrimary(): Promise<boolean> {
    return false;
  }

  async judgeCommits(): Promise<undefined> {}

  async judgeWrite(): Promise<undefined> {}

  async acknowledgedPosition(): Promise<undefined> {}

  async confirmMembers(): Promise<number> {
    return Number.NEGATIVE_INFINITY;
  }

  unsettledCandidates(): readonly [] {
    return [];
  }

  isChanging(): boolean {
    return false;
  }

  reportPrimaryFailure(): void {}

  reportPrimarySuccess(): void {}

  recordCommit(): void {}

  recordPosition(): void {}

  recordRestart(_instance: InstanceEntry): void {}

  hasBeenPrimary(): boolean {
    return true;
  }

  liveNodeCount(): number {
    return 1;
  }

  ownerRoster(): undefined {}
}
