/**
 * Makes a batch of one simple Query, or of the extended-query messages up to Sync or Flush:
 * resolves prepared statements, rewrites their names, and notes what the batch would execute.
 */
import { err, ok, type Result } from 'neverthrow';
import { serialize } from 'pg-protocol';
import { type RequestError, UnsupportedFeatureError } from '../../core/errors.js';
import type { CallerBatch, PreparedStatement } from '../contract.js';
import { ProtocolViolationError } from '../errors.js';
import { FrontendMessageType } from '../messages.js';
import type { AnswerStep } from './answer-merger.js';
import { UnknownPortalError, UnknownPreparedStatementError } from './errors.js';
import { textInFailedBlock } from './failed-block.js';
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
import { type PreparedStatementStore, preparedStatementOf } from './prepared-statements.js';

const SYNC = Buffer.from(serialize.sync());

/** What the connection knows of its transaction when it builds a batch. */
export interface BlockState {
  readonly inTransaction: boolean;
  /** A refusal failed the block while the back end's still stands: only its end is let through. */
  readonly failed: boolean;
}

export interface BuiltBatch {
  readonly batch: CallerBatch;
  /** One step for each message but Sync; empty for simple queries. */
  readonly steps: readonly AnswerStep[];
  /** Nothing of it needs the back end. */
  readonly answeredLocally: boolean;
}

type Step = Result<void, RequestError>;
const DONE: Step = ok(undefined);

/** The unnamed statement; `inBatch`: parsed by the batch in work, so the back end has it. */
interface UnnamedStatement {
  readonly text: string;
  readonly parameterTypes: readonly number[];
  inBatch: boolean;
}

/** Builds the batches of one connection, in order. */
export class BatchBuilder {
  private unnamed: UnnamedStatement | undefined;
  /** Texts behind the portals that are open. */
  private readonly portals = new Map<string, string>();
  private block: BlockState = { inTransaction: false, failed: false };
  private assembler = new MessageAssembler();
  private steps: AnswerStep[] = [];
  private texts: string[] = [];
  private requires = new Map<string, PreparedStatement>();

  constructor(private readonly store: PreparedStatementStore) {}

  /** Portals end with the batch, or with the transaction block that it stands in. */
  endBatch(stillInTransaction: boolean): void {
    if (!stillInTransaction && this.portals.size > 0) this.portals.clear();
  }

  simple(frame: Frame, block: BlockState): Result<BuiltBatch, RequestError> {
    const text = readQuery(frame);
    if (text === undefined) return err(malformed('Query'));
    this.unnamed = undefined;
    const allowed = block.failed ? textInFailedBlock(text) : ok(text);
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
    return ok({ batch, steps: [], answeredLocally: false });
  }

  /** `boundary` is the Sync or Flush that ends `frames`. */
  extended(
    frames: readonly Frame[],
    boundary: Frame,
    block: BlockState,
  ): Result<BuiltBatch, RequestError> {
    this.begin(block);
    for (const frame of frames) {
      const step = this.take(frame);
      if (step.isErr()) return err(step.error);
    }
    const flush = boundary.type === FrontendMessageType.FLUSH;
    if (flush && !block.inTransaction && this.portals.size > 0) {
      return err(new UnsupportedFeatureError('Flush after Bind outside a transaction block'));
    }
    return ok(this.finish(boundary, flush));
  }

  private begin(block: BlockState): void {
    this.block = block;
    this.assembler = new MessageAssembler();
    this.steps = [];
    this.texts = [];
    this.requires = new Map();
    if (this.unnamed !== undefined) this.unnamed.inBatch = false;
  }

  private finish(boundary: Frame, flush: boolean): BuiltBatch {
    const answeredLocally = this.assembler.isEmpty && this.requires.size === 0;
    if (flush) this.assembler.add(SYNC, 0, SYNC.length);
    else this.assembler.add(boundary.buffer, boundary.start, boundary.end);
    const batch: CallerBatch = {
      protocol: 'extended',
      statements: this.texts,
      requires: [...this.requires.values()],
      messages: this.assembler.assemble(),
      endsWithFlush: flush,
    };
    return { batch, steps: this.steps, answeredLocally };
  }

