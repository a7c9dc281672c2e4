/**
 * Publishes declarations to the store and reads them back: the operators' side. Plans come from the
 * core; this carries them out, resolves lost answers by publish id and repeats lost races.
 */
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import { Backoff, type RandomSource } from '../../core/configuration/backoff.js';
import type { DeclarationKey } from '../../core/configuration/declaration.js';
import {
  DeclarationStoreError,
  type InvalidDeclarationError,
  type PublishConflictError,
  PublishContentionError,
  PublishOutcomeUnknownError,
} from '../../core/configuration/errors.js';
import type { ConfigurationRevision } from '../../core/configuration/model.js';
import {
  type PublishedState,
  type PublishPlan,
  type PublishRequest,
  planPublish,
  toPublishedState,
} from '../../core/configuration/publish.js';
import {
  CURRENT_PREFIX,
  decodeEntry,
  decodePublishRecord,
  historyPrefixOf,
  PUBLISH_PREFIX,
  type PublishRecord,
  publishKeyOf,
  type StoredEntry,
} from '../../core/configuration/store-layout.js';
import type { KeyValue, Store, StoreError } from '../../platform/contract.js';

const RETRY_BACKOFF = { initialMs: 50, maximumMs: 2000 };
const DEFAULT_ATTEMPTS = 12;

/** What the publisher needs. */
export interface PublisherOptions {
  readonly store: Store;
  readonly random: RandomSource;
  /** Waits between attempts. */
  readonly wait: (delayMs: number) => Promise<void>;
  /** How often the store is asked at most before the publisher gives up; default 12. */
  readonly attempts?: number;
}

/** A publish that is in force in the store. */
export interface PublishOutcome {
  readonly publishId: string;
  /** Revision at which it was applied; the revision in force if nothing had to change. */
  readonly revision: ConfigurationRevision;
  /** False if there was nothing to change. */
  readonly changed: boolean;
  /** True if an earlier attempt with the same publish id had applied it. */
  readonly alreadyApplied: boolean;
  readonly changes: readonly { readonly key: string; readonly version: number }[];
}

/** Why a publish failed. */
export type PublishError =
  | PublishConflictError
  | PublishContentionError
  | InvalidDeclarationError
  | PublishOutcomeUnknownError
  | DeclarationStoreError;

/** One kept version of a declaration. */
export interface HistoryEntry extends StoredEntry {
  readonly revision: ConfigurationRevision;
}

/** One kept publish with the revision that it made. */
export interface PublishHistoryEntry extends PublishRecord {
  readonly revision: ConfigurationRevision;
}

/** What one attempt came to: an end, or another attempt. */
type Attempt =
  | { readonly type: 'ended'; readonly result: Result<PublishOutcome, PublishError> }
  | { readonly type: 'again'; readonly retryAfterMs: number; readonly error: unknown };

interface AttemptState {
  /** A transaction was sent whose answer was lost, and nothing has told yet what became of it. */
  outcomeUnknown: boolean;
}

/** Publishes and reads declarations. */
export class Publisher {
  constructor(private readonly options: PublisherOptions) {}

  /** What is in force in the store. */
  read(): ResultAsync<PublishedState, DeclarationStoreError> {
    return this.#range(CURRENT_PREFIX).map(toPublishedState);
  }

  /** What a publish would change; changes nothing. */
  plan(
    request: PublishRequest,
  ): ResultAsync<
    PublishPlan,
    PublishConflictError | InvalidDeclarationError | DeclarationStoreError
  > {
    return this.read().andThen((state) => planPublish(state, request));
  }

  /** Publishes; safe to call again with the same request after any error. */
  publish(request: PublishRequest): ResultAsync<PublishOutcome, PublishError> {
    return new ResultAsync(this.#publish(request));
  }

  /** The kept versions of one declaration, oldest first. */
  history(key: DeclarationKey): ResultAsync<readonly HistoryEntry[], DeclarationStoreError> {
    return this.#range(historyPrefixOf(key)).map((entries) =>
      entries.flatMap((entry) =>
        decodeEntry(entry.key, entry.value)
          .map((stored) => [{ ...stored, revision: entry.modRevision }])
          .unwrapOr([]),
      ),
    );
  }

