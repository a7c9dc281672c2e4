/** Requests the configuration of other nodes and pushes changes to them. */
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import type { z } from 'zod';
import type { DigestResponse } from '../../core/configuration/agent-contract.js';
import type { ConfigurationMember } from '../../core/configuration/relays.js';
import type { ConfigurationDelta, ConfigurationDigest } from '../../core/configuration/replica.js';
import type { ConfigurationEntry } from '../../core/configuration/store-layout.js';
import type { MeadowstackError } from '../../core/errors.js';
import type { PeerTransport } from '../../peer/contract.js';
import { ConfigurationFetchError, ConfigurationMessageError } from './errors.js';
import {
  DIGEST_METHOD,
  digestResponseSchema,
  FETCH_METHOD,
  fetchResponseSchema,
  fitsInOnePush,
  PUSH_METHOD,
} from './peer-messages.js';

const CALL_TIMEOUT_MS = 1000;
const MAX_PAGES = 1000;

/** The calling side of the messages in peer-messages.ts. */
export class ConfigurationPeerClient {
  constructor(private readonly transport: PeerTransport) {}

  /** Sends this node's digest to a peer and returns the peer's. */
  exchangeDigests(
    peer: ConfigurationMember,
    digest: ConfigurationDigest,
  ): ResultAsync<DigestResponse, MeadowstackError> {
    return this.#call(peer, DIGEST_METHOD, { digest }, digestResponseSchema);
  }

  /** Fetches everything that changed at a peer after a revision, page by page. */
  fetch(
    peer: ConfigurationMember,
    sinceRevision: number,
  ): ResultAsync<ConfigurationDelta, MeadowstackError> {
    return new ResultAsync(this.#fetchPages(peer, sinceRevision));
  }

  /**
   * Pushes a change to a peer. If it is too large, only the digest is sent, and the peer fetches
   * the change.
   */
  push(
    peer: ConfigurationMember,
    root: string,
    delta: ConfigurationDelta,
    digest: ConfigurationDigest,
  ): ResultAsync<void, MeadowstackError> {
    if (!fitsInOnePush(delta)) return this.exchangeDigests(peer, digest).map(() => undefined);
    return this.transport
      .call(peer, PUSH_METHOD, { root, delta }, CALL_TIMEOUT_MS)
      .map(() => undefined);
  }

  async #fetchPages(
    peer: ConfigurationMember,
    sinceRevision: number,
  ): Promise<Result<ConfigurationDelta, MeadowstackError>> {
    const entries: ConfigurationEntry[] = [];
    let revision: number | undefined;
    for (let page = 0; page < MAX_PAGES; page += 1) {
      const request = { sinceRevision, afterKey: entries.at(-1)?.key ?? '' };
      const response = await this.#call(peer, FETCH_METHOD, request, fetchResponseSchema);
      if (response.isErr()) return err(response.error);
      const { delta, more } = response.value;
      // Pages of two different revisions could together contain only half of a publish.
      if (revision !== undefined && delta.revision !== revision) break;
      revision = delta.revision;
      entries.push(...delta.entries);
      if (!more) return ok({ sinceRevision, revision, entries });
    }
    return err(new ConfigurationFetchError());
  }

  #call<Output>(
    peer: ConfigurationMember,
    method: string,
    body: unknown,
    schema: z.ZodType<Output>,
  ): ResultAsync<Output, MeadowstackError> {
    return this.transport.call(peer, method, body, CALL_TIMEOUT_MS).andThen((response) => {
      const parsed = schema.safeParse(response);
      return parsed.success ? ok(parsed.data) : err(new ConfigurationMessageError(method));
    });
  }
}
