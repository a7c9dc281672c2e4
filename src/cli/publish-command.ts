/** Base class and flags of the commands that publish. */
import { randomUUID } from 'node:crypto';
import { userInfo } from 'node:os';
import { Flags } from '@oclif/core';
import type { DeclarationKey } from '../core/configuration/declaration.js';
import { DeclarationNotFoundError } from '../core/configuration/errors.js';
import {
  keyOfChange,
  liveRevisionOf,
  type ProposedChange,
  type PublishedState,
  type PublishRequest,
} from '../core/configuration/publish.js';
import { isDeclarationKey } from '../core/configuration/store-layout.js';
import type { Publisher } from '../node/configuration/publisher.js';
import { BaseCommand, storeFlag } from './base-command.js';
import { formatChange, redact } from './declaration-text.js';
import { UsageError } from './exit-codes.js';

/** Flags of every command that publishes. */
export const publishFlags = {
  store: storeFlag,
  'dry-run': Flags.boolean({ description: 'show the changes field by field, publish nothing' }),
  expect: Flags.string({
    description:
      'publish only if the declaration still has this revision; 0: only if it does not exist',
    helpValue: 'KIND/NAME=REVISION',
    multiple: true,
  }),
  'publish-id': Flags.string({
    description:
      'id of an earlier publish whose outcome is unknown, to repeat it; it is never applied twice',
    helpValue: 'ID',
  }),
  author: Flags.string({
    description: 'name for the history; default: the user name',
    helpValue: 'NAME',
  }),
  message: Flags.string({ char: 'm', description: 'reason for the history', default: '' }),
};

/** The values of `publishFlags`. */
export interface PublishFlagValues {
  readonly store: string;
  readonly 'dry-run': boolean;
  readonly expect?: readonly string[] | undefined;
  readonly 'publish-id'?: string | undefined;
  readonly author?: string | undefined;
  readonly message: string;
}

/** Output of a publishing command with `--json`. */
export interface PublishReport {
  readonly publishId: string;
  readonly dryRun: boolean;
  readonly revision: number;
  readonly changed: boolean;
  readonly alreadyApplied: boolean;
  readonly changes: readonly unknown[];
}

/** Base class of the commands that publish. */
export abstract class PublishCommand extends BaseCommand {
  /** Publishes changes that are based on `state`, or with `--dry-run` shows their effect. */
  protected async publishChanges(
    publisher: Publisher,
    state: PublishedState,
    changes: readonly ProposedChange[],
    flags: PublishFlagValues,
  ): Promise<PublishReport> {
    const request = buildRequest(state, changes, flags);
    return flags['dry-run']
      ? this.#showPlan(publisher, state, request)
      : this.#publish(publisher, request);
  }

  /** Publishes the removal of one declaration. */
  protected async removeDeclaration(
    key: DeclarationKey,
    flags: PublishFlagValues,
  ): Promise<PublishReport> {
    const publisher = this.publisherAt(flags.store);
    const state = await publisher.read();
    if (state.isErr()) throw state.error;
    if (liveRevisionOf(state.value, key) === 0) throw new DeclarationNotFoundError(key);
    return this.publishChanges(publisher, state.value, [{ type: 'remove', key }], flags);
  }

  async #showPlan(
    publisher: Publisher,
    state: PublishedState,
    request: PublishRequest,
  ): Promise<PublishReport> {
    const plan = await publisher.plan(request);
    if (plan.isErr()) throw plan.error;
    const { changes, publishId } = plan.value;
    for (const line of changes.flatMap(formatChange)) this.log(line);
    this.log(changes.length === 0 ? 'nothing would change' : 'dry run: nothing was published');
    const revision = state.headRevision;
    const changed = changes.length > 0;
    return {
      publishId,
      dryRun: true,
      revision,
      changed,
      alreadyApplied: false,
      changes: changes.map(redact),
    };
  }

  async #publish(publisher: Publisher, request: PublishRequest): Promise<PublishReport> {
    const outcome = await publisher.publish(request);
    if (outcome.isErr()) throw outcome.error;
    const { publishId, revision, changed, alreadyApplied, changes } = outcome.value;
    for (const { key, version } of changes) this.log(`${key} version ${version}`);
    const attemptNote = alreadyApplied ? ' (by an earlier attempt)' : '';
    this.log(
      changed
        ? `published at revision ${revision}${attemptNote}, publish id ${publishId}`
        : `nothing to change; revision ${revision} is in force`,
    );
    return {
      publishId,
      dryRun: false,
      revision,
      changed,
      alreadyApplied,
      changes: changes.map(({ key, version }) => ({ key, version })),
    };
  }
}

/** Parses `KIND/NAME`. */
export function parseDeclarationKey(text: string): DeclarationKey {
  if (isDeclarationKey(text)) return text;
  throw new UsageError(`expected template/NAME or tenant/NAME, not ${text}`);
}

function buildRequest(
  state: PublishedState,
  changes: readonly ProposedChange[],
  flags: PublishFlagValues,
): PublishRequest {
  const revisionsRead = changes
    .map(keyOfChange)
    .map((key) => [key, liveRevisionOf(state, key)] as const);
  return {
    publishId: flags['publish-id'] ?? randomUUID(),
    publishedAt: Date.now(),
    author: flags.author ?? userInfo().username,
    comment: flags.message,
    changes,
    expectedRevisions: new Map([...revisionsRead, ...(flags.expect ?? []).map(parseExpectation)]),
  };
}

function parseExpectation(text: string): readonly [DeclarationKey, number] {
  const [key = '', revision = ''] = text.split('=');
  if (!/^\d+$/.test(revision)) {
    throw new UsageError(`--expect: expected KIND/NAME=REVISION, not ${text}`);
  }
  return [parseDeclarationKey(key), Number(revision)];
}
