/**
 * Keeps the operator's configuration and the list of instances up to date with the store: each is read
 * once and then watched. A failed call or an invalid document never discards what is known, and a
 * configuration is replaced only by one of a higher version. Until the store responds, a peer's copy is used.
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
 * A store that was restored from a backup may lack the newest configuration until the operator has written it again,
 * which may take as long as the instances need to write their registrations again.
 */
const REWRITE_MS: Milliseconds = 2500;

/** The maximum delay is short enough that a bound of a few seconds on the data's age still holds. */
const BACKOFF: BackoffPolicy = { baseMs: 50, maximumMs: 1000 };

/** Keys of the two kinds of documents in the store. */
export interface DirectoryPrefixes {
  /** The one key of the operator's configuration. */
  readonly configurationKey: string;
  /** Prefix of the instances' keys. */
  readonly instancePrefix: string;
}

/** Origin of the current list of instances. */
export type DirectorySource = 'store' | 'peer';

/** Receives changes in the order in which they happened. */
export interface DirectoryHandlers {
  /** A configuration of a higher version than all earlier ones. */
  onConfiguration(configuration: PublishedConfiguration): void;
  /**
   * The instances after a change; `changed` has the ids of instances that were added, changed or removed.
   * The map is the follower's live one. Also called once after the first read.
   */
  onInstances(
    instances: ReadonlyMap<string, InstanceEntry>,
    changed: readonly string[],
    source: DirectorySource,
  ): void;
  /** A higher version was skipped, since its store revision is lower than the highest one seen. */
  onConfigurationSkipped(skipped: SkippedConfiguration): void;
  /** A registration was removed; called before `onInstances`. The handler decides how long it is still used. */
  onInstanceRemoved(removed: RemovedEntry<InstanceEntry>): void;
  /** A document could not be parsed (the earlier state stays), or a call failed (it is retried). */
  onProblem(error: MeadowstackError): void;
}

/** A configuration that was skipped because its store revision is lower than `knownRevision`. */
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
  /** Runs `run` after a delay; the returned function cancels it. */
  schedule(delayMs: Milliseconds, run: () => void): () => void;
  /** A number in [0, 1). */
  random(): number;
}

/** The instance id in a registration, and the revision of that registration. */
interface NamedInstance {
  readonly id: string;
  readonly revision: number;
}

/** Watches both prefixes from `start` until `stop`. */
export class DirectoryFollower {
  readonly #configurationReader: PrefixReader;
  readonly #instanceReader: PrefixReader;
  readonly #instances = new EntryDirectory<InstanceEntry>(isSameInstance);
  #configuration: PublishedConfiguration | undefined;
  /** The instance that each registration named last, by the part of its key after the prefix. */
  readonly #namedByKey = new Map<string, NamedInstance>();
  #configurationRevision = 0;
  #configurationText = '';
  /** The newest known text could not be parsed, so the current configuration is older than it. */
  #isNewestTextInvalid = false;
  /** Last time at which the store had no newer configuration, as proven by a peer. */
  #provenByPeerAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** When this node learnt that the store was restored from a backup, and what had been proven before that. */
  #restoredAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #provenBeforeRestore: Milliseconds = Number.NEGATIVE_INFINITY;
  #instancesRead = false;
  /** A read of the registrations in flight, which serves all calls. */
  #confirmingInstances: Promise<Milliseconds | undefined> | undefined;
  /** The instances that a peer reported; used until the store responds. */
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

  /** Ends all watches and pauses; no handler is called after this. */
  stop(): void {
    this.#configurationReader.stop();
    this.#instanceReader.stop();
  }

  /** Ends pauses before retries, for when the store answers again after an outage. */
  retryNow(): void {
    this.#configurationReader.retryNow();
    this.#instanceReader.retryNow();
  }

  configuration(): PublishedConfiguration | undefined {
    return this.#configuration;
  }

