/**
 * Builds a batch from one simple Query, or from the extended-query messages up to Sync or Flush. It
 * resolves prepared statements, rewrites their names, and records the texts that the batch would execute.
 */
import { err, ok, type Result } from 'neverthrow';
import { serialize } from 'pg-protocol';
import { type RequestError, UnsupportedFeatureError } from '../../core/errors.js';
import type { CallerBatch, PreparedStatement } from '../contract.js';
import { ProtocolViolationError } from '../errors.js';
import { FrontendMessageType } from '../messages.js';
import { UnknownPortalError, UnknownPreparedStatementError } from './errors.js';
import { rewriteInFailedBlock } from './failed-block.js';
import { MessageAssembler } from './message-assembler.js';
import {
  type Frame,
  readBind,
  readExecute,
  readParse,
  readQuery,
  readTarget,
  type StringField,
} from './message-fields.js';
import { createPreparedStatement, type PreparedStatementStore } from './prepared-statements.js';
import type { ResponseStep } from './response-merger.js';

const SYNC = Buffer.from(serialize.sync());

/** State of the connection's transaction block when a batch is built. */
export interface BlockState {
  readonly inTransaction: boolean;
  /** The proxy refused a statement of the block, which the back end still has open; see `failed-block.ts`. */
  readonly failed: boolean;
}

export interface BuiltBatch {
  readonly batch: CallerBatch;
  /** One step for each message except the boundary; empty for simple queries. */
  readonly steps: readonly ResponseStep[];
  /** True if no part of the batch needs the back end. */
  readonly isAnsweredLocally: boolean;
}

type AddResult = Result<void, RequestError>;
const DONE: AddResult = ok(undefined);

/** The unnamed prepared statement. */
interface UnnamedStatement {
  readonly text: string;
  readonly parameterTypes: readonly number[];
  /** True if the current batch parses it, so that the back end has it as its unnamed statement. */
  isParsedInBatch: boolean;
}

/** Builds the batches of one connection, in order. */
export class BatchBuilder {
  private unnamed: UnnamedStatement | undefined;
  /** Statement texts of the open portals, by portal name. */
  private readonly portals = new Map<string, string>();
  private block: BlockState = { inTransaction: false, failed: false };
  private assembler = new MessageAssembler();
  private steps: ResponseStep[] = [];
  private texts: string[] = [];
  private requires = new Map<string, PreparedStatement>();

  constructor(private readonly store: PreparedStatementStore) {}

  /** Closes the portals, which last until the end of the batch or of its transaction block. */
  handleBatchEnd(stillInTransaction: boolean): void {
    if (!stillInTransaction && this.portals.size > 0) this.portals.clear();
  }

  buildSimple(frame: Frame, block: BlockState): Result<BuiltBatch, RequestError> {
    const text = readQuery(frame);
    if (text === undefined) return err(malformed('Query'));
    this.unnamed = undefined;
    const allowed = block.failed ? rewriteInFailedBlock(text) : ok(text);
    if (allowed.isErr()) return err(allowed.error);
    const messages =
      allowed.value === text
        ? frame.buffer.subarray(frame.start, frame.end)
        : serialize.query(allowed.value);
    const batch: CallerBatch = {
      protocol: 'simple',
      statements: [allowed.value],
      requires: [],
      messages,
      endsWithFlush: false,
    };
    return ok({ batch, steps: [], isAnsweredLocally: false });
  }

  /** `boundary` is the Sync or Flush that ends `frames`. */
  buildExtended(
    frames: readonly Frame[],
    boundary: Frame,
    block: BlockState,
  ): Result<BuiltBatch, RequestError> {
    this.reset(block);
    for (const frame of frames) {
      const step = this.addMessage(frame);
      if (step.isErr()) return err(step.error);
    }
    const flush = boundary.type === FrontendMessageType.FLUSH;
    if (flush && !block.inTransaction && this.portals.size > 0) {
      return err(new UnsupportedFeatureError('Flush after Bind outside a transaction block'));
    }
    return ok(this.finish(boundary, flush));
  }

  private reset(block: BlockState): void {
    this.block = block;
    this.assembler = new MessageAssembler();
    this.steps = [];
    this.texts = [];
    this.requires = new Map();
    if (this.unnamed !== undefined) this.unnamed.isParsedInBatch = false;
  }

  private finish(boundary: Frame, flush: boolean): BuiltBatch {
    const isAnsweredLocally = this.assembler.isEmpty && this.requires.size === 0;
    if (flush) this.assembler.add(SYNC, 0, SYNC.length);
    else this.assembler.add(boundary.buffer, boundary.start, boundary.end);
    const batch: CallerBatch = {
      protocol: 'extended',
      statements: this.texts,
      requires: [...this.requires.values()],
      messages: this.assembler.assemble(),
      endsWithFlush: flush,
    };
    return { batch, steps: this.steps, isAnsweredLocally: isAnsweredLocally };
  }

