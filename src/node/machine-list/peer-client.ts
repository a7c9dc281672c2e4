/** Asks other nodes about their machine list and pushes changes to them. */
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
  entryOf,
  FETCH_METHOD,
  fetchAnswerSchema,
  hashesToWire,
  PUSH_METHOD,
  pushToWire,
  REPORT_METHOD,
  reportFromWire,
  reportSchema,
  reportToWire,
} from './messages.js';

const CALL_TIMEOUT_MS = 1000;
const MAX_PAGES = 1000;

/** The calling side of the messages in messages.ts. */
export class MachineListPeerClient {
  constructor(
    private readonly transport: Pick<PeerTransport, 'call'>,
    private readonly hash: Hash64,
  ) {}

  /** Tells a peer our report and asks for its own. */
  askReport(
    peer: ConfigurationMember,
    report: MachineListReport,
  ): ResultAsync<MachineListReport, MeadowstackError> {
    return this.#call(peer, REPORT_METHOD, reportToWire(report), reportSchema).map(reportFromWire);
  }

  /** The buckets of a peer that differ from ours; pages are put together. */
  fetch(
    peer: ConfigurationMember,
    hashes: BigUint64Array,
  ): ResultAsync<ListBuckets<Machine>, MeadowstackError> {
    return new ResultAsync(this.#fetchPages(peer, hashesToWire(hashes)));
  }

  /** Passes a change on. */
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
      const answer = await this.#call(
        peer,
        FETCH_METHOD,
        { hashes, afterBucket },
        fetchAnswerSchema,
      );
      if (answer.isErr()) return err(answer.error);
      // Pages of two lists together are neither.
      if (digest !== undefined && digest.hash !== answer.value.digest.hash) break;
      digest = answer.value.digest;
      for (const [index, machines] of answer.value.buckets) {
        buckets.set(
          index,
          machines.map((machine) => entryOf(machine, this.hash)),
        );
        afterBucket = index;
      }
      if (!answer.value.more) return ok({ digest, buckets });
    }
    return err(new MachineListFetchError());
  }

  #call<Output>(
    peer: ConfigurationMember,
    method: string,
    body: unknown,
    schema: z.ZodType<Output>,
  ): ResultAsync<Output, MeadowstackError> {
    return this.transport.call(peer, method, body, CALL_TIMEOUT_MS).andThen((answer) => {
      const parsed = schema.safeParse(answer);
      return parsed.success ? ok(parsed.data) : err(new MachineListMessageError(method));
    });
  }
}
