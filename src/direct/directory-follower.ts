/**
 * Keeps the operator's configuration and the list of instances current from the store: each is read
 * once and then watched. Nothing that fails takes back what is known; the configuration only ever
 * takes a higher version. What a peer tells stands in until the store answers.
 */
import type { Result } from 'neverthrow';
import {
  type DirectoryChange,
  EntryDirectory,
  type EntryUpdate,
  type RemovedEntry,
  type StoredEntry,
} from '../core/directory/entry-directory.js';
import type { ConfigurationPart, InstancesPart } from '../core/directory/snapshot.js';
import type { MeadowstackError } from '../core/errors.js';
import type { BackoffPolicy } from '../core/retry/backoff.js';
import type { Milliseconds } from '../core/units.js';
import type { KeyValue, RangeResponse, Store, WatchEvent } from '../platform/contract.js';
import type { InstanceEntry, PublishedConfiguration } from './contract.js';
import { PrefixReader } from './prefix-reader.js';

/**
 * A store that came back from a copy may lack the newest configuration until the operator has written it again, as late as
 * the instances write their entries.
 */
const CONFIGURATION_REWRITE_MS: Milliseconds = 2500;

/** Ceilings of the pauses after failures: short enough that a bound of some seconds still holds. */
const BACKOFF: BackoffPolicy = { baseMs: 50, maximumMs: 1000 };

/** Where the two kinds of documents lie in the store. */
export interface DirectoryPrefixes {
  /** The one key of the operator's configuration. */
  readonly configurationKey: string;
  /** What the keys of all instances begin with; the id follows. */
  readonly instancePrefix: string;
}

/** Who has told what is known of the instances. */
export type DirectorySource = 'store' | 'peer';

/** Told of changes, in their order. */
export interface DirectoryHandlers {
  /** A configuration of a higher version than all before. */
  onConfiguration(configuration: PublishedConfiguration): void;
  /**
   * The instances after a change; `changed` are the ids that were added, are another or are gone.
   * The map is the follower's own and changes with it. Also called once after the first read.
   */
  onInstances(
    instances: ReadonlyMap<string, InstanceEntry>,
    changed: readonly string[],
    source: DirectorySource,
  ): void;
  /** A version above the one in force was not taken, since the store's revision of it is lower than one heard of. */
  onConfigurationSkipped(skipped: SkippedConfiguration): void;
  /** An entry is gone; called before `onInstances`. How long it is still used is for others to say. */
  onInstanceRemoved(removed: RemovedEntry<InstanceEntry>): void;
  /** A document could not be understood (what was known stays), or a call failed (it is repeated). */
  onProblem(error: MeadowstackError): void;
}

/** A configuration that was taken for an older one. */
export interface SkippedConfiguration {
  readonly version: number;
  readonly revision: number;
  readonly knownRevision: number;
}

export interface DirectoryFollowerOptions {
  readonly store: Store;
  parseConfiguration(text: string): Result<PublishedConfiguration, MeadowstackError>;
  parseInstance(key: string, text: string): Result<InstanceEntry, MeadowstackError>;
  readonly prefixes: DirectoryPrefixes;
  readonly handlers: DirectoryHandlers;
  /** Monotonic time. */
  clock(): Milliseconds;
  /** Runs something later; the returned function takes it back. */
  schedule(delayMs: Milliseconds, run: () => void): () => void;
  /** A number in [0, 1). */
  random(): number;
}

/** The instance that an entry names, and the revision at which it did. */
interface NamedInstance {
  readonly id: string;
  readonly revision: number;
}

/** Follows both prefixes from `start` until `stop`. */
export class DirectoryFollower {
  readonly #configurationReader: PrefixReader;
  readonly #instanceReader: PrefixReader;
  readonly #instances = new EntryDirectory<InstanceEntry>(isSameInstance);
  #configuration: PublishedConfiguration | undefined;
  /** Which instance an entry named last, by what follows the prefix in its key. */
  readonly #namedByKey = new Map<string, NamedInstance>();
  #configurationRevision = 0;
  #configurationText = '';
  /** The newest text that is known could not be understood: what is in force is older. */
  #isNewestTextInvalid = false;
  /** When the store surely had no newer configuration, as a peer showed last. */
  #provenByPeerAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** When this node heard that the store came back from a copy, and what was proven before that. */
  #restoredAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #provenBeforeRestore: Milliseconds = Number.NEGATIVE_INFINITY;
  #instancesRead = false;
  /** What a peer told, until the store answers. */
  #adoptedInstances: InstancesPart<InstanceEntry> | undefined;

