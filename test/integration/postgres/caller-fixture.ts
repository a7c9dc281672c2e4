/** A caller server for tests, with a small handler that responds to statements without a back end. */
import { createHash, createHmac, pbkdf2Sync } from 'node:crypto';
import { err, errAsync, ok, okAsync } from 'neverthrow';
import type { TenantPolicy } from '../../../src/core/configuration/model.js';
import { NotRunError, UnsupportedFeatureError } from '../../../src/core/errors.js';
import { AuthenticationFailedError } from '../../../src/postgres/caller/errors.js';
import { buildLocalResponse } from '../../../src/postgres/caller/local-response.js';
import type { CallerLimits, CallerTlsOptions } from '../../../src/postgres/caller/options.js';
import { CallerServer } from '../../../src/postgres/caller/server.js';
import type {
  CallerBatch,
  CallerConnection,
  TransactionStatus,
} from '../../../src/postgres/contract.js';
import { classify } from '../../../src/postgres/statements/classify.js';

export const USER = 'bureau';
export const PASSWORD = 'correct horse';
export const DATABASE = 'orders';

function verifierOf(password: string): string {
  const salt = Buffer.from('salt of the test');
  const iterations = 4096;
  const salted = pbkdf2Sync(password, salt, iterations, 32, 'sha256');
  const clientKey = createHmac('sha256', salted).update('Client Key').digest();
  const storedKey = createHash('sha256').update(clientKey).digest('base64');
  const serverKey = createHmac('sha256', salted).update('Server Key').digest('base64');
  return `SCRAM-SHA-256$${iterations}:${salt.toString('base64')}$${storedKey}:${serverKey}`;
}

export const POLICY: TenantPolicy = {
  tenant: 'bureau',
  user: USER,
  scramVerifier: verifierOf(PASSWORD),
  databaseRole: USER,
  databases: [{ database: DATABASE, group: 'orders', backendDatabase: DATABASE }],
  maxConnections: 3,
  maxInFlight: 10,
  maxQueued: 10,
  maxBackendConnections: 10,
  idleTransactionTimeoutMs: 30_000,
  queueWeight: 1,
  requestsPerSecond: 1000,
  burst: 100,
  requestKinds: [],
  enabled: true,
  revision: 1,
};

/** Response to a batch in which each statement returns one row with its own text. */
export function echoAnswer(batch: CallerBatch): Buffer {
  return buildLocalResponse(batch, (text) => ({
    tag: 'SELECT 1',
    columns: ['text'],
    rows: [[text]],
  }));
}

/** Handles batches like a back end on which every supported statement succeeds. */
export class EchoHandler {
  readonly batches: CallerBatch[] = [];
  readonly connections: CallerConnection[] = [];
  /** Called for each batch; if it returns true, the handler doesn't respond itself. */
  intercept: ((connection: CallerConnection, batch: CallerBatch) => boolean) | undefined;

  readonly handle = (connection: CallerConnection): void => {
    this.connections.push(connection);
    let status: TransactionStatus = 'I';
    connection.onBatch = (batch) => {
      this.batches.push(batch);
      if (this.intercept?.(connection, batch) === true) return;
      const classes = batch.statements.map((text) => classify(text, status !== 'I'));
      const refused = classes.find(
        ({ unsupportedFeature: unsupported }) => unsupported !== undefined,
      )?.unsupportedFeature;
      if (refused !== undefined) {
        connection.writeError(new UnsupportedFeatureError(refused));
      } else {
        connection.write(echoAnswer(batch));
        for (const { transactionControl } of classes) {
          if (transactionControl === 'begin') status = 'T';
          else if (transactionControl !== 'none') status = 'I';
        }
      }
      connection.finish(status);
    };
  };
}

export interface CallerFixture {
  readonly server: CallerServer;
  readonly handler: EchoHandler;
  readonly port: number;
}

export interface FixtureOptions {
  readonly tls?: CallerTlsOptions;
  readonly limits?: Partial<CallerLimits>;
}

/** Starts a server on a free port of the loopback interface. */
export async function startCallerServer(options: FixtureOptions = {}): Promise<CallerFixture> {
  const handler = new EchoHandler();
  let admitted = 0;
  const server = new CallerServer({
    host: '127.0.0.1',
    port: 0,
    policyFor: (user) => (user === USER ? ok(POLICY) : err(new AuthenticationFailedError(user))),
    admit: (policy) => {
      if (admitted >= policy.maxConnections) {
        return errAsync(new NotRunError('connection-limit', 'too many connections of this tenant'));
      }
      admitted += 1;
      return okAsync(() => {
        admitted -= 1;
      });
    },
    handler: handler.handle,
    ...options,
  });
  const address = (await server.listen())._unsafeUnwrap();
  return { server, handler, port: address.port };
}
