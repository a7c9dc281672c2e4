/** HTTP client of the proxies' admin ports. */
import { errAsync, ok, okAsync, ResultAsync } from 'neverthrow';
import { z } from 'zod';
import { MeadowstackError } from '../core/errors.js';
import { UsageError } from './exit-codes.js';

const REQUEST_TIMEOUT_MS = 3000;

/** The fields of a node's `GET /status` that the command line reads; others are passed through. */
export const nodeStatusSchema = z.looseObject({
  nodeId: z.string(),
  zone: z.string(),
  /** `starting`, `serving` or `leaving`. */
  state: z.string(),
  configuration: z.looseObject({
    revision: z.number(),
    lagMs: z.number(),
    source: z.string(),
    relay: z.boolean(),
  }),
  /** The groups that this node owns. */
  groups: z.array(
    z.looseObject({
      group: z.string(),
      primary: z.string().nullish(),
      timeline: z.number().nullish(),
      queued: z.number().nullish(),
      running: z.number().nullish(),
    }),
  ),
});

export type NodeStatus = z.output<typeof nodeStatusSchema>;

/** A node's admin port could not be reached or returned an unexpected response. */
export class AdminRequestError extends MeadowstackError {
  readonly code = 'MS-ADMIN-REQUEST';

  constructor(
    readonly address: string,
    reason: string,
    options?: ErrorOptions,
  ) {
    super(`${address}: ${reason}`, options);
  }
}

/** Parses an `--admin` flag: comma-separated `host:port`. */
export function parseAdminAddresses(text: string): readonly string[] {
  const addresses = text.split(',').map((address) => address.trim());
  const invalid = addresses.find((address) => !/^[^\s/:]+:\d{1,5}$/.test(address));
  if (invalid !== undefined) throw new UsageError(`--admin: expected host:port, not "${invalid}"`);
  return addresses;
}

/** Fetches a node's status. */
export function fetchStatus(address: string): ResultAsync<NodeStatus, AdminRequestError> {
  return request(address, 'GET', '/status').andThen((body) => {
    const parsed = nodeStatusSchema.safeParse(body);
    if (parsed.success) return ok(parsed.data);
    return errAsync(new AdminRequestError(address, z.prettifyError(parsed.error)));
  });
}

/** Starts a node's graceful shutdown. */
export function startDrain(address: string): ResultAsync<unknown, AdminRequestError> {
  return request(address, 'POST', '/drain');
}

function request(
  address: string,
  method: 'GET' | 'POST',
  path: string,
): ResultAsync<unknown, AdminRequestError> {
  const signal = AbortSignal.timeout(REQUEST_TIMEOUT_MS);
  return ResultAsync.fromPromise(
    fetch(`http://${address}${path}`, { method, signal }),
    (cause) => new AdminRequestError(address, 'no answer', { cause }),
  ).andThen((response) => {
    if (!response.ok) {
      return errAsync(new AdminRequestError(address, `HTTP status ${response.status}`));
    }
    return ResultAsync.fromPromise(
      response.text(),
      (cause) => new AdminRequestError(address, 'answer cut off', { cause }),
    ).andThen((text) => parseResponse(address, text));
  });
}

function parseResponse(address: string, text: string): ResultAsync<unknown, AdminRequestError> {
  if (text.trim() === '') return okAsync({});
  try {
    return okAsync(JSON.parse(text));
  } catch (cause) {
    return errAsync(new AdminRequestError(address, 'the answer is not JSON', { cause }));
  }
}
