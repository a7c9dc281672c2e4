/**
 * Publishes declarations to the store and reads them, for operators' commands. The core plans each
 * publish; the publisher carries out the plan, finds out by publish id whether a transaction whose
 * response was lost was applied, and retries after a conflict with a concurrent publish.
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
const DEFAULT_MAX_ATTEMPTS = 12;

/** Dependencies of the publisher. */
export interface PublisherOptions {
  readonly store: Store;
  readonly random: RandomSource;
  /** Waits between attempts. */
  readonly wait: (delayMs: number) => Promise<void>;
  /** Maximum number of attempts before the publisher gives up; default 12. */
  readonly attempts?: number;
}

/** Result of a publish that has been applied to the store, or that had nothing to change. */
export interface PublishOutcome {
  readonly publishId: string;
  /** Revision at which it was applied; the current revision if nothing had to change. */
  readonly revision: ConfigurationRevision;
  /** False if there was nothing to change. */
  readonly changed: boolean;
  /** True if an earlier attempt with the same publish id had already applied it. */
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

/** One retained version of a declaration. */
export interface HistoryEntry extends StoredEntry {
  readonly revision: ConfigurationRevision;
}

/** One retained publish record with the revision that the publish created. */
export interface PublishHistoryEntry extends PublishRecord {
  readonly revision: ConfigurationRevision;
}

/** Result of one attempt: a final result, or the need for another attempt. */
type Attempt =
  | { readonly type: 'ended'; readonly result: Result<PublishOutcome, PublishError> }
  | { readonly type: 'again'; readonly retryAfterMs: number; readonly error: unknown };

interface AttemptState {
  /** True once the response to a transaction was lost, so that it may have been applied. */
  isOutcomeUnknown: boolean;
}

/** Publishes and reads declarations. */
export class Publisher {
  constructor(private readonly options: PublisherOptions) {}

  /** Reads the declarations that are current in the store. */
  read(): ResultAsync<PublishedState, DeclarationStoreError> {
    return this.#range(CURRENT_PREFIX).map(toPublishedState);
  }

  /** Returns what a publish would change, without applying it. */
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

  /** Returns the retained versions of one declaration, oldest first. */
  history(key: DeclarationKey): ResultAsync<readonly HistoryEntry[], DeclarationStoreError> {
    return this.#range(historyPrefixOf(key)).map((entries) =>
      entries.flatMap((entry) =>
        decodeEntry(entry.key, entry.value)
          .map((stored) => [{ ...stored, revision: entry.modRevision }])
          .unwrapOr([]),
      ),
    );
  }

  /** Returns the retained publish records, oldest first. */
  publishes(): ResultAsync<readonly PublishHistoryEntry[], DeclarationStoreError> {
    return this.#range(PUBLISH_PREFIX).map((entries) =>
      [...entries].sort(compareRevisions).flatMap((entry) =>
        decodePublishRecord(entry.key, entry.value)
          .map((record) => [{ ...record, revision: entry.modRevision }])
          .unwrapOr([]),
      ),
    );
  }

  async #publish(request: PublishRequest): Promise<Result<PublishOutcome, PublishError>> {
    const { attempts = DEFAULT_MAX_ATTEMPTS, random, wait } = this.options;
    const backoff = new Backoff(RETRY_BACKOFF, random);
    const state: AttemptState = { isOutcomeUnknown: false };
    let lastError: unknown;
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      const outcome = await this.#attempt(request, state);
      if (outcome.type === 'ended') return outcome.result;
      lastError = outcome.error;
      await wait(backoff.next(outcome.retryAfterMs));
    }
    return err(errorAfterLastAttempt(request.publishId, state, lastError));
  }

  async #attempt(request: PublishRequest, state: AttemptState): Promise<Attempt> {
    // The state is read before the publish records: if the record of this publish is absent
    // afterwards, the state that was read does not contain the publish.
    const current = await this.options.store.range(CURRENT_PREFIX);
    if (current.isErr()) return retryAfter(current.error);
    const records = await this.options.store.range(PUBLISH_PREFIX);
    if (records.isErr()) return retryAfter(records.error);
    const applied = records.value.entries.find(
      ({ key }) => key === publishKeyOf(request.publishId),
    );
    if (applied !== undefined) return endWith(ok(outcomeFromRecord(request.publishId, applied)));
    const published = toPublishedState(current.value.entries);
    const recordKeys = [...records.value.entries].sort(compareRevisions).map(({ key }) => key);
    const plan = planPublish(published, request, recordKeys);
    if (plan.isErr()) return endWith(err(plan.error));
    if (plan.value.operations.length === 0) {
      return endWith(ok(unchangedOutcome(request.publishId, published.headRevision)));
    }
    return this.#send(plan.value, state);
  }

  async #send(plan: PublishPlan, state: AttemptState): Promise<Attempt> {
    const response = await this.options.store.transaction(plan.compares, plan.operations);
    if (response.isErr()) {
      state.isOutcomeUnknown ||= response.error.outcomeUnknown;
      return retryAfter(response.error);
    }
    if (!response.value.succeeded) {
      return { type: 'again', retryAfterMs: 0, error: new PublishContentionError() };
    }
    const { publishId, changes } = plan;
    const { revision } = response.value;
    return endWith(ok({ publishId, revision, changed: true, alreadyApplied: false, changes }));
  }

  #range(prefix: string): ResultAsync<readonly KeyValue[], DeclarationStoreError> {
    return new ResultAsync(this.#retryRange(prefix));
  }

  async #retryRange(prefix: string): Promise<Result<readonly KeyValue[], DeclarationStoreError>> {
    const { attempts = DEFAULT_MAX_ATTEMPTS, random, wait } = this.options;
    const backoff = new Backoff(RETRY_BACKOFF, random);
    let lastError: unknown;
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      const response = await this.options.store.range(prefix);
      if (response.isOk()) return ok(response.value.entries);
      lastError = response.error;
      await wait(backoff.next(response.error.retryAfterMs));
    }
    return err(new DeclarationStoreError({ cause: lastError }));
  }
}

function errorAfterLastAttempt(
  publishId: string,
  state: AttemptState,
  cause: unknown,
): PublishError {
  if (state.isOutcomeUnknown) return new PublishOutcomeUnknownError(publishId, { cause });
  if (cause instanceof PublishContentionError) return cause;
  return new DeclarationStoreError({ cause });
}

function endWith(result: Result<PublishOutcome, PublishError>): Attempt {
  return { type: 'ended', result };
}

function retryAfter(error: StoreError): Attempt {
  return { type: 'again', retryAfterMs: error.retryAfterMs ?? 0, error };
}

function unchangedOutcome(publishId: string, revision: ConfigurationRevision): PublishOutcome {
  return { publishId, revision, changed: false, alreadyApplied: false, changes: [] };
}

function outcomeFromRecord(publishId: string, record: KeyValue): PublishOutcome {
  const changes = decodePublishRecord(record.key, record.value)
    .map((decoded) => decoded.changes)
    .unwrapOr([]);
  const { modRevision: revision } = record;
  return { publishId, revision, changed: true, alreadyApplied: true, changes };
}

function compareRevisions(left: KeyValue, right: KeyValue): number {
  return left.modRevision - right.modRevision;
}
