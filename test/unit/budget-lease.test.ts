/** The rules of leased shares that only matter in rare interleavings, tested one by one. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { BudgetGranter } from '../../src/core/ownership/budget-granter.js';
import { BudgetHolder } from '../../src/core/ownership/budget-holder.js';
import {
  DEFAULT_BUDGET_LEASE_OPTIONS,
  leasableConnections,
  type ShareRequest,
  unleasedConnections,
  withDrift,
} from '../../src/core/ownership/budget-lease.js';

const OPTIONS = DEFAULT_BUDGET_LEASE_OPTIONS;
const { authorityMs, leaseMs, maxClockDrift } = OPTIONS;
const LIMIT = 35;
const MAX_AUTHORITY_MS = withDrift(authorityMs, maxClockDrift);
const MAX_SHARE_LIFETIME_MS = withDrift(authorityMs + leaseMs, maxClockDrift);
const TERM = 'g/1';

function granterAt(now: number): BudgetGranter {
  const granter = new BudgetGranter('g', LIMIT, OPTIONS);
  granter.handle({ type: 'authority-confirmed', sentAt: 0 }, 0);
  granter.handle({ type: 'authority-confirmed', sentAt: now }, now);
  return granter;
}

function request(change: Partial<ShareRequest> = {}): ShareRequest {
  return {
    holder: 'h',
    number: 1,
    wanted: 10,
    needed: 10,
    holding: 0,
    inUse: 0,
    term: TERM,
    ...change,
  };
}

test('a new granter grants nothing while its predecessor may still grant', () => {
  const now = MAX_AUTHORITY_MS - 1;
  const answer = granterAt(now).answer(request({ holding: 10 }), now);
  assert.is(answer.type === 'refused' && answer.reason, 'waiting');
  assert.is(answer.type === 'refused' && answer.term, undefined, 'the term is not reported yet');
});

test('a request without the present term, which may be old, gets the term and no share', () => {
  const answer = granterAt(MAX_SHARE_LIFETIME_MS).answer(
    request({ term: 'another/1' }),
    MAX_SHARE_LIFETIME_MS,
  );
  assert.equal(answer, { type: 'refused', number: 1, reason: 'term-unknown', term: TERM });
});

test('while a new granter waits it renews only the shares that holders report', () => {
  const now = MAX_SHARE_LIFETIME_MS - 1;
  const granter = granterAt(now);
  const renewed = granter.answer(request({ holding: 4 }), now);
  assert.equal(renewed, { type: 'granted', number: 1, connections: 4, mayGrowSoon: true });
  const fresh = granter.answer(request({ holder: 'new' }), now);
  assert.equal(fresh, { type: 'granted', number: 1, connections: 0, mayGrowSoon: true });
});

test('a granter without a recent confirmation grants nothing', () => {
  const granter = granterAt(MAX_SHARE_LIFETIME_MS);
  const late = MAX_SHARE_LIFETIME_MS + authorityMs;
  const answer = granter.answer(request(), late);
  assert.is(answer.type === 'refused' && answer.reason, 'no-authority');
});

test('the lease of a share starts when its request was sent, not when the response arrived', () => {
  const holder = new BudgetHolder('h', OPTIONS);
  const { number } = holder.request(1000);
  holder.receiveResponse(
    { type: 'granted', number, connections: 5, mayGrowSoon: false },
    1000 + leaseMs - 1,
  );
  assert.is(holder.connections(1000 + leaseMs - 1), 5);
  assert.is(holder.connections(1000 + leaseMs), 0);
});

test('a released share is available to others at the next request', () => {
  const granter = granterAt(MAX_SHARE_LIFETIME_MS);
  const leasable = leasableConnections(LIMIT, OPTIONS);
  granter.answer(request({ wanted: LIMIT }), MAX_SHARE_LIFETIME_MS);
  assert.is(granter.outstandingConnections(MAX_SHARE_LIFETIME_MS), leasable);
  granter.answer(request({ number: 2, wanted: 0, holding: 0 }), MAX_SHARE_LIFETIME_MS);
  assert.is(granter.outstandingConnections(MAX_SHARE_LIFETIME_MS), 0);
});

test('the unleased connections are divided among the owners, with at least one for each', () => {
  assert.is(leasableConnections(LIMIT, OPTIONS), 28);
  assert.is(unleasedConnections(LIMIT, 2, OPTIONS), 3);
  assert.is(unleasedConnections(2, 4, OPTIONS), 1);
});

test('connections taken into use while a smaller share is granted are kept under the old share, and reported at once', () => {
  const holder = new BudgetHolder('h', OPTIONS);
  const grant = (connections: number, at: number): void => {
    const { number } = holder.request(at);
    holder.receiveResponse({ type: 'granted', number, connections, mayGrowSoon: false }, at);
  };
  grant(10, 1000);
  holder.setInUse(3);
  const { number } = holder.request(2000);
  holder.setInUse(7);
  holder.receiveResponse({ type: 'granted', number, connections: 4, mayGrowSoon: false }, 2001);
  assert.is(holder.connections(2001), 7);
  assert.ok(holder.nextRequestAt() <= 2001);
  assert.is(holder.connections(1000 + leaseMs), 0, 'not beyond the end of the old share');
  assert.is(holder.request(2002).inUse, 7);
});

test('a granted share below the reported use is applied', () => {
  const holder = new BudgetHolder('h', OPTIONS);
  holder.setInUse(5);
  const { number } = holder.request(1000);
  holder.receiveResponse({ type: 'granted', number, connections: 2, mayGrowSoon: false }, 1001);
  assert.is(holder.connections(1001), 2);
});

test.run();
