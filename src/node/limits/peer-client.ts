/** Asks other nodes, and this one, about tenants' limits. */
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
  reportAnswerSchema,
  SHARE_METHOD,
  shareAnswersSchema,
  VOTE_METHOD,
  voteAnswerSchema,
} from './messages.js';
import type { LimitNodes } from './nodes.js';

const CALL_TIMEOUT_MS = 1000;

/** What the client is made of. */
export interface LimitsPeerClientOptions {
  readonly nodeId: string;
  readonly transport: Pick<PeerTransport, 'call'>;
  readonly nodes: LimitNodes;
  /** Answers the calls that this node makes to itself. */
  readonly answerLocally: (method: string, body: WireValue) => WireValue;
}

/** The calling side of the limits' messages. */
export class LimitsPeerClient {
  constructor(private readonly options: LimitsPeerClientOptions) {}

  /** Votes in the order of the elections. */
  askVotes(
    nodeId: string,
    elections: readonly { readonly tenant: TenantName; readonly candidate: string }[],
  ): ResultAsync<readonly Vote[], MeadowstackError> {
    return this.#call(nodeId, VOTE_METHOD, { elections }, voteAnswerSchema).map(
      ({ votes }) => votes,
    );
  }

  /** Answers in the order of the requests. */
  askShares(
    nodeId: string,
    requests: readonly TenantShareRequest[],
  ): ResultAsync<readonly ShareResponse[], MeadowstackError> {
    return this.#call(nodeId, SHARE_METHOD, { requests }, shareAnswersSchema).map(
      ({ answers }) => answers,
    );
  }

  askReport(
    nodeId: string,
    tenant: TenantName,
    term: string,
  ): ResultAsync<ShareRequest, MeadowstackError> {
    return this.#call(nodeId, REPORT_METHOD, { tenant, term }, reportAnswerSchema).map(
      ({ report }) => report,
    );
  }

  #call<Answer>(
    nodeId: string,
    method: string,
    body: WireValue,
    schema: z.ZodType<Answer>,
  ): ResultAsync<Answer, MeadowstackError> {
    return this.#send(nodeId, method, body).andThen(
      Result.fromThrowable(
        (value) => parseCall(schema, value),
        (cause) => new LimitsCallError(`malformed answer to ${method}`, { cause }),
      ),
    );
  }

  #send(nodeId: string, method: string, body: WireValue): ResultAsync<WireValue, MeadowstackError> {
    const { nodeId: ownId, transport, nodes, answerLocally } = this.options;
    if (nodeId === ownId) return new ResultAsync(Promise.resolve(ok(answerLocally(method, body))));
    const address = nodes.addressOf(nodeId);
    if (address === undefined) return errAsync(new LimitsCallError(`no node ${nodeId}`));
    return transport.call(address, method, body, CALL_TIMEOUT_MS);
  }
}
