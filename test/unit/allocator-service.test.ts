/** An allocator of one tenant's limit on a node that is its own only voter, with a simulated clock. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { errAsync } from 'neverthrow';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { DEFAULT_TENANT_LEASE_OPTIONS } from '../../src/core/limits/lease-options.js';
import type { ShareResponse } from '../../src/core/ownership/budget-lease.js';
import { loadHash64 } from '../../src/core/ownership/hash.js';
import { AllocatorService } from '../../src/node/limits/allocator-service.js';
import { parseCall, VOTE_METHOD, voteRequestSchema } from '../../src/node/limits/messages.js';
import { LimitNodes } from '../../src/node/limits/nodes.js';
import { LimitsPeerClient } from '../../src/node/limits/peer-client.js';
import { UnknownMethodError } from '../../src/peer/errors.js';

const NODE = { nodeId: 'proxy-1', zone: 'a', host: '', peerPort: 0 };
const TENANT = 'bureau';
const LOWERED_LIMIT = 1;
const RAISED_LIMIT = 10;
const USED = 2;
const STEP_MS = 500;
/** Enough steps to outlast any share that an earlier allocator could have granted. */
const ELECTED_AFTER_STEPS = 100;

const test = suite('allocator service');
const hash = await loadHash64();

class Allocation {
  limit = RAISED_LIMIT;
  #now = 1_000;
  #requests = 0;
  readonly #service: AllocatorService;

  constructor() {
    const nodes = new LimitNodes(hash);
    nodes.set([NODE], [NODE]);
    const peers = new LimitsPeerClient({
      nodeId: NODE.nodeId,
      transport: { call: () => errAsync(new UnknownMethodError('there is no other node')) },
      nodes,
      handleLocally: (method, body) => {
        assert.is(method, VOTE_METHOD);
        return { votes: this.#service.vote(parseCall(voteRequestSchema, body).elections) };
      },
    });
    this.#service = new AllocatorService({
      nodeId: NODE.nodeId,
      incarnationId: 'proxy-1#1',
      hash,
      nodes,
      peers,
      limitOf: () => this.limit,
      now: () => this.#now,
      // Without reports of holders, which this test doesn't cover.
      lease: { ...DEFAULT_TENANT_LEASE_OPTIONS, maxReportingNodes: 0 },
    });
    this.#service.setListedNodes([NODE]);
  }

  async elect(): Promise<void> {
    for (let step = 0; step < ELECTED_AFTER_STEPS; step += 1) {
      this.requestShare({ holding: 0, inUse: 0 });
      await this.tick();
    }
  }

  async tick(): Promise<void> {
    this.#now += STEP_MS;
    this.#service.tick();
    await nextTurn();
  }

  /** Requests a share as the only holder; if refused, repeats with the term from the refusal. */
  requestShare(use: { holding: number; inUse: number }): ShareResponse {
    const refused = this.#sendRequest(use, undefined);
    if (refused.type === 'granted') return refused;
    return this.#sendRequest(use, refused.term);
  }

  #sendRequest(use: { holding: number; inUse: number }, term: string | undefined): ShareResponse {
    this.#requests += 1;
    const request = { holder: 'proxy-2#1/1', number: this.#requests, wanted: USED, needed: USED };
    return this.#service.handleShareRequest({
      tenant: TENANT,
      request: { ...request, ...use, term },
    });
  }
}

test('a raised limit counts for the next request, before the next tick', async () => {
  const allocation = new Allocation();
  await allocation.elect();
  const first = allocation.requestShare({ holding: 0, inUse: 0 });
  assert.is(first.type === 'granted' && first.connections, USED);
  allocation.limit = LOWERED_LIMIT;
  await allocation.tick();
  allocation.limit = RAISED_LIMIT;
  const renewed = allocation.requestShare({ holding: USED, inUse: USED });
  assert.is(renewed.type === 'granted' && renewed.connections, USED);
});

test.run();
