/** The statement protocol as the direct gateway uses it; the `platform` folder implements it. */
import type { Position } from '../core/position.js';
import type { Access } from '../core/request.js';
import type {
  Statement,
  StatementErrorCode,
  TransactionState,
} from '../core/statements/statement.js';

/** A message from a caller. */
export type CallerMessage =
  | {
      readonly type: 'start';
      readonly database: string;
      /** Digest of the key that the caller sent; the key itself is not kept. */
      readonly keyDigest: string;
    }
  | {
      readonly type: 'statement';
      readonly id: string;
      readonly statement: Statement;
      /** The statement as the caller wrote it, forwarded unchanged. */
      readonly text: string;
    }
  | { readonly type: 'terminate' }
  | { readonly type: 'malformed'; readonly reason: string };

/** A message from an instance. */
export type InstanceMessage =
  | { readonly type: 'row'; readonly line: string; readonly text: string }
  | { readonly type: 'complete'; readonly line: string }
  | { readonly type: 'error'; readonly code: StatementErrorCode; readonly text: string }
  | {
      readonly type: 'ready';
      readonly state: TransactionState;
      readonly position: Position | undefined;
    }
  | { readonly type: 'malformed'; readonly reason: string };

/** Commands that query or change an instance's role in its group. */
export type ControlCommand =
  | { readonly type: 'status' }
  | { readonly type: 'pause'; readonly term: number }
  | { readonly type: 'resume' }
  | { readonly type: 'demote'; readonly term: number };

/** Encodes and decodes the messages of the statement protocol. */
export interface StatementWire {
  /** Ends each message in a byte stream. */
  readonly terminator: string;
  readonly maxMessageBytes: number;
  decodeCallerMessage(line: string): CallerMessage;
  encodeCompletion(): string;
  encodeError(code: StatementErrorCode, text: string): string;
  encodeReady(state: TransactionState, position: Position | undefined): string;
  decodeInstanceMessage(line: string): InstanceMessage;
  /** @param account the tenant that the connection is for; absent for the node's own queries */
  encodeStart(service: string, instanceId: string, account?: string): string;
  encodeStatement(id: string, text: string, after: Position | undefined): string;
  encodeExecute(
    id: string,
    sharedName: string,
    argumentText: string,
    after: Position | undefined,
  ): string;
  encodePrepare(sharedName: string, access: Access, shape: string): string;
  encodeSet(name: string, value: string): string;
  encodeBegin(readOnly: boolean, after: Position | undefined): string;
  encodeRollback(): string;
  encodeReset(): string;
  encodeControl(command: ControlCommand): string;
  encodeTerminate(): string;
}