  constructor(private readonly options: DirectoryFollowerOptions) {
    const { configurationKey, instancePrefix } = options.prefixes;
    const common = {
      store: options.store,
      backoff: BACKOFF,
      clock: () => options.clock(),
      schedule: (delayMs: Milliseconds, run: () => void) => options.schedule(delayMs, run),
      random: () => options.random(),
      onProblem: (error: MeadowstackError) => options.handlers.onProblem(error),
    };
    this.#configurationReader = new PrefixReader({
      ...common,
      prefix: configurationKey,
      onRange: ({ entries }) => this.#applyConfigurations(entries),
      onEvents: (events) => this.#applyConfigurations(events.flatMap(putEntries)),
    });
    this.#instanceReader = new PrefixReader({
      ...common,
      prefix: instancePrefix,
      onRange: (answer) => this.#applyInstances(answer),
      onEvents: (events) => this.#updateInstances(events),
    });
  }

  start(): void {
    this.#configurationReader.start();
    this.#instanceReader.start();
  }

  /** Ends all watches and pauses; no handler is called any more. */
  stop(): void {
    this.#configurationReader.stop();
    this.#instanceReader.stop();
  }

  /** The store answers again: what waits to be tried once more is tried now. */
  retryNow(): void {
    this.#configurationReader.retryNow();
    this.#instanceReader.retryNow();
  }

  configuration(): PublishedConfiguration | undefined {
    return this.#configuration;
  }

  /** The map is the follower's own and changes with it. */
  instances(): ReadonlyMap<string, InstanceEntry> {
    if (this.#adoptedInstances === undefined) return this.#instances.entries();
    return new Map(this.#adoptedInstances.instances.map((entry) => [entry.id, entry]));
  }

  /** The configuration in force as the store has it, for other nodes. */
  configurationPart(): ConfigurationPart | undefined {
    if (this.#configuration === undefined) return undefined;
    return { version: this.#configuration.version, text: this.#configurationText };
  }

  /** Revision up to which the instances are known; 0 if nothing is. */
  instancesRevision(): number {
    return Math.max(this.#instanceReader.highestRevision, this.#adoptedInstances?.revision ?? 0);
  }

  /** Takes a configuration that a peer has, as one of the store's: only a higher version counts. */
  adoptConfiguration({ text }: ConfigurationPart): void {
    this.#parseConfiguration(text);
  }

  /** Takes the instances as a peer knows them, if that is newer than what is known here. */
  adoptInstances(part: InstancesPart<InstanceEntry>): void {
    if (part.revision <= this.instancesRevision()) return;
    this.#adoptedInstances = part;
    const instances = this.instances();
    this.options.handlers.onInstances(instances, [...instances.keys()], 'peer');
  }

  /**
   * Time at which the last answered call was sent: what is known here was current then. The earlier
   * one of the two prefixes; undefined until both were read.
   */
  lastConfirmedAt(): Milliseconds | undefined {
    const configuration = this.#configurationReader.lastConfirmedAt();
    const instances = this.#instanceReader.lastConfirmedAt();
    if (configuration === undefined || instances === undefined) return undefined;
    return Math.min(configuration, instances);
  }

  /**
   * When the store surely had no newer configuration than the one in force here, never later than the truth; undefined
   * if that can't be shown.
   */
  configurationProvenAt(): Milliseconds | undefined {
    if (this.#isNewestTextInvalid || this.#configuration === undefined) return undefined;
    const provenAt = Math.max(this.#provenByStoreAt(), this.#provenByPeerAt);
    return provenAt === Number.NEGATIVE_INFINITY ? undefined : provenAt;
  }

  /** The store came back from a copy: what it tells at first proves nothing of the newest configuration. */
  handleStoreRestore(): void {
    this.#provenBeforeRestore = this.#provenByStoreAt();
    this.#restoredAt = this.options.clock();
  }

  #provenByStoreAt(): Milliseconds {
    const provenAt = this.#configurationReader.lastProvenAt() ?? Number.NEGATIVE_INFINITY;
    const isTooSoonAfterRestore = provenAt < this.#restoredAt + CONFIGURATION_REWRITE_MS;
    return isTooSoonAfterRestore ? this.#provenBeforeRestore : provenAt;
  }

  /** Takes a peer's word that the store had nothing newer than what is in force here at that time. */
  adoptConfigurationProof(provenAt: Milliseconds): void {
    this.#provenByPeerAt = Math.max(this.#provenByPeerAt, provenAt);
  }

  /** As `lastConfirmedAt`, of the configuration alone. */
  configurationConfirmedAt(): Milliseconds | undefined {
    return this.#configurationReader.lastConfirmedAt();
  }

  /** As `lastConfirmedAt`, of the instances alone. */
  instancesConfirmedAt(): Milliseconds | undefined {
    return this.#instanceReader.lastConfirmedAt();
  }

  /** Only the newest text is parsed: what lies before it is not in force any more. */
  #applyConfigurations(entries: readonly KeyValue[]): void {
    const { configurationKey } = this.options.prefixes;
    const newest = entries.filter(({ key }) => key === configurationKey).at(-1);
    if (newest === undefined) return;
    if (newest.modRevision <= this.#configurationRevision) {
      this.#reportSkipped(newest);
      return;
    }
    this.#configurationRevision = newest.modRevision;
    this.#parseConfiguration(newest.value);
  }

  /** What was told before comes again with the same revision; a lower one says that the store went back. */
  #reportSkipped({ value, modRevision: revision }: KeyValue): void {
    const knownRevision = this.#configurationRevision;
    if (revision === knownRevision) return;
    const version = this.options.parseConfiguration(value).unwrapOr(undefined)?.version ?? -1;
    if (version <= (this.#configuration?.version ?? -1)) return;
    this.options.handlers.onConfigurationSkipped({ version, revision, knownRevision });
  }

  #parseConfiguration(text: string): void {
    this.options.parseConfiguration(text).match(
      (configuration) => {
        this.#isNewestTextInvalid = false;
        this.#applyConfiguration(configuration, text);
      },
      (error) => {
        this.#isNewestTextInvalid = true;
        this.options.handlers.onProblem(error);
      },
    );
  }

  #applyConfiguration(configuration: PublishedConfiguration, text: string): void {
    if (configuration.version <= (this.#configuration?.version ?? -1)) return;
    this.#configuration = configuration;
    this.#configurationText = text;
    this.options.handlers.onConfiguration(configuration);
  }

  #applyInstances({ entries, revision }: RangeResponse): void {
    const stored = entries.map((item) => this.#parseInstance(item));
    const change = this.#instances.replace(
      stored.filter((one) => one !== undefined),
      revision,
    );
    const mustNotify = !this.#instancesRead || this.#adoptedInstances !== undefined;
    this.#instancesRead = true;
    this.#adoptedInstances = undefined;
    this.#notify(change, mustNotify);
  }

  #updateInstances(events: readonly WatchEvent[]): void {
    const mustNotify = this.#adoptedInstances !== undefined;
    this.#adoptedInstances = undefined;
    if (events.length === 0 && !mustNotify) return;
    const updates = events.flatMap((event) =>
      event.type === 'put' ? this.#updatesOf(event.entry) : this.#removal(event),
    );
    this.#notify(this.#instances.update(updates), mustNotify);
  }

  /** An entry that names another life than before, or none that can be understood, ends the one it named. */
  #updatesOf(item: KeyValue): readonly EntryUpdate<InstanceEntry>[] {
    const before = this.#namedByKey.get(this.#keySuffixOf(item.key));
    const revision = item.modRevision;
    if (before !== undefined && revision <= before.revision) return [];
    const stored = this.#parseInstance(item);
    const isReplaced = before !== undefined && before.id !== stored?.id;
    const removals = isReplaced ? [{ type: 'delete' as const, id: before.id, revision }] : [];
    return stored === undefined ? removals : [...removals, { type: 'put', stored }];
  }

  #removal({ key, modRevision }: { key: string; modRevision: number }): EntryUpdate<InstanceEntry> {
    const suffix = this.#keySuffixOf(key);
    return {
      type: 'delete',
      id: this.#namedByKey.get(suffix)?.id ?? suffix,
      revision: modRevision,
    };
  }

  #keySuffixOf(key: string): string {
    return key.slice(this.options.prefixes.instancePrefix.length);
  }

  /** Undefined if it can't be understood: it names no instance to use. */
  #parseInstance({ key, value, modRevision }: KeyValue): StoredEntry<InstanceEntry> | undefined {
    const parsed = this.options.parseInstance(key, value);
    if (parsed.isErr()) {
      this.options.handlers.onProblem(parsed.error);
      return undefined;
    }
    const { id } = parsed.value;
    this.#namedByKey.set(this.#keySuffixOf(key), { id, revision: modRevision });
    return { id, entry: parsed.value, revision: modRevision };
  }

  #notify(change: DirectoryChange<InstanceEntry>, mustNotify: boolean): void {
    const { handlers } = this.options;
    for (const removed of change.removed) handlers.onInstanceRemoved(removed);
    const changed = [...change.put, ...change.removed.map(({ id }) => id)];
    if (!mustNotify && changed.length === 0) return;
    handlers.onInstances(this.#instances.entries(), changed, 'store');
  }
}

function putEntries(event: WatchEvent): readonly KeyValue[] {
  return event.type === 'put' ? [event.entry] : [];
}

function isSameInstance(left: InstanceEntry, right: InstanceEntry): boolean {
  return (
    left.service === right.service &&
    left.host === right.host &&
    left.port === right.port &&
    left.zone === right.zone &&
    left.slots === right.slots &&
    left.draining === right.draining &&
    left.role === right.role
  );
}
