/** Errors in declarations and in publishing them. */
import { type ErrorLabel, MeadowstackError } from '../errors.js';
import { type DocumentProblem, formatProblem } from './document.js';
import type { ConfigurationRevision } from './model.js';

const CONFIGURATION_LABELS: ReadonlySet<ErrorLabel> = new Set(['configuration']);

/** The declarations are invalid; lists every problem found. */
export class InvalidDeclarationError extends MeadowstackError {
  readonly code = 'MS-DECLARATION';
  override readonly labels = CONFIGURATION_LABELS;

  constructor(readonly problems: readonly DocumentProblem[]) {
    super(problems.map(formatProblem).join('\n'));
  }
}

/** A declaration that was changed by someone else in the meantime: both versions. */
export interface ConflictingVersion {
  /** `template/<name>` or `tenant/<name>`. */
  readonly key: string;
  /** Revision that the publish was based on; 0 if the declaration was expected not to exist. */
  readonly expectedRevision: ConfigurationRevision;
  /** Revision in force; 0 if there is none. */
  readonly currentRevision: ConfigurationRevision;
  /** Declaration in force; undefined if there is none or it was removed. */
  readonly current: unknown;
  /** Declaration to be published; undefined for a removal. */
  readonly proposed: unknown;
}

/** Another operator changed the same declarations first; nothing was applied. */
export class PublishConflictError extends MeadowstackError {
  readonly code = 'MS-PUBLISH-CONFLICT';
  override readonly labels = CONFIGURATION_LABELS;

  constructor(readonly conflicts: readonly ConflictingVersion[]) {
    super(conflicts.map(describeConflict).join('\n'));
  }
}

/** Concurrent publishes of other operators came first at every attempt; nothing was applied. */
export class PublishContentionError extends MeadowstackError {
  readonly code = 'MS-PUBLISH-CONTENTION';
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['retryable']);

  constructor() {
    super('other publishes came first every time; nothing was applied');
  }
}

/** The publish may or may not have been applied; repeating it with the same id is safe. */
export class PublishOutcomeUnknownError extends MeadowstackError {
  readonly code = 'MS-PUBLISH-UNKNOWN';

  constructor(
    readonly publishId: string,
    options?: ErrorOptions,
  ) {
    super(`it is not known whether publish ${publishId} was applied`, options);
  }
}

/** The store could not be reached and nothing was applied. */
export class DeclarationStoreError extends MeadowstackError {
  readonly code = 'MS-DECLARATION-STORE';
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['retryable']);

  constructor(options?: ErrorOptions) {
    super('the store can not be reached', options);
  }
}

/** There is no such declaration or version. */
export class DeclarationNotFoundError extends MeadowstackError {
  readonly code = 'MS-DECLARATION-NOT-FOUND';
  override readonly labels = CONFIGURATION_LABELS;

  constructor(readonly wanted: string) {
    super(`no ${wanted}`);
  }
}

/** A value stored under a key of this project does not have the expected format. */
export class StoredValueError extends MeadowstackError {
  readonly code = 'MS-STORED-VALUE';
  override readonly labels = CONFIGURATION_LABELS;

  constructor(readonly key: string) {
    super(`the store's value of ${key} is not a declaration`);
  }
}

function describeConflict(conflict: ConflictingVersion): string {
  const { key, expectedRevision, currentRevision } = conflict;
  return `${key}: based on revision ${expectedRevision}, but revision ${currentRevision} is in force`;
}