  private addMessage(frame: Frame): AddResult {
    switch (frame.type) {
      case FrontendMessageType.PARSE:
        return this.addParse(frame);
      case FrontendMessageType.BIND:
        return this.addBind(frame);
      case FrontendMessageType.DESCRIBE:
        return this.addDescribe(frame);
      case FrontendMessageType.EXECUTE:
        return this.addExecute(frame);
      case FrontendMessageType.CLOSE:
        return this.addClose(frame);
      default:
        return err(new ProtocolViolationError(`unexpected message type ${frame.type}`));
    }
  }

  private addParse(frame: Frame): AddResult {
    const fields = readParse(frame);
    if (fields === undefined) return err(malformed('Parse'));
    const allowed = this.checkText(fields.text.text);
    if (allowed.isErr()) return err(allowed.error);
    const text = allowed.value;
    if (fields.name.text === '') {
      this.unnamed = { text, parameterTypes: fields.parameterTypes, isParsedInBatch: true };
      this.relayParse(frame, text === fields.text.text, this.unnamed);
      return DONE;
    }
    const statement = createPreparedStatement(text, fields.parameterTypes);
    const added = this.store.add(fields.name.text, statement);
    if (added.isErr()) return err(added.error);
    this.requires.set(statement.backendName, statement);
    this.steps.push('parse-complete');
    return DONE;
  }

  private relayParse(frame: Frame, unchanged: boolean, statement: UnnamedStatement): void {
    this.steps.push('relay');
    if (unchanged) {
      this.assembler.add(frame.buffer, frame.start, frame.end);
      return;
    }
    const types = [...statement.parameterTypes];
    const message = serialize.parse({ text: statement.text, types });
    this.assembler.add(message, 0, message.length);
  }

  private addBind(frame: Frame): AddResult {
    const fields = readBind(frame);
    if (fields === undefined) return err(malformed('Bind'));
    const text = this.relayWithStatementName(frame, fields.statement);
    if (text.isErr()) return err(text.error);
    this.portals.set(fields.portal.text, text.value);
    return DONE;
  }

  private addDescribe(frame: Frame): AddResult {
    const fields = readTarget(frame);
    if (fields === undefined) return err(malformed('Describe'));
    if (fields.target === 'S')
      return this.relayWithStatementName(frame, fields.name).map(() => undefined);
    return this.relayPortal(frame, fields.name.text).map(() => undefined);
  }

  private addExecute(frame: Frame): AddResult {
    const portal = readExecute(frame);
    if (portal === undefined) return err(malformed('Execute'));
    const text = this.relayPortal(frame, portal);
    if (text.isErr()) return err(text.error);
    if (text.value !== undefined) this.texts.push(text.value);
    return DONE;
  }

  private addClose(frame: Frame): AddResult {
    const fields = readTarget(frame);
    if (fields === undefined) return err(malformed('Close'));
    const name = fields.name.text;
    if (fields.target === 'P') {
      this.portals.delete(name);
      this.relay(frame);
      return DONE;
    }
    if (name === '') this.unnamed = undefined;
    this.store.remove(name);
    this.steps.push('close-complete');
    return DONE;
  }

  private relay(frame: Frame): void {
    this.assembler.add(frame.buffer, frame.start, frame.end);
    this.steps.push('relay');
  }

  /** Relays a message that names a portal; returns its text, undefined for a cursor declared in SQL. */
  private relayPortal(frame: Frame, portal: string): Result<string | undefined, RequestError> {
    const text = this.portals.get(portal);
    if (text === undefined && !this.block.inTransaction) return err(new UnknownPortalError(portal));
    const allowed = this.checkText(text ?? '');
    if (allowed.isErr()) return err(allowed.error);
    this.relay(frame);
    return ok(text);
  }

  /** Relays a message that names a statement, with the name it has on the back end; returns its text. */
  private relayWithStatementName(frame: Frame, name: StringField): Result<string, RequestError> {
    if (name.text === '' && this.unnamed?.isParsedInBatch === true) {
      this.relay(frame);
      return ok(this.unnamed.text);
    }
    const statement = this.resolve(name.text);
    if (statement === undefined) return err(new UnknownPreparedStatementError(name.text));
    const allowed = this.checkText(statement.text);
    if (allowed.isErr()) return err(allowed.error);
    const isUnchanged = allowed.value === statement.text;
    this.relayRenamed(
      frame,
      name,
      isUnchanged ? statement : createPreparedStatement(allowed.value, []),
    );
    return ok(allowed.value);
  }

  private relayRenamed(frame: Frame, name: StringField, statement: PreparedStatement): void {
    this.requires.set(statement.backendName, statement);
    this.assembler.addRenamed(frame.buffer, frame.start, frame.end, {
      nameStart: name.start,
      nameEnd: name.end,
      name: statement.backendName,
    });
    this.steps.push('relay');
  }

  private resolve(name: string): PreparedStatement | undefined {
    if (name !== '') return this.store.get(name);
    return this.unnamed && createPreparedStatement(this.unnamed.text, this.unnamed.parameterTypes);
  }

  private checkText(text: string): Result<string, RequestError> {
    return this.block.failed ? rewriteInFailedBlock(text) : ok(text);
  }
}

function malformed(message: string): ProtocolViolationError {
  return new ProtocolViolationError(`malformed ${message} message`);
}