  /** The map is the follower's live one. */
  instances(): ReadonlyMap<string, InstanceEntry> {
    if (this.#adoptedInstances === undefined) return this.#instances.entries();
    return new Map(this.#adoptedInstances.instances.map((entry) => [entry.id, entry]));
  }

  /** The current configuration with its text from the store, for other nodes. */
  configurationPart(): ConfigurationPart | undefined {
    if (this.#configuration === undefined) return undefined;
    return { version: this.#configuration.version, text: this.#configurationText };
  }

  /** Store revision up to which the instances are known; 0 if none are. */
  instancesRevision(): number {
    return Math.max(this.#instanceReader.highestRevision, this.#adoptedInstances?.revision ?? 0);
  }

  /** Applies a peer's configuration by the same rule as the store's: only a higher version replaces the current one. */
  adoptConfiguration({ text }: ConfigurationPart): void {
    this.#parseConfiguration(text);
  }

  /** Applies a peer's list of instances if it is newer than this node's. */
  adoptInstances(part: InstancesPart<InstanceEntry>): void {
    if (part.revision <= this.instancesRevision()) return;
    this.#adoptedInstances = part;
    const instances = this.instances();
    this.options.handlers.onInstances(instances, [...instances.keys()], 'peer');
  }

  /**
   * Time at which the last answered call was sent; the known state was current then. The earlier time
   * of the two prefixes; undefined until both were read.
   */
  lastConfirmedAt(): Milliseconds | undefined {
    const configuration = this.#configurationReader.lastConfirmedAt();
    const instances = this.#instanceReader.lastConfirmedAt();
    if (configuration === undefined || instances === undefined) return undefined;
    return Math.min(configuration, instances);
  }

  /**
   * Last time at which the store provably had no newer configuration than the current one (a lower bound); undefined if
   * nothing is proven.
   */
  configurationProvenAt(): Milliseconds | undefined {
    if (this.#isNewestTextInvalid || this.#configuration === undefined) return undefined;
    const provenAt = Math.max(this.#provenByStoreAt(), this.#provenByPeerAt);
    return provenAt === Number.NEGATIVE_INFINITY ? undefined : provenAt;
  }

  /** Called when the store was restored from a backup: its first responses prove nothing about the configuration. */
  handleStoreRestore(): void {
    this.#provenBeforeRestore = this.#provenByStoreAt();
    this.#restoredAt = this.options.clock();
  }

  #provenByStoreAt(): Milliseconds {
    const provenAt = this.#configurationReader.lastProvenAt() ?? Number.NEGATIVE_INFINITY;
    return this.#isTooSoonAfterRestore(provenAt) ? this.#provenBeforeRestore : provenAt;
  }

  /** What the backup lacks may not have been written again by then. */
  #isTooSoonAfterRestore(provenAt: Milliseconds): boolean {
    return provenAt < this.#restoredAt + REWRITE_MS;
  }

  /** Last time at which the store provably had no registration unknown here; undefined if nothing is proven. */
  instancesProvenAt(): Milliseconds | undefined {
    const provenAt = this.#instanceReader.lastProvenAt();
    return provenAt === undefined || this.#isTooSoonAfterRestore(provenAt) ? undefined : provenAt;
  }

  /** Reads all registrations from the store; resolves to the time of which they are, if the store answers. */
  async confirmInstances(): Promise<Milliseconds | undefined> {
    this.#confirmingInstances ??= this.#instanceReader.confirm();
    const sentAt = await this.#confirmingInstances;
    this.#confirmingInstances = undefined;
    return sentAt === undefined || this.#isTooSoonAfterRestore(sentAt) ? undefined : sentAt;
  }

  /** Records a peer's proof that at `provenAt` the store had no newer configuration than the current one. */
  adoptConfigurationProof(provenAt: Milliseconds): void {
    this.#provenByPeerAt = Math.max(this.#provenByPeerAt, provenAt);
  }

  /**
   * Time since which the store has kept the registrations current without an outage; undefined while they may be out of
   * date. Neither the configuration nor an entry that can't be parsed has an effect on it.
   */
  instancesHealthySince(): Milliseconds | undefined {
    return this.#instanceReader.healthySince();
  }

  /** Whether the store keeps both the configuration and the registrations current. */
  isHealthy(): boolean {
    const readers = [this.#configurationReader, this.#instanceReader];
    return readers.every((reader) => reader.healthySince() !== undefined);
  }

  /** As `lastConfirmedAt`, for the configuration alone. */
  configurationConfirmedAt(): Milliseconds | undefined {
    return this.#configurationReader.lastConfirmedAt();
  }

  /** Parses only the newest text, since it replaces the earlier ones. */
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

  /** A repeated entry has the known revision; a lower revision means that the store's revisions went back. */
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

  /** A registration that names another incarnation than before, or can't be parsed, removes the one it named. */
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

  /** Undefined if the registration can't be parsed: it then names no usable instance. */
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