  /** The kept publishes, oldest first. */
  publishes(): ResultAsync<readonly PublishHistoryEntry[], DeclarationStoreError> {
    return this.#range(PUBLISH_PREFIX).map((entries) =>
      [...entries].sort(byRevision).flatMap((entry) =>
        decodePublishRecord(entry.key, entry.value)
          .map((record) => [{ ...record, revision: entry.modRevision }])
          .unwrapOr([]),
      ),
    );
  }

  async #publish(request: PublishRequest): Promise<Result<PublishOutcome, PublishError>> {
    const { attempts = DEFAULT_ATTEMPTS, random, wait } = this.options;
    const backoff = new Backoff(RETRY_BACKOFF, random);
    const state: AttemptState = { outcomeUnknown: false };
    let lastError: unknown;
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      const outcome = await this.#attempt(request, state);
      if (outcome.type === 'ended') return outcome.result;
      lastError = outcome.error;
      await wait(backoff.next(outcome.retryAfterMs));
    }
    return err(exhaustedError(request.publishId, state, lastError));
  }

  async #attempt(request: PublishRequest, state: AttemptState): Promise<Attempt> {
    // The state is read before the records: a record that is absent then proves that the state
    // does not contain this publish.
    const current = await this.options.store.range(CURRENT_PREFIX);
    if (current.isErr()) return again(current.error);
    const records = await this.options.store.range(PUBLISH_PREFIX);
    if (records.isErr()) return again(records.error);
    const applied = records.value.entries.find(
      ({ key }) => key === publishKeyOf(request.publishId),
    );
    if (applied !== undefined) return ended(ok(outcomeOfRecord(request.publishId, applied)));
    const published = toPublishedState(current.value.entries);
    const recordKeys = [...records.value.entries].sort(byRevision).map(({ key }) => key);
    const plan = planPublish(published, request, recordKeys);
    if (plan.isErr()) return ended(err(plan.error));
    if (plan.value.operations.length === 0) {
      return ended(ok(unchanged(request.publishId, published.headRevision)));
    }
    return this.#send(plan.value, state);
  }

  async #send(plan: PublishPlan, state: AttemptState): Promise<Attempt> {
    const answer = await this.options.store.transaction(plan.compares, plan.operations);
    if (answer.isErr()) {
      state.outcomeUnknown ||= answer.error.outcomeUnknown;
      return again(answer.error);
    }
    if (!answer.value.succeeded) {
      return { type: 'again', retryAfterMs: 0, error: new PublishContentionError() };
    }
    const { publishId, changes } = plan;
    const { revision } = answer.value;
    return ended(ok({ publishId, revision, changed: true, alreadyApplied: false, changes }));
  }

  #range(prefix: string): ResultAsync<readonly KeyValue[], DeclarationStoreError> {
    return new ResultAsync(this.#retryRange(prefix));
  }

  async #retryRange(prefix: string): Promise<Result<readonly KeyValue[], DeclarationStoreError>> {
    const { attempts = DEFAULT_ATTEMPTS, random, wait } = this.options;
    const backoff = new Backoff(RETRY_BACKOFF, random);
    let lastError: unknown;
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      const answer = await this.options.store.range(prefix);
      if (answer.isOk()) return ok(answer.value.entries);
      lastError = answer.error;
      await wait(backoff.next(answer.error.retryAfterMs));
    }
    return err(new DeclarationStoreError({ cause: lastError }));
  }
}

function exhaustedError(publishId: string, state: AttemptState, cause: unknown): PublishError {
  if (state.outcomeUnknown) return new PublishOutcomeUnknownError(publishId, { cause });
  if (cause instanceof PublishContentionError) return cause;
  return new DeclarationStoreError({ cause });
}

function ended(result: Result<PublishOutcome, PublishError>): Attempt {
  return { type: 'ended', result };
}

function again(error: StoreError): Attempt {
  return { type: 'again', retryAfterMs: error.retryAfterMs ?? 0, error };
}

function unchanged(publishId: string, revision: ConfigurationRevision): PublishOutcome {
  return { publishId, revision, changed: false, alreadyApplied: false, changes: [] };
}

function outcomeOfRecord(publishId: string, record: KeyValue): PublishOutcome {
  const changes = decodePublishRecord(record.key, record.value)
    .map((decoded) => decoded.changes)
    .unwrapOr([]);
  const { modRevision: revision } = record;
  return { publishId, revision, changed: true, alreadyApplied: true, changes };
}

function byRevision(left: KeyValue, right: KeyValue): number {
  return left.modRevision - right.modRevision;
}