  private take(frame: Frame): Step {
    switch (frame.type) {
      case FrontendMessageType.PARSE:
        return this.takeParse(frame);
      case FrontendMessageType.BIND:
        return this.takeBind(frame);
      case FrontendMessageType.DESCRIBE:
        return this.takeDescribe(frame);
      case FrontendMessageType.EXECUTE:
        return this.takeExecute(frame);
      case FrontendMessageType.CLOSE:
        return this.takeClose(frame);
      default:
        return err(new ProtocolViolationError(`unexpected message type ${frame.type}`));
    }
  }

  private takeParse(frame: Frame): Step {
    const fields = readParse(frame);
    if (fields === undefined) return err(malformed('Parse'));
    const allowed = this.allowedText(fields.text.text);
    if (allowed.isErr()) return err(allowed.error);
    const text = allowed.value;
    if (fields.name.text === '') {
      this.unnamed = { text, parameterTypes: fields.parameterTypes, inBatch: true };
      this.relayParse(frame, text === fields.text.text, this.unnamed);
      return DONE;
    }
    const statement = preparedStatementOf(text, fields.parameterTypes);
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

  private takeBind(frame: Frame): Step {
    const fields = readBind(frame);
    if (fields === undefined) return err(malformed('Bind'));
    const text = this.relayNaming(frame, fields.statement);
    if (text.isErr()) return err(text.error);
    this.portals.set(fields.portal.text, text.value);
    return DONE;
  }

  private takeDescribe(frame: Frame): Step {
    const fields = readTarget(frame);
    if (fields === undefined) return err(malformed('Describe'));
    if (fields.target === 'S') return this.relayNaming(frame, fields.name).map(() => undefined);
    return this.relayPortal(frame, fields.name.text).map(() => undefined);
  }

  private takeExecute(frame: Frame): Step {
    const portal = readExecute(frame);
    if (portal === undefined) return err(malformed('Execute'));
    const text = this.relayPortal(frame, portal);
    if (text.isErr()) return err(text.error);
    if (text.value !== undefined) this.texts.push(text.value);
    return DONE;
  }

  private takeClose(frame: Frame): Step {
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

  /** Relays a message that names a portal; gives its text, undefined for a cursor made by SQL. */
  private relayPortal(frame: Frame, portal: string): Result<string | undefined, RequestError> {
    const text = this.portals.get(portal);
    if (text === undefined && !this.block.inTransaction) return err(new UnknownPortalError(portal));
    const allowed = this.allowedText(text ?? '');
    if (allowed.isErr()) return err(allowed.error);
    this.relay(frame);
    return ok(text);
  }

  /** Relays a message that names a statement, under the name the back end has; gives its text. */
  private relayNaming(frame: Frame, name: StringField): Result<string, RequestError> {
    if (name.text === '' && this.unnamed?.inBatch === true) {
      this.relay(frame);
      return ok(this.unnamed.text);
    }
    const statement = this.resolve(name.text);
    if (statement === undefined) return err(new UnknownPreparedStatementError(name.text));
    const allowed = this.allowedText(statement.text);
    if (allowed.isErr()) return err(allowed.error);
    const same = allowed.value === statement.text;
    this.relayRenamed(frame, name, same ? statement : preparedStatementOf(allowed.value, []));
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
    return this.unnamed && preparedStatementOf(this.unnamed.text, this.unnamed.parameterTypes);
  }

  private allowedText(text: string): Result<string, RequestError> {
    return this.block.failed ? textInFailedBlock(text) : ok(text);
  }
}

function malformed(message: string): ProtocolViolationError {
  return new ProtocolViolationError(`malformed ${message} message`);
}
