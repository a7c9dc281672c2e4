/** Client of other nodes' machine list services. */
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import type { z } from 'zod';
import type { ConfigurationMember } from '../../core/configuration/relays.js';
import type { MeadowstackError } from '../../core/errors.js';
import type { MachineListReport } from '../../core/machine-list/contract.js';
import type {
  ListBuckets,
  ListDelta,
  ListDigest,
  ListEntry,
} from '../../core/machine-list/replica.js';
import type { Hash64 } from '../../core/ownership/rendezvous.js';
import type { PeerTransport } from '../../peer/contract.js';
import type { Machine } from '../../platform/contract.js';
import { MachineListFetchError, MachineListMessageError } from './errors.js';
import {
  FETCH_METHOD,
  fetchResponseSchema,
  hashesToWire,
  PUSH_METHOD,
  pushToWire,
  REPORT_METHOD,
  reportFromWire,
  reportSchema,
  reportToWire,
  toListEntry,
} from './messages.js';

const CALL_TIMEOUT_MS = 1000;
const MAX_PAGES = 1000;

/** Sends the calls of messages.ts to other nodes. */
export class MachineListPeerClient {
  constructor(
    private readonly transport: Pick<PeerTransport, 'call'>,
    private readonly hash: Hash64,
  ) {}

  /** Sends this node's report to a peer; resolves to the peer's. */
  exchangeReports(
    peer: ConfigurationMember,
    report: MachineListReport,
  ): ResultAsync<MachineListReport, MeadowstackError> {
    return this.#call(peer, REPORT_METHOD, reportToWire(report), reportSchema).map(reportFromWire);
  }

  /** Fetches all pages of the peer's buckets whose hashes differ from this node's. */
  fetchBuckets(
    peer: ConfigurationMember,
    hashes: BigUint64Array,
  ): ResultAsync<ListBuckets<Machine>, MeadowstackError> {
    return new ResultAsync(this.#fetchPages(peer, hashesToWire(hashes)));
  }

  /** Forwards a change to a peer. */
  push(
    peer: ConfigurationMember,
    root: string,
    delta: ListDelta<Machine>,
  ): ResultAsync<void, MeadowstackError> {
    return this.transport
      .call(peer, PUSH_METHOD, pushToWire(root, delta), CALL_TIMEOUT_MS)
      .map(() => undefined);
  }

  async #fetchPages(
    peer: ConfigurationMember,
    hashes: Uint8Array,
  ): Promise<Result<ListBuckets<Machine>, MeadowstackError>> {
    const buckets = new Map<number, ListEntry<Machine>[]>();
    let digest: ListDigest | undefined;
    let afterBucket = -1;
    for (let page = 0; page < MAX_PAGES; page += 1) {
      const response = await this.#call(
        peer,
        FETCH_METHOD,
        { hashes, afterBucket },
        fetchResponseSchema,
      );
      if (response.isErr()) return err(response.error);
      // The list changed between two pages: pages of different lists can't be combined.
      if (digest !== undefined && digest.hash !== response.value.digest.hash) break;
      digest = response.value.digest;
      for (const [index, machines] of response.value.buckets) {
        buckets.set(
          index,
          machines.map((machine) => toListEntry(machine, this.hash)),
        );
        afterBucket = index;
      }
      if (!response.value.more) return ok({ digest, buckets });
    }
    return err(new MachineListFetchError());
  }

  #call<Output>(
    peer: ConfigurationMember,
    method: string,
    body: unknown,
    schema: z.ZodType<Output>,
  ): ResultAsync<Output, MeadowstackError> {
    return this.transport.call(peer, method, body, CALL_TIMEOUT_MS).andThen((response) => {
      const parsed = schema.safeParse(response);
      return parsed.success ? ok(parsed.data) : err(new MachineListMessageError(method));
    });
  }
}
