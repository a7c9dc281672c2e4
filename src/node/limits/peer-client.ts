/** Client of the limit services of other nodes and of this one. */
import { errAsync, ok, Result, ResultAsync } from 'neverthrow';
import type { z } from 'zod';
import type { MeadowstackError } from '../../core/errors.js';
import type { Vote } from '../../core/limits/election.js';
import type { TenantShareRequest } from '../../core/limits/tenant-shares.js';
import type { ShareRequest, ShareResponse } from '../../core/ownership/budget-lease.js';
import type { TenantName } from '../../core/request.js';
import type { PeerTransport, WireValue } from '../../peer/contract.js';
import {
  LimitsCallError,
  parseCall,
  REPORT_METHOD,
  reportResponseSchema,
  SHARE_METHOD,
  shareResponsesSchema,
  VOTE_METHOD,
  voteResponseSchema,
} from './messages.js';
import type { LimitNodes } from './nodes.js';

const CALL_TIMEOUT_MS = 1000;

/** Options and dependencies of the client. */
export interface LimitsPeerClientOptions {
  readonly nodeId: string;
  readonly transport: Pick<PeerTransport, 'call'>;
  readonly nodes: LimitNodes;
  /** Handles the calls that this node sends to itself. */
  readonly handleLocally: (method: string, body: WireValue) => WireValue;
}

/** Sends the calls of messages.ts. */
export class LimitsPeerClient {
  constructor(private readonly options: LimitsPeerClientOptions) {}

  /** Resolves to the votes in the order of the elections. */
  requestVotes(
    nodeId: string,
    elections: readonly { readonly tenant: TenantName; readonly candidate: string }[],
  ): ResultAsync<readonly Vote[], MeadowstackError> {
    return this.#call(nodeId, VOTE_METHOD, { elections }, voteResponseSchema).map(
      ({ votes }) => votes,
    );
  }

  /** Resolves to the responses in the order of the requests. */
  requestShares(
    nodeId: string,
    requests: readonly TenantShareRequest[],
  ): ResultAsync<readonly ShareResponse[], MeadowstackError> {
    return this.#call(nodeId, SHARE_METHOD, { requests }, shareResponsesSchema).map(
      ({ answers }) => answers,
    );
  }

  requestReport(
    nodeId: string,
    tenant: TenantName,
    term: string,
  ): ResultAsync<ShareRequest, MeadowstackError> {
    return this.#call(nodeId, REPORT_METHOD, { tenant, term }, reportResponseSchema).map(
      ({ report }) => report,
    );
  }

  #call<Output>(
    nodeId: string,
    method: string,
    body: WireValue,
    schema: z.ZodType<Output>,
  ): ResultAsync<Output, MeadowstackError> {
    return this.#send(nodeId, method, body).andThen(
      Result.fromThrowable(
        (value) => parseCall(schema, value),
        (cause) => new LimitsCallError(`malformed answer to ${method}`, { cause }),
      ),
    );
  }

  #send(nodeId: string, method: string, body: WireValue): ResultAsync<WireValue, MeadowstackError> {
    const { nodeId: ownId, transport, nodes, handleLocally } = this.options;
    if (nodeId === ownId) return new ResultAsync(Promise.resolve(ok(handleLocally(method, body))));
    const address = nodes.addressOf(nodeId);
    if (address === undefined) return errAsync(new LimitsCallError(`no node ${nodeId}`));
    return transport.call(address, method, body, CALL_TIMEOUT_MS);
  }
}
